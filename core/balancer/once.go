package balancer

import (
	"fmt"
	"time"

	"comfreyplank.org/core/claimer"
)

// claim claims the key of a once-only call if the key is valid and the entry holds its
// configuration lease.
func (b *Balancer) claim(now time.Time, c *call) {
	if reason, ok := b.checkKey(now, c); !ok {
		b.refuse(now, c, reason)
		return
	}
	if !b.holdsConfigLease(now) {
		b.refuse(now, c, ReasonNoConfigLease)
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
	b.emit(ProposeCommand{Call: c.ID, Command: claimer.Claim{Key: b.keyOf(c), Attempt: c.claim, Fingerprint: c.Fingerprint}})
}

// onClaimDecided continues a call once its claim is decided. A grant for a call that has ended is
// ignored: the call was not dispatched, and its claim has been released.
func (b *Balancer) onClaimDecided(now time.Time, v ClaimDecided) {
	c, ok := b.calls[v.Call]
	if !ok || c.phase != phaseClaiming || c.claim != v.Attempt {
		return
	}
	if v.NotProposed {
		c.phase = phaseClaimRetry // until the claims log has a leader
		b.schedule(now.Add(claimRetryInterval), c.ID, timerClaim)
		return
	}
	switch v.Verdict {
	case claimer.VerdictGranted:
		c.claimGranted = true
		c.mayHaveRun = false // the previous holder of the key has proved that it did not run
		b.start(now, c)
		return
	case claimer.VerdictPending:
		c.phase = phaseClaimRetry
		c.mayHaveRun = true // in the attempt that holds the key
		b.schedule(now.Add(claimRetryInterval), c.ID, timerClaim)
		return
	}
	c.claim = ""
	b.onClaimDenied(now, c, v)
}

// onClaimDenied ends a call whose key is settled or can't be claimed.
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
		b.refuse(now, c, ReasonClaimFailed)
	}
}

func (b *Balancer) replay(now time.Time, c *call, response claimer.Response) {
	if !response.Stored {
		c.mayHaveRun = true
		b.refuse(now, c, ReasonResponseTooLarge)
		return
	}
	if !c.disconnected {
		b.emit(Replay{Call: c.ID, Response: response})
	}
	b.endCall(now, c)
}

// releaseClaim releases a key that the call holds, or for which its claim is pending. The attempt
// that it was claimed for has not run.
func (b *Balancer) releaseClaim(c *call) {
	if c.claim == "" {
		return
	}
	b.emit(ProposeCommand{Call: c.ID, Command: claimer.Release{Key: b.keyOf(c), Attempt: c.claim}})
	c.claimGranted = false
	c.claim = ""
}

// settleClaim stores the outcome of a call that holds its key.
func (b *Balancer) settleClaim(c *call, settle claimer.Settle) {
	if !c.claimGranted {
		return
	}
	settle.Key = b.keyOf(c)
	settle.Attempt = c.claim
	b.emit(ProposeCommand{Call: c.ID, Command: settle})
	c.claimGranted = false
	c.claim = ""
}
