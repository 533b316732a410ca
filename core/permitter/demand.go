package permitter

import (
	"math"
	"time"
)

const (
	// demandTime is the time over which the demand is averaged.
	demandTime = 2 * time.Second
	// asksPerPermit is how many requests for a permit entries should send for each one that the limit allows: enough
	// that the next permit is asked for soon, and few enough that the messages follow the limit and not the entries.
	asksPerPermit = 4
	// minAsksPerSecond is the rate of requests below which none is left out: it bounds how long a permit of a low limit
	// lies unused.
	minAsksPerSecond = 6
)

// demand estimates how many requests a second want a permit, at all entries together, from those of them for which
// entries ask.
type demand struct {
	// count is the number of requests within about demandTime before at, as an average that decays.
	count float64
	at    time.Time
	// share is the share of the requests for which entries should ask; zero before the first.
	share float64
}

// add counts requests for which an entry asks, and determines the share.
func (d *demand) add(now time.Time, asked int, rate float64) {
	if d.share == 0 {
		d.share = 1
	}
	d.count = d.count*math.Exp(-now.Sub(d.at).Seconds()/demandTime.Seconds()) + float64(asked)/d.share
	d.at = now
	target := max(asksPerPermit*rate, minAsksPerSecond) * demandTime.Seconds()
	d.share = math.Min(1, target/d.count)
}
