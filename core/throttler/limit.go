package throttler

import "time"

// PermitLife is how long a permit may be used, counted from the time for which it was issued. It
// bounds how many permits of an idle time can be used at once.
const PermitLife = time.Second

// Limit is the limit of an endpoint as the control replicas know it.
type Limit struct {
	// Rate is in requests per second, for all entries together; zero when there is no limit.
	Rate float64
	// Version increases with each change; zero when no replica knows of a limit.
	Version uint64
}

// Restricts reports whether a rate is lower than another one, of which zero means no limit.
func Restricts(rate, than float64) bool { return rate > 0 && (than == 0 || rate < than) }

// Request is what an entry tells the control replicas about an endpoint with a limit.
type Request struct {
	// Limit has the rate that the entry applies, and the latest version that it has received.
	Limit Limit
	// Observed is set if a response to this entry named the rate and no later version has
	// been received since.
	Observed bool
	// WarmUp is the warm-up of the endpoint, as the entry knows it.
	WarmUp WarmUp
	// Permits is how many requests the entry would send to the endpoint soon.
	Permits int
}

// Grant is the reply to a Request.
type Grant struct {
	Limit Limit
	// Entries is the number of entries that the control replicas know; zero when unknown.
	Entries int
	// Permits is how many permits were issued: the first for a time after Delay, which may be
	// negative, and each further one Interval later.
	Permits  int
	Delay    time.Duration
	Interval time.Duration
	// RetryAfter is how long the entry should wait before it requests more.
	RetryAfter time.Duration
	// AskShare is the share of the requests that want a permit for which the entry should ask; zero from a replica of a
	// version that doesn't tell, which means all.
	AskShare float64
}
