// Package committer is the state machine of the configuration log: it decides
// which change wins, and remembers its answers.
package committer

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"

	"github.com/pkg/errors"

	"comfreyplank.org/core/registrar"
	"comfreyplank.org/core/validator"
)

// maxAnswers bounds the answers that are kept, oldest first out: more than a
// month of changes at the largest size foreseen.
const maxAnswers = 16_384

// Verdict is what became of a change.
type Verdict string

// The verdicts of a change.
const (
	VerdictAccepted       Verdict = "accepted"
	VerdictConflict       Verdict = "conflict"
	VerdictChangeIDReused Verdict = "change-id-reused"
	// VerdictSuperseded: a document of the same or a higher generation is held; this
	// one changes nothing.
	VerdictSuperseded Verdict = "superseded"
)

// Command is an entry of the configuration log.
type Command interface{ command() }

// Change replaces the document.
type Change struct {
	// Document is complete and has passed the validator.
	Document validator.Document
}

// Departure keeps that an endpoint leaves, so that no replica can forget it.
type Departure struct {
	// Announcement says that the endpoint drains or is gone.
	Announcement registrar.Announcement
}

func (Change) command()    {}
func (Departure) command() {}

// envelope is the form of a command in the log: one field is set.
type envelope struct {
	Document  *validator.Document     `json:"document,omitempty"`
	Departure *registrar.Announcement `json:"departure,omitempty"`
}

// ErrEmptyCommand is returned for a log entry that holds no known command.
var ErrEmptyCommand = errors.New("the log entry holds no command")

// Answer is the lasting answer to a change.
type Answer struct {
	ChangeID string  `json:"change-id"`
	Verdict  Verdict `json:"verdict"`
	// Revision is the change's own when accepted, else the current one.
	Revision uint64 `json:"revision"`
	// CurrentChangeID is the change that holds the current revision, for a conflict.
	CurrentChangeID string `json:"winner,omitempty"`
	// Digest tells a change sent again from another one under the same identity.
	Digest string `json:"digest"`
}

// Committer holds the configuration in force.
type Committer struct {
	// revision never falls.
	revision uint64
	document validator.Document
	// answers are in the order they were given.
	answers []Answer
	byID    map[string]Answer
	// departures are the latest word of endpoints that leave, oldest first, one for
	// each name.
	departures []registrar.Announcement
}

// New returns the state before the first change: revision 0, no services.
func New() *Committer {
	return &Committer{byID: make(map[string]Answer)}
}

// Revision returns the current revision.
func (c *Committer) Revision() uint64 { return c.revision }

// Document returns the current document.
func (c *Committer) Document() validator.Document { return c.document }

// Encode returns the form of a command that the log holds.
func Encode(c Command) ([]byte, error) {
	var e envelope
	switch v := c.(type) {
	case Change:
		e.Document = &v.Document
	case Departure:
		e.Departure = &v.Announcement
	}
	data, err := json.Marshal(e)
	return data, errors.Wrap(err, "encode command")
}

// Decode reads a command of the log.
func Decode(data []byte) (Command, error) {
	var e envelope
	if err := json.Unmarshal(data, &e); err != nil {
		return nil, errors.Wrap(err, "decode command")
	}
	switch {
	case e.Document != nil:
		return Change{Document: *e.Document}, nil
	case e.Departure != nil:
		return Departure{Announcement: *e.Departure}, nil
	}
	return nil, ErrEmptyCommand
}

// Apply carries out a change of the log.
func (c *Committer) Apply(change Change) (Answer, error) {
	doc := change.Document
	if answer, known := c.Answer(doc); known {
		return answer, nil
	}
	digest, err := Digest(doc)
	if err != nil {
		return Answer{}, err
	}
	answer := Answer{ChangeID: doc.ChangeID, Verdict: VerdictConflict, Revision: c.revision, CurrentChangeID: c.document.ChangeID, Digest: digest}
	if c.follows(doc) {
		c.revision++
		c.document = doc
		answer = Answer{ChangeID: doc.ChangeID, Verdict: VerdictAccepted, Revision: c.revision, Digest: digest}
	}
	if doc.Generation == 0 {
		c.remember(answer)
	}
	return answer, nil
}

