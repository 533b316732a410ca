package dispatcher

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"comfreyplank.org/core/balancer"
	"comfreyplank.org/core/validator"
	"comfreyplank.org/entry/counter"
)

// testWorkspaces are two workspaces, of which the second has its own priority.
func testWorkspaces() []validator.Workspace {
	urgent := 0
	return []validator.Workspace{
		{Name: "alder", Keys: []string{"key-alder"}},
		{Name: "birch", Keys: []string{"key-birch", "key-birch-2"}, Priority: &urgent},
	}
}

// configureKeys gives the dispatcher a document with workspaces and a public route.
func (f *fixture) configureKeys(workspaces []validator.Workspace) {
	f.Configure(validator.Document{Workspaces: workspaces, Limits: validator.Limits{MaxBodyBytes: 1000}, Services: []validator.Service{
		{Name: "s", QueueLimit: 10, RetryPercent: 100, Routes: []validator.Route{
			{Host: "h", PathPrefix: "/", DeadlineMs: 5000, Class: validator.ClassInteractive, Priority: 3},
			{Host: "h", PathPrefix: "/public", DeadlineMs: 5000, Class: validator.ClassInteractive, Public: true},
			{Host: "h", PathPrefix: "/once", DeadlineMs: 5000, Class: validator.ClassInteractive, Execution: validator.ExecutionOnceOnly},
		}},
	}})
}

// send writes a request as it is and returns the response with its body.
func (f *fixture) send(request string) (*http.Response, string) {
	f.t.Helper()
	c, err := net.Dial("tcp", f.server.Listener.Addr().String())
	assert.NilError(f.t, err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, request)
	assert.NilError(f.t, err)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(f.t, err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	assert.NilError(f.t, err)
	return response, string(text)
}

// headerLog records the headers that an endpoint gets.
type headerLog struct {
	mu      sync.Mutex
	headers []http.Header
}

func (r *headerLog) start(t *testing.T) string {
	return startEndpoint(t, func(w http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		r.mu.Lock()
		r.headers = append(r.headers, request.Header, request.Trailer)
		r.mu.Unlock()
		_, _ = w.Write(body)
	})
}

// take returns the values of a header field in what the endpoint got, and forgets it.
func (r *headerLog) take(fields ...string) (values []string, requests int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range r.headers {
		for _, field := range fields {
			values = append(values, h[field]...)
		}
	}
	requests = len(r.headers) / 2
	r.headers = nil
	return values, requests
}

// TestKeysDecideWhoMaySend guards against requests that run without exactly one valid key, and against workspace
// names that callers set themselves.
func TestKeysDecideWhoMaySend(t *testing.T) {
	long := strings.Repeat("k", validator.MaxKeyBytes+1)
	tests := []struct {
		name, path, header string
		status             int
		workspace          string
	}{
		{"known key", "/x", "Comfreyplank-Key: key-alder\r\n", 200, "alder"},
		{"name in another case", "/x", "comfreyplank-KEY:  key-birch-2 \r\n", 200, "birch"},
		{"no key", "/x", "", 401, ""},
		{"empty key", "/x", "Comfreyplank-Key:\r\n", 401, ""},
		{"long key", "/x", "Comfreyplank-Key: " + long + "\r\n", 401, ""},
		{"unknown key", "/x", "Comfreyplank-Key: key-cedar\r\n", 401, ""},
		{"two keys in a line", "/x", "Comfreyplank-Key: key-alder, key-birch\r\n", 401, ""},
		{"two lines", "/x", "Comfreyplank-Key: key-alder\r\nComfreyplank-Key: key-alder\r\n", 400, ""},
		{"two lines in two cases", "/x", "Comfreyplank-Key: key-alder\r\ncomfreyplank-key: key-birch\r\n", 400, ""},
		{"two lines, one empty", "/x", "Comfreyplank-Key: key-alder\r\nComfreyplank-Key:\r\n", 400, ""},
		{"only a workspace", "/x", "Comfreyplank-Workspace: alder\r\n", 401, ""},
		{"underscore", "/x", "Comfreyplank_Key: key-alder\r\n", 401, ""},
		{"workspace of another", "/x", "Comfreyplank-Key: key-alder\r\nComfreyplank-Workspace: birch\r\n", 200, "alder"},
		{"workspace of another in two spellings", "/x", "Comfreyplank-Key: key-alder\r\ncomfreyplank-workspace: birch\r\nComfreyplank_Workspace: birch\r\n", 200, "alder"},
		{"key named as hop-by-hop", "/x", "Connection: Comfreyplank-Key, comfreyplank-workspace\r\nComfreyplank-Key: key-alder\r\n", 200, "alder"},
		{"key in a trailer", "/x", "Transfer-Encoding: chunked\r\nTrailer: Comfreyplank-Key\r\n", 401, ""},
		{"public without a key", "/public", "", 200, ""},
		{"public with a key", "/public", "Comfreyplank-Key: key-birch\r\n", 200, "birch"},
		{"public with an unknown key", "/public", "Comfreyplank-Key: key-cedar\r\nComfreyplank-Workspace: birch\r\n", 200, ""},
		{"public with two keys", "/public", "Comfreyplank-Key: key-birch\r\nComfreyplank-Key: key-birch\r\n", 200, ""},
		{"public with a long key", "/public", "Comfreyplank-Key: " + long + "\r\n", 200, ""},
	}
	var got headerLog
	f := newFixture(t, got.start(t))
	f.configureKeys(testWorkspaces())
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			end := "\r\n"
			if strings.Contains(tt.header, "chunked") {
				end = "\r\n1\r\nx\r\n0\r\nComfreyplank-Key: key-alder\r\nComfreyplank-Workspace: birch\r\n\r\n"
			}
			response, text := f.send("PUT " + tt.path + " HTTP/1.1\r\nHost: h\r\n" + tt.header + end)
			assert.Equal(t, response.StatusCode, tt.status, text)
			assert.Equal(t, response.Header.Get("Retry-After"), "")
			workspaces, requests := got.take("Comfreyplank-Workspace", "Comfreyplank_workspace")
			assert.Equal(t, requests == 1, tt.status == 200)
			assert.Equal(t, strings.Join(workspaces, ","), tt.workspace)
		})
	}
}

