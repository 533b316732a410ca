// Package claimer is the state machine of the claims log. It decides which attempt may run a
// once-only request, and stores the outcome.
package claimer

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// Limits of the claims log.
const (
	// DefaultRetention is how long a key is stored after its claim.
	DefaultRetention = 24 * time.Hour
	// DefaultCapacity is the maximum number of stored keys. It keeps the memory of a replica
	// within 128 MB.
	DefaultCapacity = 80_000
	// MaxResponseBytes is the size of the largest response that is stored.
	MaxResponseBytes = 4 << 10
	// MaxKeyBytes is the maximum length of a key.
	MaxKeyBytes = 200
)

// Key identifies a once-only request by its service and the key that the caller sent.
type Key struct {
	Service string `json:"s"`
	Value   string `json:"k"`
}

// State is the state of a key.
type State uint8

// The states of a key.
const (
	// StatePending means that one attempt may run the request, or has run it.
	StatePending State = iota + 1
	// StateReleased means that no attempt has run the request, and that the last one never will.
	StateReleased
	// StateDone means that the request ran and its outcome is known.
	StateDone
	// StateUnknown means that the request may have run, and its outcome will never be known.
	StateUnknown
)

// Response is the stored response to a once-only request.
type Response struct {
	Status int `json:"c"`
	// Stored is false if the response was too large to be stored.
	Stored      bool   `json:"h,omitempty"`
	ContentType string `json:"t,omitempty"`
	Location    string `json:"l,omitempty"`
	Body        []byte `json:"b,omitempty"`
}

// Verdict is the decision on a claim.
type Verdict uint8

// The possible verdicts.
const (
	// VerdictGranted means that this attempt, and no other, may be dispatched.
	VerdictGranted Verdict = iota + 1
	// VerdictPending means that another attempt holds the key.
	VerdictPending
	// VerdictDone means that the outcome is stored.
	VerdictDone
	// VerdictUnknown means that an earlier attempt may have run.
	VerdictUnknown
	// VerdictMismatch means that the key belongs to a different request.
	VerdictMismatch
	// VerdictFull means that the capacity for keys is exhausted.
	VerdictFull
	// VerdictReleased means that this attempt released its claim before the claim was granted.
	VerdictReleased
)

// Command is an entry of the claims log: a Claim, Release, Settle or AdvanceClock.
type Command interface{ command() }

// Claim requests the key for an attempt.
type Claim struct {
	Key Key `json:"key"`
	// Attempt is unique across all entry processes and for all time.
	Attempt string `json:"a"`
	// Fingerprint distinguishes different requests with the same key.
	Fingerprint string `json:"f"`
}

// Release gives up the key. The sender has proof that the attempt did not run.
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

// AdvanceClock advances the clock that the retention is measured by. Elapsed is measured on the
// leader's monotonic clock, so no wall clock can expire a claim early.
type AdvanceClock struct {
	Elapsed time.Duration `json:"e"`
}

func (Claim) command()        {}
func (Release) command()      {}
func (Settle) command()       {}
func (AdvanceClock) command() {}

// encodedCommand is the encoding of a command in the log. Exactly one field is set.
type encodedCommand struct {
	Claim        *Claim        `json:"c,omitempty"`
	Release      *Release      `json:"r,omitempty"`
	Settle       *Settle       `json:"s,omitempty"`
	AdvanceClock *AdvanceClock `json:"a,omitempty"`
}

// Encode encodes a command for the log.
func Encode(c Command) ([]byte, error) {
	var e encodedCommand
	switch v := c.(type) {
	case Claim:
		e.Claim = &v
	case Release:
		e.Release = &v
	case Settle:
		e.Settle = &v
	case AdvanceClock:
		e.AdvanceClock = &v
	}
	data, err := json.Marshal(e)
	return data, errors.Wrap(err, "encode claim command")
}

// Decode decodes a command of the log.
func Decode(data []byte) (Command, error) {
	var e encodedCommand
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
	case e.AdvanceClock != nil:
		return *e.AdvanceClock, nil
	}
	return nil, errors.New("claim command has no known kind")
}

// record is the stored state of a key.
type record struct {
	Key         Key      `json:"key"`
	State       State    `json:"st"`
	Attempt     string   `json:"a"`
	Fingerprint string   `json:"f"`
	Response    Response `json:"r"`
	// ExpiresAt is a time of the clock that AdvanceClock advances.
	ExpiresAt time.Duration `json:"x"`
}

