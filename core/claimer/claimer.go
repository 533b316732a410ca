// Package claimer is the state machine of the claims log. It decides which
// attempt may run a once-only request, and keeps what became of it.
package claimer

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// Bounds of the claims.
const (
	// DefaultRetention is how long a key is kept after its claim.
	DefaultRetention = 24 * time.Hour
	// DefaultCapacity is the number of keys that may be kept at once, so that a
	// replica stays within 128 MB.
	DefaultCapacity = 80_000
	// MaxResponseBytes is the largest answer that is kept.
	MaxResponseBytes = 4 << 10
	// MaxKeyBytes is the longest key.
	MaxKeyBytes = 200
)

// Key identifies a once-only request.
type Key struct {
	Service string `json:"s"`
	Value   string `json:"k"`
}

// State is where a key stands.
type State uint8

// The states of a key.
const (
	// StatePending: one attempt may run it, or has.
	StatePending State = iota + 1
	// StateReleased: no attempt has run it, and the last one never will.
	StateReleased
	// StateDone: it ran, and the outcome is known.
	StateDone
	// StateUnknown: it may have run, and nobody will learn.
	StateUnknown
)

// Response is a stored outcome.
type Response struct {
	Status int `json:"c"`
	// Stored is false when the answer was too large to be stored.
	Stored      bool   `json:"h,omitempty"`
	ContentType string `json:"t,omitempty"`
	Location    string `json:"l,omitempty"`
	Body        []byte `json:"b,omitempty"`
}

// Verdict answers a claim.
type Verdict uint8

// The verdicts of a claim.
const (
	// VerdictGranted: this attempt, and no other, may be dispatched.
	VerdictGranted Verdict = iota + 1
	// VerdictPending: another attempt holds the key.
	VerdictPending
	// VerdictDone: the outcome is stored.
	VerdictDone
	// VerdictUnknown: an earlier attempt may have run.
	VerdictUnknown
	// VerdictMismatch: the key belongs to a different request.
	VerdictMismatch
	// VerdictFull: no more keys can be kept.
	VerdictFull
	// VerdictReleased: this attempt gave up its claim before it was granted.
	VerdictReleased
)

// Command is an entry of the claims log: a type switch over its kinds.
type Command interface{ command() }

// Claim asks for the key on behalf of an attempt.
type Claim struct {
	Key Key `json:"key"`
	// Attempt is unique over all entries and time.
	Attempt string `json:"a"`
	// Fingerprint tells one request from another under the same key.
	Fingerprint string `json:"f"`
}

// Release gives the key up: the attempt has proof that it did not run.
type Release struct {
	Key     Key    `json:"key"`
	Attempt string `json:"a"`
}

// Settle stores the outcome of an attempt.
type Settle struct {
	Key      Key      `json:"key"`
	Attempt  string   `json:"a"`
	Unknown  bool     `json:"u,omitempty"`
	Response Response `json:"r"`
}

// AdvanceClock lets time pass for the retention. It carries time that passed on the
// leader's monotonic clock, so no wall clock can expire a claim early.
type AdvanceClock struct {
	Elapsed time.Duration `json:"e"`
}

func (Claim) command()        {}
func (Release) command()      {}
func (Settle) command()       {}
func (AdvanceClock) command() {}

// envelope is the encoded form of a command; exactly one field is set.
type envelope struct {
	Claim   *Claim        `json:"c,omitempty"`
	Release *Release      `json:"r,omitempty"`
	Settle  *Settle       `json:"s,omitempty"`
	Advance *AdvanceClock `json:"a,omitempty"`
}

// Encode returns the form of a command that the log holds.
func Encode(c Command) ([]byte, error) {
	var e envelope
	switch v := c.(type) {
	case Claim:
		e.Claim = &v
	case Release:
		e.Release = &v
	case Settle:
		e.Settle = &v
	case AdvanceClock:
		e.Advance = &v
	}
	data, err := json.Marshal(e)
	return data, errors.Wrap(err, "encode claim command")
}

// Decode reads a command of the log.
func Decode(data []byte) (Command, error) {
	var e envelope
	if err := json.Unmarshal(data, &e); err != nil {
		return nil, errors.Wrap(err, "decode claim command")
	}
	switch {
	case e.Claim != nil:
		return *e.Claim, nil
	case e.Release != nil:
		return *e.Release, nil
	case e.Settle != nil:
		return *e.Settle, nil
	case e.Advance != nil:
		return *e.Advance, nil
	}
	return nil, errors.New("claim command of no known kind")
}

// record is what is kept of a key.
type record struct {
	Key         Key      `json:"key"`
	State       State    `json:"st"`
	Attempt     string   `json:"a"`
	Fingerprint string   `json:"f"`
	Answer      Response `json:"r"`
	// Expires is on the log's own clock.
	Expires time.Duration `json:"x"`
}

// Claimer holds every key that was claimed within the retention.
type Claimer struct {
	retention time.Duration
	capacity  int
	// clock is the sum of all that Advance has carried; it never falls.
	clock   time.Duration
	records map[Key]*record
	// order holds the records by their expiry, those too that a later record of the
	// same key has replaced.
	order []*record
}

// Option sets up a claimer. All replicas must agree on the options.
type Option func(*Claimer)

