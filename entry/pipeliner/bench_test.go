package pipeliner_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
)

// BenchmarkRequests measures requests over one kept connection, one after the other and pipelined, with the pipeliner and
// without it. The handler does nothing, so that only the costs of the connection count.
func BenchmarkRequests(b *testing.B) {
	post := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n%s", strings.Repeat("x\n", 500))
	kinds := []struct {
		name, text string
		requests   int
	}{{"GET", get("/"), 1}, {"POST", post, 1}, {"8 pipelined GET", strings.Repeat(get("/"), 8), 8}}
	for _, kind := range kinds {
		for _, pipelining := range []bool{false, true} {
			b.Run(fmt.Sprintf("%s/pipelining=%t", kind.name, pipelining), func(b *testing.B) {
				s := newServer(b, pipelining, func(w http.ResponseWriter, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body)
					w.Header().Set("Content-Type", "text/plain")
					_, _ = io.WriteString(w, "ok")
				})
				c := s.dial(b)
				reader := bufio.NewReader(c)
				b.ReportAllocs()
				for b.Loop() {
					if _, err := io.WriteString(c, kind.text); err != nil {
						b.Fatal(err)
					}
					for range kind.requests {
						response, err := http.ReadResponse(reader, nil)
						if err != nil {
							b.Fatal(err)
						}
						if _, err := io.Copy(io.Discard, response.Body); err != nil {
							b.Fatal(err)
						}
					}
				}
			})
		}
	}
}
