package main

import (
	"bufio"
	"context"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// order sends an order of the operator to one node after the other until it is acknowledged, and returns the node.
// A 4xx that ends the call is an error.
func order(ctx context.Context, r *record, nodes []string, path string, body []byte, limit time.Duration) (string, error) {
	deadline := time.Now().Add(limit)
	backoff := 25 * time.Millisecond
	for i := 0; time.Now().Before(deadline); i++ {
		if i > 0 {
			time.Sleep(backoff)
			backoff = min(2*backoff, 400*time.Millisecond)
		}
		node := nodes[i%len(nodes)]
		status, answer, err := post(ctx, node, path, body)
		switch {
		case err != nil:
			r.add("operator: %s at %s: %v", path, node, err)
		case status/100 == 2:
			r.add("operator: %s at %s: %d", path, node, status)
			return node, nil
		case status == 400 || status == 404 || status == 409 || status == 412 || status == 413 || status == 422:
			r.add("operator: %s at %s: %d %s", path, node, status, answer)
			return "", fmt.Errorf("%s was refused with %d", path, status)
		default:
			r.add("operator: %s at %s: %d", path, node, status)
		}
	}
	return "", fmt.Errorf("%s was not acknowledged in %s", path, limit)
}

// newID returns the id of a requester attempt.
func newID() string {
	var b [8]byte
	for i := range b {
		b[i] = byte(rand.Uint32())
	}
	return hex.EncodeToString(b[:])
}

// answer is what a requester has seen.
type answer struct {
	status int
	seal   string
	body   string
	err    error
}

// ask sends one request on a new connection, with the path as it is written.
func ask(front, method, host, path, id string, deadline time.Duration, body string) answer {
	conn, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = conn.Close() }()                                   // the request has ended
	_ = conn.SetDeadline(time.Now().Add(deadline + 500*time.Millisecond)) // a read without it just waits
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, path, host, id, deadline.Milliseconds())
	if method == http.MethodPost {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := io.WriteString(conn, text+"\r\n"+body); err != nil {
		return answer{err: err}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	data, err := io.ReadAll(response.Body)
	return answer{response.StatusCode, response.Header.Get("X-Response-Seal"), string(data), err}
}
