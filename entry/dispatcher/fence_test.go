package dispatcher

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyplank.org/core/fencer"
)

// testKeyLease is the duration of the key lease on the platform.
const testKeyLease = 3900 * time.Millisecond

const (
	keyedRequest  = "GET /x HTTP/1.1\r\nHost: h\r\nComfreyplank-Key: key-alder\r\n\r\n"
	publicRequest = "GET /public HTTP/1.1\r\nHost: h\r\nComfreyplank-Key: key-alder\r\n\r\n"
	otherRequest  = "GET /x HTTP/1.1\r\nHost: h\r\nComfreyplank-Key: key-cedar\r\n\r\n"
)

// fencedFixture is a dispatcher that requires the key lease, with a measurement of suspensions that tests set.
type fencedFixture struct {
	*fixture
	suspended atomic.Int64
	runs      atomic.Int32
}

func newFencedFixture(t *testing.T, workTime time.Duration) *fencedFixture {
	f := &fencedFixture{}
	address := startEndpoint(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		f.runs.Add(1)
		time.Sleep(workTime)
	})
	f.fixture = newFixtureWith(t, func(d *Dependencies) {
		d.KeyLease = testKeyLease
		d.Suspended = func() time.Duration { return time.Duration(f.suspended.Load()) }
	}, address)
	f.fence.state = fencer.New(testKeyLease) // without the lease that the fixture begins with
	f.configureKeys(testWorkspaces())
	return f
}

// renew renews both leases by a heartbeat that was sent a while ago.
func (f *fencedFixture) renew(ago time.Duration) {
	sentAt := time.Now().Add(-ago)
	f.RenewConfigLease(sentAt, sentAt.Add(time.Hour), 1)
}

// TestKeyedRequestsNeedTheKeyLease guards against requests that run by keys which may not be valid any more, and
// against a lease that refuses requests for good or refuses those without need.
func TestKeyedRequestsNeedTheKeyLease(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(f *fencedFixture)
		request string
		status  int
	}{
		{"under the lease", func(f *fencedFixture) { f.renew(3500 * time.Millisecond) }, keyedRequest, 200},
		{"after the lease", func(f *fencedFixture) { f.renew(testKeyLease) }, keyedRequest, 503},
		{"unknown key after the lease", func(f *fencedFixture) { f.renew(testKeyLease) }, otherRequest, 503},
		{"unknown key under the lease", func(f *fencedFixture) { f.renew(0) }, otherRequest, 401},
		{"public route after the lease", func(f *fencedFixture) { f.renew(testKeyLease) }, publicRequest, 200},
		{"suspended", func(f *fencedFixture) {
			f.renew(0)
			f.suspended.Store(int64(time.Second))
		}, keyedRequest, 503},
		{"unknown key, suspended", func(f *fencedFixture) {
			f.renew(0)
			f.suspended.Store(int64(time.Second))
		}, otherRequest, 503},
		{"within the tolerance", func(f *fencedFixture) {
			f.renew(0)
			f.suspended.Store(int64(fencer.Tolerance))
		}, keyedRequest, 200},
		{"heartbeat after the suspension", func(f *fencedFixture) {
			f.suspended.Store(int64(time.Second))
			f.NoticeSuspension()
			f.renew(0)
		}, keyedRequest, 200},
		{"reply to a heartbeat from before the suspension", func(f *fencedFixture) {
			f.suspended.Store(int64(time.Second))
			f.NoticeSuspension()
			f.renew(time.Second)
		}, keyedRequest, 503},
		{"without workspaces", func(f *fencedFixture) {
			f.configureKeys(nil)
			f.renew(testKeyLease)
		}, keyedRequest, 200},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFencedFixture(t, 0)
			tt.prepare(f)
			response, text := f.send(tt.request)
			assert.Equal(t, response.StatusCode, tt.status, text)
			if tt.status == http.StatusOK {
				assert.Equal(t, f.runs.Load(), int32(1))
				return
			}
			assert.Equal(t, f.runs.Load(), int32(0))
			assert.Equal(t, response.Header.Get("Comfreyplank-Outcome"), "not-run")
			assert.Equal(t, response.Header.Get("Retry-After") != "", tt.status == http.StatusServiceUnavailable)
		})
	}
}

// TestNoLeaseBeforeTheFirstHeartbeat guards against an entry that has just started and serves by a stored document.
func TestNoLeaseBeforeTheFirstHeartbeat(t *testing.T) {
	f := newFencedFixture(t, 0)
	response, _ := f.send(keyedRequest)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, f.runs.Load(), int32(0))
}

// TestLeaseIsCheckedAfterTheBody guards against a request that arrives under the lease and whose body comes later.
func TestLeaseIsCheckedAfterTheBody(t *testing.T) {
	f := newFencedFixture(t, 0)
	f.renew(0)
	reader, writer := io.Pipe()
	r, err := http.NewRequest(http.MethodPut, f.server.URL+"/x", reader)
	assert.NilError(t, err)
	r.Host = "h"
	r.Header.Set("Comfreyplank-Key", "key-alder")
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() {
		_, _ = io.WriteString(writer, "x")
		time.Sleep(200 * time.Millisecond)
		f.suspended.Store(int64(time.Second))
		_ = writer.Close()
	})
	response, text := f.do(r)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable, text)
	assert.Assert(t, strings.Contains(text, "still valid"), text)
	assert.Equal(t, f.runs.Load(), int32(0))
}

// TestQueuedCallsNeedTheKeyLease guards against a call that is sent from the queue after a suspension.
func TestQueuedCallsNeedTheKeyLease(t *testing.T) {
	f := newFencedFixture(t, 400*time.Millisecond)
	f.renew(0)
	const calls = 16 // more than the endpoint takes at once
	statuses := make(chan int, calls)
	var group sync.WaitGroup
	defer group.Wait()
	for range calls {
		group.Go(func() {
			r := f.request("GET", "/x", "", "Comfreyplank-Key", "key-alder")
			r.Host = "h"
			response, _ := f.do(r)
			statuses <- response.StatusCode
		})
	}
	time.Sleep(200 * time.Millisecond)
	sent := f.runs.Load()
	f.suspended.Store(int64(time.Second))
	served := int32(0)
	for range calls {
		if <-statuses == http.StatusOK {
			served++
		}
	}
	assert.Assert(t, sent > 0 && sent < calls, "%d were sent at once", sent)
	assert.Equal(t, served, sent)
	assert.Equal(t, f.runs.Load(), sent)
}