// follows reports whether a document takes effect after the one that is held. Once
// documents are ordered by generation, one without can't be.
func (c *Committer) follows(doc validator.Document) bool {
	if doc.Generation > 0 || c.document.Generation > 0 {
		return doc.Generation > c.document.Generation
	}
	return doc.BaseRevision == c.revision
}

// Answer returns the answer that a change gets without being in the log again.
func (c *Committer) Answer(doc validator.Document) (Answer, bool) {
	if doc.Generation > 0 {
		return c.generationAnswer(doc)
	}
	first, ok := c.byID[doc.ChangeID]
	if !ok {
		return Answer{}, false
	}
	digest, err := Digest(doc)
	if err != nil {
		return Answer{}, false
	}
	return first.forRepeat(digest), true
}

func (c *Committer) generationAnswer(doc validator.Document) (Answer, bool) {
	if doc.Generation > c.document.Generation {
		return Answer{}, false
	}
	answer := Answer{ChangeID: doc.ChangeID, Verdict: VerdictSuperseded, CurrentChangeID: c.document.ChangeID}
	if doc.Generation == c.document.Generation {
		answer.Revision = c.revision
	}
	return answer, true
}

// maxDepartures bounds the departures that are kept, oldest first out: several times
// the endpoints of the largest size foreseen.
const maxDepartures = 4_096

// RecordDeparture keeps that an endpoint leaves.
func (c *Committer) RecordDeparture(d Departure) {
	if c.HasDeparture(d.Announcement) {
		return
	}
	c.departures = slices.DeleteFunc(c.departures, func(a registrar.Announcement) bool { return a.Name == d.Announcement.Name })
	c.departures = append(c.departures, d.Announcement)
	if len(c.departures) > maxDepartures {
		c.departures = slices.Clone(c.departures[1:])
	}
}

// Departures returns the latest word of each endpoint that leaves.
func (c *Committer) Departures() []registrar.Announcement { return c.departures }

// ApplyDeparture returns an announcement in the light of the endpoint's departure, and false
// when the departure has overtaken it.
func (c *Committer) ApplyDeparture(a registrar.Announcement) (registrar.Announcement, bool) {
	for _, d := range c.departures {
		if d.Name == a.Name {
			return a.WithDeparture(d)
		}
	}
	return a, true
}

// HasDeparture reports whether it is kept that an endpoint leaves in the way that the
// announcement says, or has gone further.
func (c *Committer) HasDeparture(a registrar.Announcement) bool {
	for _, d := range c.departures {
		if d.Name == a.Name {
			return d.Incarnation > a.Incarnation || (d.Incarnation == a.Incarnation && (d.Deregistered || !a.Deregistered))
		}
	}
	return false
}

func (a Answer) forRepeat(digest string) Answer {
	if a.Digest != digest {
		a.Verdict = VerdictChangeIDReused
	}
	return a
}

func (c *Committer) remember(a Answer) {
	c.answers = append(c.answers, a)
	c.byID[a.ChangeID] = a
	if len(c.answers) > maxAnswers {
		delete(c.byID, c.answers[0].ChangeID)
		c.answers = append([]Answer(nil), c.answers[1:]...)
	}
}

// Digest identifies the content of a document.
func Digest(doc validator.Document) (string, error) {
	data, err := json.Marshal(doc)
	if err != nil {
		return "", errors.Wrap(err, "encode document")
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:]), nil
}

// image is the form of a snapshot.
type image struct {
	Revision   uint64                   `json:"revision"`
	Document   validator.Document       `json:"document"`
	Answers    []Answer                 `json:"answers"`
	Departures []registrar.Announcement `json:"departures,omitempty"`
}

// Snapshot returns the state for storage.
func (c *Committer) Snapshot() ([]byte, error) {
	data, err := json.Marshal(image{c.revision, c.document, c.answers, c.departures})
	return data, errors.Wrap(err, "encode configuration snapshot")
}

// Restore returns the state of a snapshot; an empty one is the state before the
// first change.
func Restore(data []byte) (*Committer, error) {
	c := New()
	if len(data) == 0 {
		return c, nil
	}
	var i image
	if err := json.Unmarshal(data, &i); err != nil {
		return nil, errors.Wrap(err, "decode configuration snapshot")
	}
	c.revision = i.Revision
	c.document = i.Document
	c.answers = i.Answers
	c.departures = i.Departures
	for _, a := range i.Answers {
		c.byID[a.ChangeID] = a
	}
	return c, nil
}
