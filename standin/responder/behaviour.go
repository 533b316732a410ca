package responder

import "time"

// Behaviour holds the parameters and faults of a stand-in endpoint. It is immutable.
type Behaviour struct {
	// ServiceMs is the mean service time of a request, in ms.
	ServiceMs float64 `json:"service-ms"`
	// Spread is the part of the service time that varies: 0 makes it constant, 1
	// exponentially distributed.
	Spread float64 `json:"spread"`
	// StraggleFactor multiplies the service time; 0 and 1 change nothing.
	StraggleFactor float64 `json:"straggle-factor"`
	// ColdMs is how long after the start the service time is multiplied by ColdFactor.
	ColdMs     int     `json:"cold-ms"`
	ColdFactor float64 `json:"cold-factor"`
	// QueueLimit is how many requests may wait for a slot; further ones are refused.
	QueueLimit int `json:"queue-limit"`
	// FailFast makes the endpoint respond with status 500 at once.
	FailFast bool `json:"fail-fast"`
	// Shed makes the endpoint refuse every request as not run.
	Shed bool `json:"shed"`
	// HalfResponse makes the endpoint abort every response in the middle.
	HalfResponse bool `json:"half-answer"`
	// Endless makes the endpoint send malformed responses that never end, until the other
	// side closes the connection.
	Endless bool `json:"endless"`
	// EndlessBody makes such responses well-formed, with a body that never ends: their beginning is passed on.
	EndlessBody bool `json:"endless-body"`
	// LoadOffset is added to each reported load; the sum is reported as at least 0.
	LoadOffset int `json:"load-offset"`
	// LoadDelayMs is the age of the reported loads.
	LoadDelayMs int `json:"load-delay-ms"`
	// NoState omits the state from reports.
	NoState bool `json:"no-state"`
	// Limit is named in responses as the requests per second that the endpoint takes from all
	// entries together; empty names none.
	Limit string `json:"limit"`
	// Draining makes the endpoint announce that it drains.
	Draining bool `json:"draining"`
}

// Default returns the behaviour of a healthy endpoint.
func Default() Behaviour {
	return Behaviour{ServiceMs: 6, Spread: 1, QueueLimit: 100}
}

// serviceTime returns the service time of one request. The argument random is drawn from an
// exponential distribution with mean 1.
func (b Behaviour) serviceTime(uptime time.Duration, random float64) time.Duration {
	factor := 1 - b.Spread + b.Spread*random
	if b.StraggleFactor > 0 {
		factor *= b.StraggleFactor
	}
	if uptime < time.Duration(b.ColdMs)*time.Millisecond && b.ColdFactor > 0 {
		factor *= b.ColdFactor
	}
	return time.Duration(b.ServiceMs * factor * float64(time.Millisecond))
}
