package dispatcher

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyplank.org/core/admitter"
	"comfreyplank.org/core/balancer"
)

// scriptedAdmission gives every call the same decision, and counts calls.
type scriptedAdmission struct {
	decision admitter.Decision

	mu                              sync.Mutex
	admitted, givenBack, overloaded int
}

func (s *scriptedAdmission) Admit(string, string, int) admitter.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admitted++
	return s.decision
}

func (s *scriptedAdmission) GiveBack(_, _ string, _ int, overloaded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.givenBack++
	if overloaded {
		s.overloaded++
	}
}

func (s *scriptedAdmission) counts() (givenBack, overloaded int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.givenBack, s.overloaded
}

// TestRefusedAdmissionRunsNothing guards against a call beyond a rate limit or share that reaches an endpoint, and against
// a refusal that does not tell that the call has not run and when to come back.
func TestRefusedAdmissionRunsNothing(t *testing.T) {
	tests := []struct {
		decision admitter.Decision
		status   int
		retry    string
	}{
		{admitter.Decision{Verdict: admitter.RateLimited, RetryAfter: 1200 * time.Millisecond}, http.StatusTooManyRequests, "2"},
		{admitter.Decision{Verdict: admitter.Shed, RetryAfter: 3 * time.Second}, http.StatusServiceUnavailable, "3"},
	}
	for _, tt := range tests {
		f := newFixture(t, startEndpoint(t, func(http.ResponseWriter, *http.Request) { t.Error("the endpoint got a request") }))
		f.deps.Admission = &scriptedAdmission{decision: tt.decision}
		response, _ := f.do(f.request(http.MethodGet, "/x", ""))
		assert.Equal(t, response.StatusCode, tt.status)
		assert.Equal(t, response.Header.Get("Retry-After"), tt.retry)
		assert.Equal(t, response.Header.Get("Comfreyplank-Outcome"), "not-run")
	}
}

// TestCallsThatHaveNotRunAreGivenBack guards against a rate limit that counts calls which no endpoint has run, and against
// one that does not count those that may have.
func TestCallsThatHaveNotRunAreGivenBack(t *testing.T) {
	tests := []struct {
		name      string
		endpoint  http.HandlerFunc
		status    int
		givenBack int
	}{
		{"answered", func(http.ResponseWriter, *http.Request) {}, http.StatusOK, 0},
		{"error of the endpoint", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, http.StatusInternalServerError, 0},
		{"connection broken", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, http.StatusBadGateway, 0},
		{"no endpoint", nil, http.StatusServiceUnavailable, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var addresses []string
			if tt.endpoint != nil {
				addresses = []string{startEndpoint(t, tt.endpoint)}
			}
			f := newFixture(t, addresses...)
			s := &scriptedAdmission{}
			f.deps.Admission = s
			response, _ := f.do(f.request(http.MethodPost, "/x", ""))
			assert.Equal(t, response.StatusCode, tt.status)
			givenBack, _ := s.counts()
			assert.Equal(t, givenBack, tt.givenBack)
		})
	}
}

// TestOverloadIsCounted guards against a shortage of room that control never learns of.
func TestOverloadIsCounted(t *testing.T) {
	tests := []struct {
		name                  string
		refusal               *balancer.Refuse
		givenBack, overloaded int
	}{
		{"response", nil, 0, 0},
		{"overload", &balancer.Refuse{Outcome: balancer.OutcomeNotRun, Reason: balancer.ReasonOverload}, 1, 1},
		{"another reason", &balancer.Refuse{Outcome: balancer.OutcomeNotRun, Reason: balancer.ReasonTimeout}, 1, 0},
		{"may have run", &balancer.Refuse{Outcome: balancer.OutcomeUnknown, Reason: balancer.ReasonOverload}, 0, 0},
	}
	for _, tt := range tests {
		s := &scriptedAdmission{}
		admittedCall{admission: s}.end(tt.refusal)
		givenBack, overloaded := s.counts()
		assert.Equal(t, givenBack, tt.givenBack, tt.name)
		assert.Equal(t, overloaded, tt.overloaded, tt.name)
	}
}
