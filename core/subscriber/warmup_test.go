package subscriber

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyplank.org/core/messenger"
	"comfreyplank.org/core/registrar"
	"comfreyplank.org/core/validator"
)

// TestWarmUpCountsFromItsArrival guards against a warm-up that starts again when an announcement is passed on again, or
// when the endpoints are listed again, and against one of another process.
func TestWarmUpCountsFromItsArrival(t *testing.T) {
	at := epoch.Add
	tests := []struct {
		name        string
		at          time.Duration
		incarnation uint64
		sequence    uint64
		warmUp      time.Duration
		direct      bool
		want        time.Time
	}{
		{"announced", 0, 1, 2, 5 * time.Second, false, at(5 * time.Second)},
		{"the same again", time.Second, 1, 2, 5 * time.Second, false, at(5 * time.Second)},
		{"an earlier one", time.Second, 1, 1, 0, false, at(5 * time.Second)},
		{"a later one", 2 * time.Second, 1, 3, 3 * time.Second, false, at(5 * time.Second)},
		{"longer, directly", 2 * time.Second, 1, 4, 8 * time.Second, true, at(10 * time.Second)},
		{"an earlier one by a replica", 3 * time.Second, 1, 3, 0, false, at(10 * time.Second)},
		{"ended", 3 * time.Second, 1, 5, 0, false, time.Time{}},
		{"another process", 3 * time.Second, 2, 1, time.Second, false, at(4 * time.Second)},
	}
	for _, rate := range []float64{0, 5} {
		s := configured()
		v := view{}
		document := validator.Document{Services: []validator.Service{{Name: "s", WarmUpRequestsPerSecond: rate}}}
		s.Handle(epoch, MessageReceived{messenger.Configuration{Revision: 2, Document: document}})
		for _, tt := range tests {
			a := serving("a", false)
			a.Incarnation, a.Sequence, a.WarmUp = tt.incarnation, tt.sequence, tt.warmUp
			var in Input = MessageReceived{messenger.EndpointUpdate{Full: tt.sequence%2 == 0, Changed: []registrar.Announcement{a}}}
			if tt.direct {
				in = Announced{a}
			}
			v.apply(s.Handle(at(tt.at), in))
			want := tt.want
			if rate == 0 {
				want = time.Time{}
			}
			assert.Assert(t, v["a"].WarmUpUntil.Equal(want), "%s: %s", tt.name, v["a"].WarmUpUntil)
			assert.Equal(t, v["a"].WarmUp, time.Duration(0))
		}
	}
}