// Claimer holds all keys that were claimed within the retention time.
type Claimer struct {
	retention time.Duration
	capacity  int
	// clock is the sum of all AdvanceClock commands; it never decreases.
	clock   time.Duration
	records map[Key]*record
	// byExpiry holds the records in the order of their expiry, including records that a later
	// record of the same key has replaced.
	byExpiry []*record
}

// Option configures a Claimer. All replicas must use the same options.
type Option func(*Claimer)

// WithRetention sets how long keys are stored.
func WithRetention(d time.Duration) Option {
	return func(c *Claimer) { c.retention = d }
}

// WithCapacity sets the maximum number of stored keys.
func WithCapacity(n int) Option {
	return func(c *Claimer) { c.capacity = n }
}

// New returns a Claimer without keys.
func New(opts ...Option) *Claimer {
	c := &Claimer{retention: DefaultRetention, capacity: DefaultCapacity, records: make(map[Key]*record)}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Len returns the number of stored keys.
func (c *Claimer) Len() int { return len(c.records) }

// Result is the result of a command.
type Result struct {
	Key     Key
	Attempt string
	// Verdict is set only for a claim.
	Verdict  Verdict
	Response Response
}

// Apply executes a command of the log.
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
		result.Response = r.Response
	}
	return result
}

// grant creates the record of a new key.
func (c *Claimer) grant(v Claim) Verdict {
	if len(c.records) >= c.capacity {
		return VerdictFull
	}
	c.addRecord(&record{Key: v.Key, State: StatePending, Attempt: v.Attempt, Fingerprint: v.Fingerprint})
	return VerdictGranted
}

// regrant grants a released key to another attempt. A new record restarts the retention time.
func (c *Claimer) regrant(r *record, v Claim) {
	if r.Attempt != v.Attempt {
		c.addRecord(&record{Key: v.Key, State: StatePending, Attempt: v.Attempt, Fingerprint: v.Fingerprint})
	}
}

func (c *Claimer) addRecord(r *record) {
	r.ExpiresAt = c.clock + c.retention
	c.records[r.Key] = r
	c.byExpiry = append(c.byExpiry, r)
}

// verdict decides a claim on a known key. An attempt that holds the key is granted it again,
// since the first reply may have been lost.
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

// release marks the key as released. If it arrives before its claim, the attempt can no longer
// be granted the key.
func (c *Claimer) release(v Release) {
	r, ok := c.records[v.Key]
	if !ok {
		if len(c.records) < c.capacity {
			c.addRecord(&record{Key: v.Key, State: StateReleased, Attempt: v.Attempt})
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
	r.Response = v.Response
	if v.Unknown {
		r.State = StateUnknown
	}
}

func (c *Claimer) advance(elapsed time.Duration) {
	if elapsed > 0 {
		c.clock += elapsed
	}
	expired := 0
	for _, r := range c.byExpiry {
		if r.ExpiresAt > c.clock {
			break
		}
		if c.records[r.Key] == r {
			delete(c.records, r.Key)
		}
		expired++
	}
	c.byExpiry = c.byExpiry[expired:]
}

// encodedState is the encoding of a snapshot.
type encodedState struct {
	Clock   time.Duration `json:"clock"`
	Records []*record     `json:"records"`
}

// Snapshot encodes the state for storage.
func (c *Claimer) Snapshot() ([]byte, error) {
	current := make([]*record, 0, len(c.records))
	for _, r := range c.byExpiry {
		if c.records[r.Key] == r {
			current = append(current, r)
		}
	}
	data, err := json.Marshal(encodedState{c.clock, current})
	return data, errors.Wrap(err, "encode claims snapshot")
}

// Restore returns a Claimer with the state of a snapshot. An empty snapshot holds no keys.
func Restore(data []byte, opts ...Option) (*Claimer, error) {
	c := New(opts...)
	if len(data) == 0 {
		return c, nil
	}
	var state encodedState
	if err := json.Unmarshal(data, &state); err != nil {
		return nil, errors.Wrap(err, "decode claims snapshot")
	}
	c.clock = state.Clock
	c.byExpiry = state.Records
	for _, r := range state.Records {
		c.records[r.Key] = r
	}
	return c, nil
}
