package dispatcher

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestTargetReachesTheEndpointUnchanged guards against requests that run with another path or query than the caller
// sent, as the path was decoded and written anew.
func TestTargetReachesTheEndpointUnchanged(t *testing.T) {
	targets := make(chan string, 1)
	f := newFixture(t, startEndpoint(t, func(_ http.ResponseWriter, r *http.Request) { targets <- r.RequestURI }))
	tests := []struct{ sent, want string }{
		{"/a", ""},
		{"/a|b", ""},
		{"/a%7Cb", ""},
		{"/a%7cb", ""},
		{"/%61", ""},
		{"/a%2Fb", ""},
		{"/a%2fb/%2e%2e/c", ""},
		{"/a/../b", ""},
		{"/a/./b/", ""},
		{"//a//b", ""},
		{"//a|b", ""},
		{"//a:80/b", ""},
		{"/a?", ""},
		{"/?", ""},
		{"/a?b|c=%7c&d=//e?f", ""},
		{"/a;b=c,d", ""},
		{`/a"<>^` + "`{}[]\\", ""},
		{"/a%20b+c", ""},
		{"/\u00e4%C3%A4", ""},
		{"http://elsewhere/a%7Cb|c?", "/a%7Cb|c?"},
		{"http://elsewhere?a", "/?a"},
		{"http://elsewhere", "/"},
	}
	for _, tt := range tests {
		for _, body := range []string{"", "body", strings.Repeat("x", 2*maxRetryBodyBytes)} {
			t.Run(fmt.Sprintf("%s with %d bytes", tt.sent, len(body)), func(t *testing.T) {
				status := f.sendTarget(t, tt.sent, body)
				assert.Equal(t, status, http.StatusOK)
				want := tt.want
				if want == "" {
					want = tt.sent
				}
				assert.Equal(t, <-targets, want)
			})
		}
	}
}

// sendTarget sends a request as it is written and returns the status of the response.
func (f *fixture) sendTarget(t *testing.T, target, body string) int {
	t.Helper()
	conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = fmt.Fprintf(conn, "PUT %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", target, len(body), body)
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	_ = response.Body.Close()
	return response.StatusCode
}
