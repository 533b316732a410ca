package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { scenes["upload"] = upload }

const uploadManifest = `{"version":"r7","services":[{"name":"packdocs","health_check":"/health","max_connections":260,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"},
"virtual_hosts":[{"hostname":"rounds.example","paths":[
{"name":"r-guide","path_prefix":"/guide/","route_type":"download","timeout":"5000ms","target_latency":"400ms","priority":2,"service":"packdocs","attempts":2}]}]}`

// Sizes of the requests and answers of the case.
const (
	uploadBytes   = 400_000
	downloadBytes = 200_000
	pieceBytes    = 4_000
	pieceInterval = 4 * time.Millisecond
	// earlyBytes is how much of a body a backend has read when it answers early.
	earlyBytes = 100_000
)

// uploadBody returns a body in which each eight bytes tell their position.
func uploadBody() []byte {
	body := make([]byte, uploadBytes)
	for i := 0; i < uploadBytes; i += 8 {
		binary.BigEndian.PutUint64(body[i:], uint64(i))
	}
	return body
}

// earlyServer is a stand-in server that answers before it has read a long body, keeps the
// connection and reads on.
type earlyServer struct {
	record *Record
	id     string
	early  bool
	counts *uploadCounts
}

// uploadCounts counts the bodies that reached a backend: those with other bytes than were sent,
// those among them that end as if they were complete, and those that are whole.
type uploadCounts struct{ other, ended, whole atomic.Int64 }

func (s *earlyServer) serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go s.serveConn(conn)
	}
}

func (s *earlyServer) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if r.URL.Path == "/health" {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nX-Backend-Load: 0,0,6,100\r\nContent-Length: 0\r\n\r\n", s.id)
			continue
		}
		if !s.answer(conn, r) {
			return
		}
	}
}

// answer runs a request. It reports whether the connection can be used again.
func (s *earlyServer) answer(conn net.Conn, r *http.Request) bool {
	id := r.Header.Get("X-Attempt-Id")
	s.record.Printf("%s: runs %s, body with length %d", s.id, id, r.ContentLength)
	first := uploadBytes
	if s.early {
		first = earlyBytes
	}
	c := &comparison{server: s, id: id, expected: uploadBody()}
	if _, err := io.CopyN(c, r.Body, int64(first)); err != nil {
		s.record.Printf("%s: %s: the body ends at byte %d: %v", s.id, id, c.position, err)
		return false
	}
	var group sync.WaitGroup
	group.Go(func() { s.respond(conn, id) })
	_, err := io.Copy(c, r.Body)
	group.Wait()
	s.record.Printf("%s: %s: the body ends at byte %d of %d: %v", s.id, id, c.position, uploadBytes, err)
	switch {
	case err != nil:
	case c.differs:
		s.counts.ended.Add(1)
	case c.position == uploadBytes:
		s.counts.whole.Add(1)
	}
	return err == nil
}

// comparison compares a body with what is due.
type comparison struct {
	server   *earlyServer
	id       string
	expected []byte
	position int
	differs  bool
}

// Write implements io.Writer.
func (c *comparison) Write(p []byte) (int, error) {
	for i, b := range p {
		at := c.position + i
		if c.differs || (at < len(c.expected) && c.expected[at] == b) {
			continue
		}
		c.differs = true
		c.server.counts.other.Add(1)
		c.server.record.Printf("BROKEN: %s: %s: at byte %d of the body come other bytes: %x", c.server.id, c.id, at, p[i:min(len(p), i+16)])
	}
	c.position += len(p)
	return len(p), nil
}

func (s *earlyServer) respond(conn net.Conn, id string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: seal.%s\r\nX-Backend-Load: 0,0,6,100\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n", id, id, downloadBytes)
	_, err := io.WriteString(conn, strings.Repeat("d", downloadBytes))
	s.record.Printf("%s: has answered %s (%v)", s.id, id, err)
}

// upload sends requests with long bodies.
func upload(record *Record, trouble bool) (int, error) {
	const backends, entries, requests = 3, 1, 20
	d, err := NewDeployment(record, 3, entries, DefaultTerms)
	if err != nil {
		return 0, err
	}
	defer d.Stop()
	if err := d.Start(); err != nil {
		return 0, err
	}
	if err := d.PutManifest(uploadManifest, 10*time.Second); err != nil {
		return 0, err
	}
	var counts uploadCounts
	for i := range backends {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", d.IP(3, i), d.ports.backend))
		if err != nil {
			return 0, err
		}
		defer func() { _ = l.Close() }()
		s := &earlyServer{record: record, id: fmt.Sprintf("i-%02d", i+1), early: trouble, counts: &counts}
		go s.serve(l)
		next := i
		b := &Backend{d: d, Service: "packdocs", ID: s.id, Address: l.Addr().String(), Zone: "zone-a", Slots: 6, Node: func() int { next++; return next }}
		stop := b.Announce()
		defer stop()
	}
	if err := d.AwaitReady(10 * time.Second); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second)
	answered := 0
	for i := range requests {
		if sendUpload(d, d.Entries[0], i%2 == 0) {
			answered++
		}
	}
	time.Sleep(time.Second)
	record.Say("%d requests with long bodies, %d answered in full; at the backends %d bodies were whole, %d had other bytes, %d of these ended as if complete",
		requests, answered, counts.whole.Load(), counts.other.Load(), counts.ended.Load())
	return int(counts.other.Load()), nil
}

// sendUpload sends one request with a long body, and reads the answer meanwhile. It reports
// whether the answer was complete.
func sendUpload(d *Deployment, entry *Machine, chunked bool) bool {
	c, err := Connect(d.Front(entry))
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	id := NewID()
	go func() {
		var body io.Writer = c
		if chunked {
			_, _ = fmt.Fprintf(c, "PUT /guide/1 HTTP/1.1\r\nHost: rounds.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 5000\r\nTransfer-Encoding: chunked\r\n\r\n", id)
			w := httputil.NewChunkedWriter(c)
			defer func() { _ = w.Close(); _, _ = io.WriteString(c, "\r\n") }()
			body = w
		} else {
			_, _ = io.WriteString(c, Head("PUT", "rounds.example", "/guide/1", id, 5*time.Second, uploadBytes))
		}
		data := uploadBody()
		for i := 0; i < len(data); i += pieceBytes {
			if _, err := body.Write(data[i : i+pieceBytes]); err != nil {
				return
			}
			time.Sleep(pieceInterval)
		}
	}()
	a, err := c.Receive("PUT", 8*time.Second)
	d.record.Printf("requester: %s (chunked %t): %d, %d bytes, %v", id, chunked, a.Status, len(a.Body), err)
	return err == nil && a.Status == http.StatusOK && len(a.Body) == downloadBytes
}
