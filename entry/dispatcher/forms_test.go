package dispatcher

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyplank.org/core/balancer"
	"comfreyplank.org/core/validator"
)

// formsFixture is a dispatcher of two services, each of two endpoints that lose their answer to each request's first run.
type formsFixture struct {
	*fixture
	mu sync.Mutex
	// runs holds the service of each run, by the target of the request.
	runs map[string][]string
}

func newFormsFixture(t *testing.T) *formsFixture {
	f := &formsFixture{runs: make(map[string][]string)}
	f.fixture = newFixture(t)
	route := func(prefix string, execution validator.Execution) validator.Route {
		return validator.Route{PathPrefix: prefix, DeadlineMs: 5000, Class: validator.ClassInteractive, Execution: execution}
	}
	services := []validator.Service{
		{Name: "once", QueueLimit: 10, RetryPercent: 100, Routes: []validator.Route{
			route("/orders/", validator.ExecutionAtMostOnce), route("/keyed/", validator.ExecutionOnceOnly),
		}},
		{Name: "again", QueueLimit: 10, RetryPercent: 100, Routes: []validator.Route{
			route("/orders/north/", validator.ExecutionRepeatable), route("/open/", validator.ExecutionRepeatable),
		}},
	}
	f.Configure(validator.Document{Services: services})
	for _, s := range services {
		endpoints := endpointsAt([]string{f.startLosing(t, s.Name), f.startLosing(t, s.Name)})
		for i := range endpoints {
			endpoints[i].Service = s.Name
		}
		f.Handle(s.Name, balancer.Reconfigured{Service: s, Endpoints: endpoints, Entries: 1})
	}
	return f
}

func (f *formsFixture) startLosing(t *testing.T, service string) string {
	return startEndpoint(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		f.mu.Lock()
		f.runs[r.RequestURI] = append(f.runs[r.RequestURI], service)
		runs := len(f.runs[r.RequestURI])
		f.mu.Unlock()
		if runs == 1 {
			panic(http.ErrAbortHandler) // the answer is lost
		}
		_, _ = io.WriteString(w, "done")
	})
}

func (f *formsFixture) takeRuns(target string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	runs := f.runs[target]
	delete(f.runs, target)
	return strings.Join(runs, " ")
}

// sendRaw sends what may be several requests and returns the statuses of the responses.
func sendRaw(t *testing.T, address, text string, responses int) []int {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	_, err = io.WriteString(conn, text)
	assert.NilError(t, err)
	reader := bufio.NewReader(conn)
	var statuses []int
	for range responses {
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
		statuses = append(statuses, response.StatusCode)
	}
	return statuses
}

// TestFormOfThePathDoesNotDecideHowOftenARequestRuns guards against requests that may run once and were sent to a second endpoint,
// as a decoded slash made another route of their path, and against requests that reached another service so. Each form is sent
// alone, after another one on the same connection, by HTTP/1.0, and in a target that names the host.
func TestFormOfThePathDoesNotDecideHowOftenARequestRuns(t *testing.T) {
	f := newFormsFixture(t)
	pipelined := startPipeliningServer(t, f.Dispatcher)
	tests := []struct {
		path, runs string
		status     int
	}{
		{"/orders/1", "once", http.StatusBadGateway},
		{"/orders/north/1", "again again", http.StatusOK},
		{"/orders/north%2F1", "once", http.StatusBadGateway},
		{"/orders/north%2f1", "once", http.StatusBadGateway},
		{"/orders/%6eorth/1", "again", http.StatusBadGateway},
		{"/open/1", "again again", http.StatusOK},
		{"/open/a%20b;c=%ff", "again again", http.StatusOK},
		{"/open/../orders/1", "again", http.StatusBadGateway},
		{"/open/..%2forders/1", "again", http.StatusBadGateway},
		{"/open/..;/orders/1", "again", http.StatusBadGateway},
		{"/orders//north/1", "once", http.StatusBadGateway},
		{"/open/1?a=/orders/1", "again again", http.StatusOK},
		{"/open/1?../orders/1", "again again", http.StatusOK},
		{"/orders%2Fnorth/1", "", http.StatusNotFound},
		{"/%2e%2e/open/1", "", http.StatusNotFound},
		{"/open/1#/orders/", "", http.StatusBadRequest},
		{"/open/%zz", "", http.StatusBadRequest},
		{"open/1", "", http.StatusBadRequest},
	}
	for i, tt := range tests {
		path := fmt.Sprintf("%s?n=%d", tt.path, i) // tells the runs of each form apart
		post := func(target, version string) string {
			return "POST " + target + " HTTP/" + version + "\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"
		}
		sendings := []struct{ name, address, text string }{
			{"alone", f.server.Listener.Addr().String(), post(path, "1.1")},
			{"HTTP/1.0", f.server.Listener.Addr().String(), post(path, "1.0")},
			{"pipelined", pipelined.Listener.Addr().String(), "GET /none HTTP/1.1\r\nHost: h\r\n\r\n" + post(path, "1.1")},
			{"with the host", f.server.Listener.Addr().String(), post("http://h/"+strings.TrimPrefix(path, "/"), "1.1")},
		}
		if !strings.HasPrefix(path, "/") {
			sendings = sendings[:3] // with a host before it the path begins with a slash
		}
		for _, s := range sendings {
			t.Run(s.name+" "+tt.path, func(t *testing.T) {
				want := []int{tt.status}
				if s.name == "pipelined" {
					want = []int{http.StatusNotFound, tt.status}
				}
				assert.DeepEqual(t, sendRaw(t, s.address, s.text, len(want)), want)
				assert.Equal(t, f.takeRuns(path), tt.runs)
			})
		}
	}
}

// TestClaimsHoldInEachFormOfThePath sends one key in forms that lead to the same place: it runs once, and another form of the
// target is another request with the same key.
func TestClaimsHoldInEachFormOfThePath(t *testing.T) {
	f := newFormsFixture(t)
	const post = "POST %s HTTP/1.1\r\nHost: h\r\nIdempotency-Key: k\r\nContent-Length: 2\r\n\r\nhi"
	address := f.server.Listener.Addr().String()
	forms := []string{"/keyed/a%2Fb", "/keyed/a%2fb", "/keyed/%61%2Fb", "/keyed/./a%2Fb", "/keyed//a%2Fb"}
	var runs []string
	for i, form := range forms {
		status := sendRaw(t, address, fmt.Sprintf(post, form), 1)[0]
		if i > 0 {
			assert.Equal(t, status, http.StatusUnprocessableEntity, form)
		}
		runs = append(runs, f.takeRuns(form))
	}
	assert.DeepEqual(t, runs, []string{"once", "", "", "", ""})
	// A repeatable route whose path resolves to one with keys asks for a key as well, and then runs once at its own service.
	const resolves = "/open/../keyed/a%2Fb"
	status := sendRaw(t, address, "POST "+resolves+" HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi", 1)[0]
	assert.Equal(t, status, http.StatusBadRequest)
	assert.Equal(t, f.takeRuns(resolves), "")
	for range 2 {
		_ = sendRaw(t, address, fmt.Sprintf(post, resolves), 1)
	}
	assert.Equal(t, f.takeRuns(resolves), "again")
}
