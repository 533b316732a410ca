package balancer

import (
	"fmt"
	"time"

	"comfreyplank.org/core/claimer"
)

// claim asks for the key of a once-only call, if the key may still be claimed.
func (b *Balancer) claim(now time.Time, c *call) {
	if reason, ok := b.checkKey(now, c); !ok {
		b.refuse(now, c, reason)
		return
	}
	if !b.inStanding(now) {
		b.refuse(now, c, ReasonStanding)
		return
	}
	b.lastAttempt++
	c.claim = fmt.Sprintf("%s/%d", b.entry, b.lastAttempt)
	b.sendClaim(c)
}

func (b *Balancer) checkKey(now time.Time, c *call) (Reason, bool) {
	if c.Key == "" || len(c.Key) > claimer.MaxKeyBytes {
		return ReasonKeyMissing, false
	}
	switch claimer.KeyAge(c.Key, now, b.retention) {
	case claimer.AgeTooOld:
		return ReasonKeyTooOld, false
	case claimer.AgeFuture:
		return ReasonKeyFuture, false
	}
	return "", true
}

func (b *Balancer) sendClaim(c *call) {
	c.phase = phaseClaiming
	b.do(ProposeCommand{Call: c.ID, Command: claimer.Claim{Key: b.keyOf(c), Attempt: c.claim, Fingerprint: c.Fingerprint}})
}

// onClaimDecided goes on with a call once its claim is decided. A grant that
// comes too late for its call is given back: it was not dispatched.
func (b *Balancer) onClaimDecided(now time.Time, v ClaimDecided) {
	c, ok := b.calls[v.Call]
	if !ok || c.phase != phaseClaiming || c.claim != v.Attempt {
		return
	}
	if v.NotProposed {
		c.phase = phaseWaiting // for a leader of the claims log
		b.schedule(now.Add(claimAgain), c.ID, timerClaim)
		return
	}
	switch v.Verdict {
	case claimer.VerdictGranted:
		c.granted = true
		c.mayHaveRun = false // whoever held the key has proved that it did not run
		b.start(now, c)
		return
	case claimer.VerdictPending:
		c.phase = phaseWaiting
		c.mayHaveRun = true // by the attempt that holds the key
		b.schedule(now.Add(claimAgain), c.ID, timerClaim)
		return
	}
	c.claim = ""
	b.onClaimDenied(now, c, v)
}

// onClaimDenied ends a call whose key is settled, or not to be had.
func (b *Balancer) onClaimDenied(now time.Time, c *call, v ClaimDecided) {
	switch v.Verdict {
	case claimer.VerdictDone:
		b.replay(now, c, v.Response)
	case claimer.VerdictUnknown:
		c.mayHaveRun = true
		b.refuse(now, c, ReasonKeyOutcomeUnknown)
	case claimer.VerdictMismatch:
		b.refuse(now, c, ReasonKeyMismatch)
	default:
		b.refuse(now, c, ReasonClaim)
	}
}

func (b *Balancer) replay(now time.Time, c *call, answer claimer.Response) {
	if !answer.Stored {
		c.mayHaveRun = true
		b.refuse(now, c, ReasonResponseTooLarge)
		return
	}
	if !c.gone {
		b.do(Replay{Call: c.ID, Response: answer})
	}
	b.end(now, c)
}

// giveUpClaim releases a key that is ours, or a claim on its way. The attempt that
// it was made for has not run.
func (b *Balancer) giveUpClaim(c *call) {
	if c.claim == "" {
		return
	}
	b.do(ProposeCommand{Call: c.ID, Command: claimer.Release{Key: b.keyOf(c), Attempt: c.claim}})
	c.granted = false
	c.claim = ""
}

// settle stores the outcome of a call whose key is ours.
func (b *Balancer) settle(c *call, s claimer.Settle) {
	if !c.granted {
		return
	}
	s.Key = b.keyOf(c)
	s.Attempt = c.claim
	b.do(ProposeCommand{Call: c.ID, Command: s})
	c.granted = false
	c.claim = ""
}
