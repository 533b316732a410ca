package client

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestPartOfResponseIsNoResult guards against a part of a replica's response that is taken for the whole, though its
// connection was reset while a long document was still sent. The body is a JSON object, of which no part is one.
func TestPartOfResponseIsNoResult(t *testing.T) {
	const body = `{"status":"in-force","detail":"revision 7","answer":{"revision":7}}`
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var group sync.WaitGroup
	defer group.Wait()
	defer func() { _ = listener.Close() }()
	group.Go(func() {
		for part := 0; ; part = (part + 1) % len(body) {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			group.Go(func() { answerInPart(conn.(*net.TCPConn), body[:part]) })
		}
	})
	c := New([]string{listener.Addr().String()}, "")
	document := bytes.Repeat([]byte(" "), 300_000)
	for range 3 * len(body) {
		result, err := c.Apply(t.Context(), document)
		assert.Check(t, err != nil, "%+v", result)
	}
}

// answerInPart reads the head of a request, responds with a part of a body without a length, and resets the connection.
func answerInPart(conn *net.TCPConn, part string) {
	defer func() { _ = conn.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	_, _ = io.WriteString(conn, fmt.Sprintf("HTTP/1.0 200 OK\r\n\r\n%s", part))
	time.Sleep(time.Millisecond) // lets the part be read before the reset
	_ = conn.SetLinger(0)
}
