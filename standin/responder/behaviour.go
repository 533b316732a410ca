package responder

import "time"

// Behaviour is how a stand-in endpoint acts. It is immutable.
type Behaviour struct {
	// ServiceMs is the mean time of a request in a slot, in ms.
	ServiceMs float64 `json:"service-ms"`
	// Spread is the part of the time that varies: 0 is fixed, 1 exponential.
	Spread float64 `json:"spread"`
	// StraggleFactor slows every request down; 0 and 1 change nothing.
	StraggleFactor float64 `json:"straggle-factor"`
	// ColdMs is how long after its start the endpoint is slow, by ColdFactor.
	ColdMs     int     `json:"cold-ms"`
	ColdFactor float64 `json:"cold-factor"`
	// QueueLimit is how many requests wait for a slot; more are refused.
	QueueLimit int `json:"queue-limit"`
	// FailFast answers 500 at once.
	FailFast bool `json:"fail-fast"`
	// Shed refuses every request as not run.
	Shed bool `json:"shed"`
	// HalfResponse cuts every answer in the middle.
	HalfResponse bool `json:"half-answer"`
	// Endless answers with bytes that are no answer and never end, until the other side
	// closes the connection.
	Endless bool `json:"endless"`
	// LoadOffset is added to each reported load, which is at least 0.
	LoadOffset int `json:"load-offset"`
	// LoadDelayMs makes reported loads that old.
	LoadDelayMs int `json:"load-delay-ms"`
	// NoState leaves the state out of reports.
	NoState bool `json:"no-state"`
	// Draining announces that the endpoint leaves.
	Draining bool `json:"draining"`
}

// Default returns the behaviour of a healthy endpoint.
func Default() Behaviour {
	return Behaviour{ServiceMs: 6, Spread: 1, QueueLimit: 100}
}

// serviceTime returns how long one request takes; random is from an exponential
// distribution of mean 1.
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
