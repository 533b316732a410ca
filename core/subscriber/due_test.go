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

// pollInterval is the time between two ticks of the polled subscriber.
const pollInterval = 5 * time.Millisecond

// pair holds two subscribers that get the same inputs. One gets a Tick when it is due, the
// other one at short intervals.
type pair struct {
	due, polled *Subscriber
	now         time.Time
	// heartbeat is the sequence number of the last heartbeat that was sent.
	heartbeat uint64
	sequence  uint64
}

func newPair() *pair {
	newSubscriber := func() *Subscriber {
		return New(messenger.Hello{Entry: "e"}, []string{"r1", "r2", "r3"}, WithRand(rand.New(rand.NewPCG(1, 1))))
	}
	return &pair{due: newSubscriber(), polled: newSubscriber(), now: epoch}
}

// handle gives both subscribers an input and checks that they return the same actions.
func (p *pair) handle(rt *rapid.T, in Input) {
	want := append([]Action(nil), p.polled.Handle(p.now, in)...)
	got := append([]Action(nil), p.due.Handle(p.now, in)...)
	if !reflect.DeepEqual(got, want) {
		rt.Fatalf("%T at %s: the due subscriber returned %v, the polled one %v", in, p.now.Sub(epoch), got, want)
	}
	for _, a := range got {
		if v, ok := a.(Send); ok {
			if b, ok := v.Message.(messenger.Heartbeat); ok {
				p.heartbeat = b.Sequence
			}
		}
	}
}

// advance moves the clock forward by d. The polled subscriber must return no action before the
// other one is due.
func (p *pair) advance(rt *rapid.T, d time.Duration) {
	for end := p.now.Add(d); p.now.Before(end); {
		due := p.due.Due()
		if next := p.now.Add(pollInterval); due.IsZero() || due.After(next) {
			p.now = next
			if early := p.polled.Handle(p.now, Tick{}); len(early) > 0 {
				rt.Fatalf("%v at %s, but due at %s", early, p.now.Sub(epoch), due.Sub(epoch))
			}
			continue
		}
		if due.After(p.now) {
			p.now = due
		}
		p.handle(rt, Tick{})
		if again := p.due.Due(); !again.IsZero() && !again.After(p.now) {
			rt.Fatalf("still due at %s after a Tick at that time", again.Sub(epoch))
		}
	}
}

func (p *pair) announcement(rt *rapid.T) registrar.Announcement {
	p.sequence++
	a := serving(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "endpoint"), false)
	a.Sequence = p.sequence
	return a
}

func (p *pair) randomInput(rt *rapid.T) Input {
	switch rapid.IntRange(0, 9).Draw(rt, "input") {
	case 0:
		if p.due.connecting {
			return Opened{}
		}
	case 1:
		if p.due.connected || p.due.connecting {
			return Closed{}
		}
	case 2:
		return Announced{Announcement: p.announcement(rt)}
	case 3:
		stop := validator.Stop{Service: "s", Endpoint: "a", At: p.now.Add(time.Duration(rapid.IntRange(-500, 3000).Draw(rt, "stop")) * time.Millisecond)}
		p.sequence++
		return MessageReceived{messenger.Configuration{Revision: p.sequence, Document: validator.Document{Services: []validator.Service{{Name: "s"}}, Stops: []validator.Stop{stop}}}}
	case 4:
		return MessageReceived{messenger.EndpointUpdate{Full: rapid.Bool().Draw(rt, "full"), Changed: []registrar.Announcement{p.announcement(rt)}}}
	case 5:
		return Command{Service: "s", Call: balancer.CallID(p.sequence), Command: claimer.Release{}}
	case 6:
		return MessageReceived{messenger.ClaimReply{Request: p.due.lastRequest}}
	case 7:
		return MessageReceived{messenger.Lagging{}}
	case 8:
		return UsageCounted{Report: usageOf(1), Confirm: rapid.Bool().Draw(rt, "confirm")}
	}
	return MessageReceived{messenger.HeartbeatReply{Sequence: p.heartbeat, ConfigLease: true}}
}

// TestRandomTicksAreNeededOnlyWhenDue compares a subscriber that gets a Tick when it is due
// with one that is polled: both must return the same actions at the same times.
func TestRandomTicksAreNeededOnlyWhenDue(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := newPair()
		p.handle(rt, Tick{})
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			p.handle(rt, p.randomInput(rt))
			p.advance(rt, time.Duration(rapid.IntRange(0, 6000).Draw(rt, "ms"))*time.Millisecond)
		}
	})
}

// TestIdleSubscriberIsDueOnlyForHeartbeats counts the ticks of an idle entry that holds its
// configuration lease.
func TestIdleSubscriberIsDueOnlyForHeartbeats(t *testing.T) {
	s := configured()
	now := epoch
	ticks := 0
	const duration = 20 * messenger.HeartbeatInterval
	for now.Before(epoch.Add(duration)) {
		now = s.Due()
		ticks++
		for _, a := range append([]Action(nil), s.Handle(now, Tick{})...) {
			if v, ok := a.(Send); ok {
				s.Handle(now, MessageReceived{messenger.HeartbeatReply{Sequence: v.Message.(messenger.Heartbeat).Sequence, ConfigLease: true}})
			}
		}
	}
	// One more Tick precedes the lease, and one comes at the end.
	assert.Assert(t, ticks <= int(duration/messenger.HeartbeatInterval)+2, "%d ticks", ticks)
}
