package permitter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyplank.org/core/throttler"
)

// issuedIn returns how many permits are issued within ten seconds to an entry that asks for one every 10 ms.
func issuedIn(p *Permitter, from time.Time, v throttler.Request) int {
	issued := 0
	for i := range 1000 {
		v.Permits = 1
		g, _ := p.Handle(from.Add(time.Duration(i)*10*time.Millisecond), 1, name, 1, v)
		issued += g.Permits
	}
	return issued
}

// TestWarmUpIsThrottled guards against a warm-up that raises the limit of an endpoint or ends it, and against one that
// outlasts its end.
func TestWarmUpIsThrottled(t *testing.T) {
	cold := throttler.WarmUp{Rate: 6, Left: 10 * time.Second}
	tests := []struct {
		name    string
		limit   float64
		request throttler.Request
		issued  int
	}{
		{"warm-up alone", 0, throttler.Request{WarmUp: cold}, 60},
		{"with a lower limit", 2, throttler.Request{WarmUp: cold}, 20},
		{"with a higher limit", 20, throttler.Request{WarmUp: cold}, 60},
		{"limit alone", 20, throttler.Request{}, 200},
		{"from an entry that does not know the warm-up", 20, throttler.Request{}, 200},
		{"neither", 0, throttler.Request{}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := New()
			if tt.limit > 0 {
				p.Handle(epoch, 1, name, 1, observed(tt.limit, 0))
				l, _ := p.Find(name)
				tt.request.Limit = l.Limit
			}
			issued := issuedIn(p, epoch, tt.request)
			assert.Assert(t, issued >= tt.issued && issued <= tt.issued+2, "%d issued", issued)
			assert.Equal(t, len(p.Limits()) > 0, tt.limit > 0, "a warm-up is not passed on as a limit")
			l, _ := p.Find(name)
			assert.Equal(t, l.Limit.Rate, tt.limit)
		})
	}
}

// TestWarmUpBindsEntriesThatDoNotKnowIt guards against permits of the usual rate for some entries beside those of the warm-up.
func TestWarmUpBindsEntriesThatDoNotKnowIt(t *testing.T) {
	p := New()
	p.Handle(epoch, 1, name, 1, observed(20, 0))
	l, _ := p.Find(name)
	p.Handle(epoch, 1, name, 1, throttler.Request{Limit: l.Limit, Permits: 1, WarmUp: throttler.WarmUp{Rate: 6, Left: 20 * time.Second}})
	issued := issuedIn(p, epoch, throttler.Request{Limit: l.Limit})
	assert.Assert(t, issued >= 60 && issued <= 62, "%d issued", issued)
	p.EndWarmUp(name, 1)
	issued = issuedIn(p, epoch.Add(10*time.Second), throttler.Request{Limit: l.Limit})
	assert.Assert(t, issued >= 200 && issued <= 202, "%d issued", issued)
}
