package stager

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// oddAnnouncements are announcements that another writer could have made, each with its path below the
// service and its body.
var oddAnnouncements = []struct{ name, method, endpoint, body string }{
	{"nested deeply", "PUT", "odd", strings.Repeat("[", 8_000) + strings.Repeat("]", 8_000)},
	{"field nested deeply", "PUT", "odd", `{"address":` + strings.Repeat(`{"a":`, 2_000) + "1" + strings.Repeat("}", 2_000) + "}"},
	{"number beyond 64 bits", "PUT", "odd", oddBody(`"incarnation":99999999999999999999`)},
	{"largest incarnation", "PUT", "odd-largest", oddBody(`"incarnation":18446744073709551615,"sequence":18446744073709551615`)},
	{"negative number", "PUT", "odd", oddBody(`"slots":-1`)},
	{"negative incarnation", "PUT", "odd", oddBody(`"incarnation":-1`)},
	{"number with an exponent", "PUT", "odd", oddBody(`"incarnation":1e400`)},
	{"fraction", "PUT", "odd", oddBody(`"sequence":1.5`)},
	{"not a number", "PUT", "odd", oddBody(`"load":NaN`)},
	{"port out of range", "PUT", "odd", oddBody(`"address":"127.0.0.1:65536"`)},
	{"negative port", "PUT", "odd", oddBody(`"address":"127.0.0.1:-1"`)},
	{"port zero", "PUT", "odd-port", oddBody(`"address":"127.0.0.1:0"`)},
	{"address with an odd zone", "PUT", "odd-zone", oddBody(`"address":"[fe80::1%\u0000` + strings.Repeat("z", 3000) + `]:80"`)},
	{"no address", "PUT", "odd", oddBody(`"address":""`)},
	{"invalid UTF-8 in the body", "PUT", "odd", oddBody(`"data-centre":"` + "\xff\xfe" + `"`)},
	{"invalid UTF-8 in the name", "PUT", "%FF%FE", oddBody(`"load":1`)},
	{"long name", "PUT", strings.Repeat("n", 20_000), oddBody(`"load":1`)},
	{"key twice", "PUT", "odd-twice", oddBody(`"slots":4,"slots":5`)},
	{"departure with invalid UTF-8 in the name", "DELETE", "%FF%FE", oddBody(`"load":1`)},
	{"departure with a long name", "DELETE", strings.Repeat("n", 20_000), oddBody(`"load":1`)},
	{"departure with an odd state", "DELETE", "odd-state", oddBody(`"state":"` + "\xff" + `"`)},
	{"departure with an odd address", "DELETE", "odd-address", oddBody(`"address":"` + strings.Repeat("a", 10_000) + `"`)},
	{"list", "PUT", "odd", "[1,2]"},
	{"null", "PUT", "odd", "null"},
	{"no body", "PUT", "odd", ""},
	{"half a body", "PUT", "odd", `{"address":"127.0.0.1:1`},
	{"data after the end", "PUT", "odd", oddBody(`"load":1`) + "{}"},
}

// oddBody returns a valid announcement with fields added; of a field that is there twice, the last
// one holds.
func oddBody(fields string) string {
	return `{"address":"127.0.0.1:9","data-centre":"dc-1","slots":4,"connections":100,"state":"serving","incarnation":1,"sequence":1,` + fields + "}"
}

// TestOddAnnouncementsCostThemselvesAlone guards against an announcement that ends a process, or stops the
// streams between processes: later changes and endpoints don't arrive then.
func TestOddAnnouncementsCostThemselvesAlone(t *testing.T) {
	s := startStage(t, 2, 1)
	revision := uint64(1)
	for i, odd := range oddAnnouncements {
		for _, e := range s.Entries {
			r, err := http.NewRequest(odd.method, "http://"+e.Listen+"/comfreyplank/v1/services/rounds/endpoints/"+odd.endpoint, bytes.NewReader([]byte(odd.body)))
			assert.NilError(t, err)
			response, err := http.DefaultClient.Do(r)
			assert.NilError(t, err, odd.name)
			_, _ = io.Copy(io.Discard, response.Body)
			assert.NilError(t, response.Body.Close())
			assert.Assert(t, response.StatusCode < http.StatusInternalServerError, "%s: %d", odd.name, response.StatusCode)
		}
		if i%5 == 0 { // a change reaches every entry over its stream
			result := s.apply(t, Document(revision, fmt.Sprint("after-", i)))
			assert.Equal(t, result.Status, "in-force", odd.name)
			revision++
		}
	}
	result := s.apply(t, Document(revision, "last"))
	assert.Equal(t, result.Status, "in-force")
	for _, e := range s.Entries {
		assert.NilError(t, WaitUntil(testTimeout, e.Ready))
		response, err := http.Get("http://" + e.Listen + "/rounds/x")
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, response.StatusCode, http.StatusOK)
	}
	s.assertRunning(t)
	assert.NilError(t, s.AddStandin("rounds"))
	assert.NilError(t, s.StartProcess(s.Standins[1]))
	name := s.Standins[1].Name
	for _, c := range s.Controls {
		assert.NilError(t, WaitUntil(20*time.Second, func() bool { return c.knows(name) }), "%s at %s", name, c.Name)
	}
}

// TestOddDeparturesDontHoldUpOthers guards against a departure that no message can carry: the entry's stream to
// control broke each time it was sent, with everything else on it.
func TestOddDeparturesDontHoldUpOthers(t *testing.T) {
	s := startStage(t, 1, 2)
	entry := s.Entries[0]
	stop := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(10 * time.Millisecond):
			}
			r, err := http.NewRequest(http.MethodDelete, fmt.Sprintf("http://%s/comfreyplank/v1/services/rounds/endpoints/%%FF%d", entry.Listen, i), strings.NewReader(oddBody(`"load":1`)))
			assert.Check(t, err)
			if response, err := http.DefaultClient.Do(r); assert.Check(t, err) {
				assert.Check(t, response.Body.Close())
			}
		}
	})
	unready := 0
	for range 150 {
		time.Sleep(20 * time.Millisecond)
		if !entry.Ready() {
			unready++
		}
	}
	result := s.apply(t, Document(1, "meanwhile"))
	close(stop)
	group.Wait()
	assert.Equal(t, result.Status, "in-force")
	assert.Equal(t, unready, 0, "of 150 readiness checks")
}

// knows reports whether a replica knows the endpoint.
func (p *Process) knows(endpoint string) bool {
	var status struct {
		Endpoints []struct {
			Endpoint string `json:"endpoint"`
		} `json:"endpoints"`
	}
	if Get("http://"+p.Admin+"/comfreyplank/v1/status", &status) != nil {
		return false
	}
	for _, e := range status.Endpoints {
		if e.Endpoint == endpoint {
			return true
		}
	}
	return false
}

// assertRunning checks that no process has ended by itself.
func (s *Stage) assertRunning(t *testing.T) {
	t.Helper()
	for _, group := range [][]*Process{s.Controls, s.Entries, s.Standins} {
		for _, p := range group {
			assert.NilError(t, p.Signal(0), p.Name)
		}
	}
}
