package subscriber

import (
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"comfreyplank.org/core/balancer"
	"comfreyplank.org/core/claimer"
	"comfreyplank.org/core/messenger"
	"comfreyplank.org/core/registrar"
	"comfreyplank.org/core/validator"
)

// grain is how often the polled subscriber is called.
const grain = 5 * time.Millisecond

// twins are two subscribers that get the same inputs. One is called when it is due, the other
// all the time.
type twins struct {
	due, polled *Subscriber
	now         time.Time
	// beat is the latest sequence that was sent.
	beat     uint64
	sequence uint64
}

func newTwins() *twins {
	one := func() *Subscriber {
		return New(messenger.Hello{Entry: "e"}, []string{"r1", "r2", "r3"}, WithRand(rand.New(rand.NewPCG(1, 1))))
	}
	return &twins{due: one(), polled: one(), now: epoch}
}

// both hands an input to both, and asserts that they do the same.
func (w *twins) both(rt *rapid.T, in Input) {
	want := append([]Action(nil), w.polled.Handle(w.now, in)...)
	got := append([]Action(nil), w.due.Handle(w.now, in)...)
	if !reflect.DeepEqual(got, want) {
		rt.Fatalf("%T at %s: %v when due, %v when always called", in, w.now.Sub(epoch), got, want)
	}
	for _, a := range got {
		if v, ok := a.(Send); ok {
			if b, ok := v.Message.(messenger.Heartbeat); ok {
				w.beat = b.Sequence
			}
		}
	}
}

// pass lets time go by. The polled subscriber must do nothing before the other is due.
func (w *twins) pass(rt *rapid.T, d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		due := w.due.Due()
		if next := w.now.Add(grain); due.IsZero() || due.After(next) {
			w.now = next
			if idle := w.polled.Handle(w.now, Tick{}); len(idle) > 0 {
				rt.Fatalf("%v at %s, due at %s", idle, w.now.Sub(epoch), due.Sub(epoch))
			}
			continue
		}
		if due.After(w.now) {
			w.now = due
		}
		w.both(rt, Tick{})
		if again := w.due.Due(); !again.IsZero() && !again.After(w.now) {
			rt.Fatalf("due at %s again after a Tick at that time", again.Sub(epoch))
		}
	}
}

func (w *twins) announcement(rt *rapid.T) registrar.Announcement {
	w.sequence++
	a := serving(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "endpoint"), false)
	a.Sequence = w.sequence
	return a
}

func (w *twins) randomInput(rt *rapid.T) Input {
	switch rapid.IntRange(0, 8).Draw(rt, "input") {
	case 0:
		if w.due.connecting {
			return Opened{}
		}
	case 1:
		if w.due.connected || w.due.connecting {
			return Closed{}
		}
	case 2:
		return Announced{Announcement: w.announcement(rt)}
	case 3:
		stop := validator.Stop{Service: "s", Endpoint: "a", At: w.now.Add(time.Duration(rapid.IntRange(-500, 3000).Draw(rt, "stop")) * time.Millisecond)}
		w.sequence++
		return MessageReceived{messenger.Configuration{Revision: w.sequence, Document: validator.Document{Services: []validator.Service{{Name: "s"}}, Stops: []validator.Stop{stop}}}}
	case 4:
		return MessageReceived{messenger.EndpointUpdate{Full: rapid.Bool().Draw(rt, "full"), Changed: []registrar.Announcement{w.announcement(rt)}}}
	case 5:
		return Command{Service: "s", Call: balancer.CallID(w.sequence), Command: claimer.Release{}}
	case 6:
		return MessageReceived{messenger.ClaimReply{Request: w.due.lastRequest}}
	case 7:
		return MessageReceived{messenger.Lagging{}}
	}
	return MessageReceived{messenger.HeartbeatReply{Sequence: w.beat, ConfigLease: true}}
}

// TestRandomTicksAreNeededOnlyWhenDue compares a subscriber that is called when it says so
// with one that is called all the time: both do the same at the same times.
func TestRandomTicksAreNeededOnlyWhenDue(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newTwins()
		w.both(rt, Tick{})
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			w.both(rt, w.randomInput(rt))
			w.pass(rt, time.Duration(rapid.IntRange(0, 6000).Draw(rt, "ms"))*time.Millisecond)
		}
	})
}

// TestSubscriberInStandingIsCalledForItsBeats counts how often an entry at rest is called.
func TestSubscriberInStandingIsCalledForItsBeats(t *testing.T) {
	s := configured()
	now := epoch
	ticks := 0
	const length = 20 * messenger.HeartbeatInterval
	for now.Before(epoch.Add(length)) {
		now = s.Due()
		ticks++
		for _, a := range append([]Action(nil), s.Handle(now, Tick{})...) {
			if v, ok := a.(Send); ok {
				s.Handle(now, MessageReceived{messenger.HeartbeatReply{Sequence: v.Message.(messenger.Heartbeat).Sequence, ConfigLease: true}})
			}
		}
	}
	// One more before it is in standing, and one at the end.
	assert.Assert(t, ticks <= int(length/messenger.HeartbeatInterval)+2, "%d", ticks)
}