// TestKeysAreNotForwarded guards against a key that endpoints get, in any spelling or place.
func TestKeysAreNotForwarded(t *testing.T) {
	var got headerLog
	f := newFixture(t, got.start(t))
	f.configureKeys(testWorkspaces())
	for _, path := range []string{"/x", "/public"} {
		_, _ = f.send("PUT " + path + " HTTP/1.1\r\nHost: h\r\nConnection: keep-alive\r\nTE: trailers\r\nTrailer: Comfreyplank-Key\r\n" +
			"Transfer-Encoding: chunked\r\nComfreyplank-Key: key-alder\r\ncomfreyplank_key: key-birch\r\n\r\n1\r\nx\r\n0\r\nComfreyplank-Key: key-birch\r\n\r\n")
		got.mu.Lock()
		text := fmt.Sprint(got.headers)
		got.mu.Unlock()
		assert.Assert(t, strings.Contains(text, "alder]"), text) // the workspace
		assert.Assert(t, !strings.Contains(text, "key-"), text)
		got.take()
	}
}

// TestWithoutWorkspacesHeadersAreForwarded guards against documents without workspaces that change requests.
func TestWithoutWorkspacesHeadersAreForwarded(t *testing.T) {
	var got headerLog
	f := newFixture(t, got.start(t))
	response, _ := f.send("GET /x HTTP/1.1\r\nHost: h\r\nComfreyplank-Key: a\r\nComfreyplank-Key: b\r\nComfreyplank-Workspace: w\r\nComfreyplank_Key: c\r\n\r\n")
	assert.Equal(t, response.StatusCode, 200)
	values, _ := got.take("Comfreyplank-Key", "Comfreyplank_key", "Comfreyplank-Workspace")
	slices.Sort(values)
	assert.DeepEqual(t, values, []string{"a", "b", "c", "w"})
}

// TestRefusalsComeInTheOrderOfTheStages guards against a refusal that tells callers without a key what a later stage
// would say, or refuses the key where there is no route.
func TestRefusalsComeInTheOrderOfTheStages(t *testing.T) {
	large := "Content-Length: 2000\r\n"
	tests := []struct {
		name, request string
		configured    bool
		status        int
	}{
		{"no document", "GET /x HTTP/1.1\r\nHost: h\r\n\r\n", false, 503},
		{"no route", "GET /x HTTP/1.1\r\nHost: other\r\n\r\n", true, 404},
		{"no key, large body", "PUT /x HTTP/1.1\r\nHost: h\r\n" + large + "\r\n", true, 401},
		{"key, large body", "PUT /x HTTP/1.1\r\nHost: h\r\nComfreyplank-Key: key-alder\r\n" + large + "\r\n", true, 413},
		{"key, no endpoint", "GET /x HTTP/1.1\r\nHost: h\r\nComfreyplank-Key: key-alder\r\n\r\n", true, 503},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t)
			f.activeConfig.Store(nil)
			if tt.configured {
				f.configureKeys(testWorkspaces())
			}
			response, text := f.send(tt.request)
			assert.Equal(t, response.StatusCode, tt.status, text)
			assert.Equal(t, response.Header.Get("Comfreyplank-Outcome"), "not-run")
		})
	}
}

