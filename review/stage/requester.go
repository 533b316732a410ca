package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// Connection is a requester's connection to an entry.
type Connection struct {
	net.Conn
	reader *bufio.Reader
	// Closing is set once an answer has said that the connection closes.
	Closing bool
}

// Connect opens a connection; requesters allow one second.
func Connect(address string) (*Connection, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &Connection{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// Answer is what a requester got.
type Answer struct {
	Status int
	Header http.Header
	Body   string
}

// NewID returns an id for a requester attempt.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Head returns the head of a request.
func Head(method, host, path, id string, deadline time.Duration, length int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, path, host, id, deadline.Milliseconds())
	if length > 0 {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", length)
	}
	b.WriteString("\r\n")
	return b.String()
}

// Send writes a request.
func (c *Connection) Send(method, host, path, id string, deadline time.Duration, body string) error {
	_, err := io.WriteString(c, Head(method, host, path, id, deadline, len(body))+body)
	return err
}

var errIncomplete = errors.New("the answer is not complete")

// Receive reads an answer.
func (c *Connection) Receive(method string, within time.Duration) (Answer, error) {
	_ = c.SetReadDeadline(time.Now().Add(within))
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return Answer{}, err
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return Answer{Status: response.StatusCode}, errors.Join(errIncomplete, err)
	}
	c.Closing = response.Close
	return Answer{Status: response.StatusCode, Header: response.Header, Body: string(body)}, nil
}