// WithRetention sets how long keys are kept.
func WithRetention(d time.Duration) Option {
	return func(c *Claimer) { c.retention = d }
}

// WithCapacity sets how many keys are kept at the most.
func WithCapacity(n int) Option {
	return func(c *Claimer) { c.capacity = n }
}

// New returns a claimer without keys.
func New(opts ...Option) *Claimer {
	c := &Claimer{retention: DefaultRetention, capacity: DefaultCapacity, records: make(map[Key]*record)}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Len returns the number of keys that are kept.
func (c *Claimer) Len() int { return len(c.records) }

// Result is what a command led to.
type Result struct {
	Key     Key
	Attempt string
	// Verdict is set for a claim.
	Verdict  Verdict
	Response Response
}

// Apply carries out a command of the log.
func (c *Claimer) Apply(cmd Command) Result {
	switch v := cmd.(type) {
	case Claim:
		return c.claim(v)
	case Release:
		c.release(v)
		return Result{Key: v.Key, Attempt: v.Attempt}
	case Settle:
		c.settle(v)
		return Result{Key: v.Key, Attempt: v.Attempt}
	case AdvanceClock:
		c.advance(v.Elapsed)
	}
	return Result{}
}

func (c *Claimer) claim(v Claim) Result {
	result := Result{Key: v.Key, Attempt: v.Attempt}
	r, ok := c.records[v.Key]
	if !ok {
		result.Verdict = c.grant(v)
		return result
	}
	result.Verdict = r.verdict(v)
	switch result.Verdict {
	case VerdictGranted:
		c.regrant(r, v)
	case VerdictDone:
		result.Response = r.Answer
	}
	return result
}

// grant makes the record of a new key.
func (c *Claimer) grant(v Claim) Verdict {
	if len(c.records) >= c.capacity {
		return VerdictFull
	}
	c.keep(&record{Key: v.Key, State: StatePending, Attempt: v.Attempt, Fingerprint: v.Fingerprint})
	return VerdictGranted
}

// regrant gives a released key to another attempt. Its retention begins anew, with
// a record of its own.
func (c *Claimer) regrant(r *record, v Claim) {
	if r.Attempt != v.Attempt {
		c.keep(&record{Key: v.Key, State: StatePending, Attempt: v.Attempt, Fingerprint: v.Fingerprint})
	}
}

func (c *Claimer) keep(r *record) {
	r.Expires = c.clock + c.retention
	c.records[r.Key] = r
	c.order = append(c.order, r)
}

// verdict decides a claim on a known key. The same attempt gets the same grant
// again, since its first answer may have been lost.
func (r *record) verdict(v Claim) Verdict {
	switch {
	case r.State == StateReleased && r.Attempt == v.Attempt:
		return VerdictReleased
	case r.State == StateReleased:
		return VerdictGranted
	case r.Fingerprint != v.Fingerprint:
		return VerdictMismatch
	case r.State == StateDone:
		return VerdictDone
	case r.State == StateUnknown:
		return VerdictUnknown
	case r.Attempt == v.Attempt:
		return VerdictGranted
	}
	return VerdictPending
}

// release may come before its claim: then the attempt can't be granted any more.
func (c *Claimer) release(v Release) {
	r, ok := c.records[v.Key]
	if !ok {
		if len(c.records) < c.capacity {
			c.keep(&record{Key: v.Key, State: StateReleased, Attempt: v.Attempt})
		}
		return
	}
	if r.State == StatePending && r.Attempt == v.Attempt {
		r.State = StateReleased
	}
}

func (c *Claimer) settle(v Settle) {
	r, ok := c.records[v.Key]
	if !ok || r.State != StatePending || r.Attempt != v.Attempt {
		return
	}
	r.State = StateDone
	r.Answer = v.Response
	if v.Unknown {
		r.State = StateUnknown
	}
}

func (c *Claimer) advance(elapsed time.Duration) {
	if elapsed > 0 {
		c.clock += elapsed
	}
	expired := 0
	for _, r := range c.order {
		if r.Expires > c.clock {
			break
		}
		if c.records[r.Key] == r {
			delete(c.records, r.Key)
		}
		expired++
	}
	c.order = c.order[expired:]
}

// image is the form of a snapshot.
type image struct {
	Clock   time.Duration `json:"clock"`
	Records []*record     `json:"records"`
}

// Snapshot returns the state for storage.
func (c *Claimer) Snapshot() ([]byte, error) {
	current := make([]*record, 0, len(c.records))
	for _, r := range c.order {
		if c.records[r.Key] == r {
			current = append(current, r)
		}
	}
	data, err := json.Marshal(image{c.clock, current})
	return data, errors.Wrap(err, "encode claims snapshot")
}

// Restore returns the state of a snapshot; an empty one holds no keys.
func Restore(data []byte, opts ...Option) (*Claimer, error) {
	c := New(opts...)
	if len(data) == 0 {
		return c, nil
	}
	var i image
	if err := json.Unmarshal(data, &i); err != nil {
		return nil, errors.Wrap(err, "decode claims snapshot")
	}
	c.clock = i.Clock
	c.order = i.Records
	for _, r := range i.Records {
		c.records[r.Key] = r
	}
	return c, nil
}