// TestUnknownKeyWithoutConfigLease guards against a new key that is refused for good by an entry that has lost its
// configuration lease and may not know the newest document.
func TestUnknownKeyWithoutConfigLease(t *testing.T) {
	var got headerLog
	f := newFixture(t, got.start(t))
	f.configureKeys(testWorkspaces())
	f.RenewConfigLease(time.Now(), time.Now().Add(-time.Millisecond), 1)
	response, text := f.send("GET /x HTTP/1.1\r\nHost: h\r\nComfreyplank-Key: key-cedar\r\n\r\n")
	assert.Equal(t, response.StatusCode, 503, text)
	assert.Equal(t, response.Header.Get("Retry-After"), "1")
	response, _ = f.send("GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.Equal(t, response.StatusCode, 401) // a request without a key stays refused
	_, requests := got.take()
	assert.Equal(t, requests, 0)
	f.RenewConfigLease(time.Now(), time.Now().Add(time.Hour), 1)
	response, _ = f.send("GET /x HTTP/1.1\r\nHost: h\r\nComfreyplank-Key: key-cedar\r\n\r\n")
	assert.Equal(t, response.StatusCode, 401)
}

// TestOnceOnlyKeysOfWorkspacesDiffer guards against a workspace that gets the stored response of another one.
func TestOnceOnlyKeysOfWorkspacesDiffer(t *testing.T) {
	var runs atomic.Int32
	f := newFixture(t, startEndpoint(t, func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		_, _ = io.WriteString(w, "secret of alder")
	}))
	f.configureKeys(testWorkspaces())
	request := "POST /once HTTP/1.1\r\nHost: h\r\nIdempotency-Key: %s\r\nComfreyplank-Key: %s\r\nContent-Length: 0\r\n\r\n"
	const id = "k1"
	tests := []struct {
		key    string
		status int
		want   string
	}{
		{"key-alder", 200, "secret of alder"},
		{"key-alder", 200, "secret of alder"},
		{"key-birch", 422, ""},
	}
	for _, tt := range tests {
		response, text := f.send(fmt.Sprintf(request, id, tt.key))
		assert.Equal(t, response.StatusCode, tt.status, text)
		assert.Equal(t, strings.Contains(text, "secret"), tt.want != "")
	}
	assert.Equal(t, runs.Load(), int32(1))
}

