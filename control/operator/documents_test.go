package operator

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-chi/chi/v5"
	"gotest.tools/v3/assert"

	"comfreyplank.org/control/driver"
	"comfreyplank.org/control/sequencer"
	"comfreyplank.org/shell/publisher"
)

// TestDocumentsBeingReadAreBounded guards against a replica that runs out of memory with documents that are being sent: 64 senders
// each send a part and stall. Only as many as have a place are read; the others are refused unread, and as the senders leave, their
// places are free.
func TestDocumentsBeingReadAreBounded(t *testing.T) {
	for _, path := range []string{"/comfreyplank/v1/document", "/comfreyplank/v1/validate"} {
		t.Run(path, func(t *testing.T) {
			events := publisher.New("c1", publisher.DefaultCapacity)
			var group sync.WaitGroup
			d, err := driver.New(&group, events, t.TempDir(), "c1", "127.0.0.1:1")
			assert.NilError(t, err)
			o := New(d, events, "")
			r := chi.NewRouter()
			o.Register(r)
			server := httptest.NewServer(r)
			t.Cleanup(server.Close)
			const senders = 64
			refused := make(chan bool, senders)
			stalled := make(chan net.Conn, senders)
			for range senders {
				conn, err := net.Dial("tcp", server.Listener.Addr().String())
				assert.NilError(t, err)
				defer func() { _ = conn.Close() }()
				_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n{%s", path, strings.Repeat(" ", 10_000))
				assert.NilError(t, err)
				group.Go(func() {
					_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
					answer, err := io.ReadAll(io.LimitReader(conn, 12))
					refused <- err == nil && string(answer) == "HTTP/1.1 503"
					stalled <- conn
				})
			}
			n := 0
			for range senders {
				if <-refused {
					n++
				}
			}
			assert.Equal(t, n, senders-sequencer.Documents)
			for range senders {
				_ = (<-stalled).Close()
			}
			for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				response, err := http.Post(server.URL+"/comfreyplank/v1/validate", "application/json", strings.NewReader("{}"))
				assert.NilError(t, err)
				_ = response.Body.Close()
				if response.StatusCode == http.StatusUnprocessableEntity {
					return
				}
			}
			t.Error("no place is free after the senders have left")
		})
	}
}
