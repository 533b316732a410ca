package dispatcher

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// BenchmarkRequests measures requests over one kept connection: the costs of an entry, of its caller and
// of its endpoint together.
func BenchmarkRequests(b *testing.B) {
	for _, size := range []int{0, 100, 10_000} {
		b.Run(fmt.Sprintf("body of %d bytes", size), func(b *testing.B) {
			endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(w, "ok")
			}))
			defer endpoint.Close()
			f := newFixture(b, endpoint.Listener.Addr().String())
			c, err := net.Dial("tcp", f.server.Listener.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			request := fmt.Sprintf("PUT /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
			reader := bufio.NewReader(c)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := io.WriteString(c, request); err != nil {
					b.Fatal(err)
				}
				response, err := http.ReadResponse(reader, nil)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := io.Copy(io.Discard, response.Body); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