// TestAttemptsCarryTheSameWorkspace guards against a retry or a hedge without the workspace of the call.
func TestAttemptsCarryTheSameWorkspace(t *testing.T) {
	tests := []struct {
		name   string
		answer func(w http.ResponseWriter, first bool)
	}{
		{"retry", func(w http.ResponseWriter, first bool) {
			if first {
				w.Header().Set("Comfreyplank-Outcome", "not-run")
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		}},
		{"hedge", func(_ http.ResponseWriter, first bool) {
			if first {
				time.Sleep(600 * time.Millisecond)
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var attempts atomic.Int32
			workspaces := make(chan string, 10)
			answer := func(w http.ResponseWriter, r *http.Request) {
				workspaces <- strings.Join(r.Header["Comfreyplank-Workspace"], ",")
				tt.answer(w, attempts.Add(1) == 1)
			}
			f := newFixture(t, startEndpoint(t, answer), startEndpoint(t, answer))
			f.configureKeys(testWorkspaces())
			response, text := f.send("GET /x HTTP/1.1\r\nHost: h\r\nComfreyplank-Key: key-birch\r\n\r\n")
			assert.Equal(t, response.StatusCode, 200, text)
			assert.Equal(t, attempts.Load(), int32(2))
			assert.Equal(t, <-workspaces, "birch")
			assert.Equal(t, <-workspaces, "birch")
		})
	}
}

// TestKeysAreNotPublished guards against a key in an event, a log line, a metric, a response or an error.
func TestKeysAreNotPublished(t *testing.T) {
	const secret = "key-secret"
	var logged bytes.Buffer
	former := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&logged, &slog.HandlerOptions{Level: slog.LevelDebug})))
	t.Cleanup(func() { slog.SetDefault(former) })
	var truncated atomic.Int32
	registry := prometheus.NewRegistry()
	f := newFixture(t, startTruncatingEndpoint(t, 100, 50, &truncated))
	f.deps.Counter = counter.New(registry)
	f.deps.BalancerOptions = func() []balancer.Option { return []balancer.Option{balancer.WithTrace()} }
	f.dispatchers = make(map[string]*serviceDispatcher)
	f.configureKeys([]validator.Workspace{{Name: "alder", Keys: []string{secret + "-1"}}})
	f.Handle("s", balancer.Reconfigured{Service: validator.Service{Name: "s", QueueLimit: 10}, Endpoints: endpointsAt([]string{startTruncatingEndpoint(t, 100, 50, &truncated)}), Entries: 1})
	requests := []string{
		"GET /x HTTP/1.1\r\nHost: h\r\nComfreyplank-Key: key-secret-1\r\n\r\n",
		"GET /x HTTP/1.1\r\nHost: h\r\nComfreyplank-Key: key-secret-2\r\n\r\n",
		"GET /x HTTP/1.1\r\nHost: h\r\nComfreyplank-Key: key-secret-1\r\nComfreyplank-Key: key-secret-1\r\n\r\n",
		"GET /x HTTP/1.1\r\nHost: other\r\nComfreyplank-Key: key-secret-1\r\n\r\n",
		"GET /x HTTP/1.1\r\nHost: h\r\nComfreyplank-Key: key-secret-1\r\nComfreyplank-Timeout-Ms: soon\r\n\r\n",
		"PUT /x HTTP/1.1\r\nHost: h\r\nComfreyplank-Key: key-secret-1\r\nContent-Length: 2000\r\n\r\n",
		"POST /once HTTP/1.1\r\nHost: h\r\nComfreyplank-Key: key-secret-1\r\nContent-Length: 0\r\n\r\n",
		"GET /public HTTP/1.1\r\nHost: h\r\nComfreyplank-Key: key-secret-3\r\n\r\n",
	}
	var published strings.Builder
	for _, request := range requests {
		response, text := f.send(request)
		_, _ = fmt.Fprintln(&published, response.Status, response.Header, text)
	}
	families, err := registry.Gather()
	assert.NilError(t, err)
	_, _ = fmt.Fprintln(&published, families)
	f.mu.Lock()
	_, _ = fmt.Fprintf(&published, "%+v", f.events)
	f.mu.Unlock()
	_, _ = published.Write(logged.Bytes())
	assert.Assert(t, strings.Contains(published.String(), "comfreyplank_key_refusals_total"))
	assert.Assert(t, strings.Contains(published.String(), "call-refused"))
	assert.Assert(t, truncated.Load() > 0)
	assert.Assert(t, !strings.Contains(published.String(), secret), published.String())
}

// TestLoadOfAllWorkspaces sends the users' number of workspaces at once, and guards against requests that are named
// after another workspace.
func TestLoadOfAllWorkspaces(t *testing.T) {
	const workspaces, requests = 86, 10
	var wrong atomic.Int32
	f := newFixture(t, startEndpoint(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Comfreyplank-Workspace") != r.Header.Get("Expected") {
			wrong.Add(1)
		}
	}))
	list := make([]validator.Workspace, 0, workspaces)
	for i := range workspaces {
		list = append(list, validator.Workspace{Name: fmt.Sprint("w", i), Keys: []string{fmt.Sprint("key-", i)}})
	}
	f.configureKeys(list)
	var group sync.WaitGroup
	var answered, refused atomic.Int32
	for worker := range 4 {
		group.Go(func() {
			for i := worker; i < workspaces; i += 4 {
				for range requests {
					r := f.request("GET", "/x", "", "Comfreyplank-Key", fmt.Sprint("key-", i), "Expected", fmt.Sprint("w", i))
					r.Host = "h"
					if response, _ := f.do(r); response.StatusCode == 200 {
						answered.Add(1)
					}
				}
				r := f.request("GET", "/x", "", "Comfreyplank-Key", fmt.Sprint("other-", i))
				r.Host = "h"
				if response, _ := f.do(r); response.StatusCode == 401 {
					refused.Add(1)
				}
			}
		})
	}
	group.Wait()
	assert.Equal(t, answered.Load(), int32(workspaces*requests))
	assert.Equal(t, refused.Load(), int32(workspaces))
	assert.Equal(t, wrong.Load(), int32(0))
}

// TestSpellingsOfReservedFields guards against a spelling by which an endpoint gets a workspace from a caller.
func TestSpellingsOfReservedFields(t *testing.T) {
	assert.DeepEqual(t, spellings("Comfreyplank-Key"), []string{"Comfreyplank-Key", "Comfreyplank_key"})
	all := spellings("Product-Workspace-Name")
	for _, spelling := range []string{"product-workspace-name", "PRODUCT_WORKSPACE_NAME", "Product-Workspace_Name", "product_workspace-NAME"} {
		assert.Assert(t, slices.Contains(all, http.CanonicalHeaderKey(spelling)), spelling)
	}
	assert.Equal(t, len(all), 4)
}
