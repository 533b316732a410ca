// Package committer is the state machine of the configuration log. It decides which changes are
// accepted, and stores its answers, the departures of endpoints and the evacuations of data centres.
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

// maxAnswers limits the number of stored answers; the oldest are dropped first. It covers more
// than a month of changes in the largest planned deployment.
const maxAnswers = 16_384

// Verdict is the decision on a change.
type Verdict string

// The possible verdicts.
const (
	VerdictAccepted       Verdict = "accepted"
	VerdictConflict       Verdict = "conflict"
	VerdictChangeIDReused Verdict = "change-id-reused"
	// VerdictSuperseded means that the current document has the same or a higher
	// generation, and that the change has no effect.
	VerdictSuperseded Verdict = "superseded"
)

// Command is an entry of the configuration log: a Change, a Departure or an Evacuation.
type Command interface{ command() }

// Change replaces the current document.
type Change struct {
	// Document is the complete new document, which has passed the validator.
	Document validator.Document
}

// Departure records the departure of an endpoint, so that no replica can lose it.
type Departure struct {
	// Announcement announces that the endpoint drains or deregisters.
	Announcement registrar.Announcement
}

func (Change) command()    {}
func (Departure) command() {}

// encodedCommand is the encoding of a command in the log. Exactly one field is set.
type encodedCommand struct {
	Document  *validator.Document     `json:"document,omitempty"`
	Departure *registrar.Announcement `json:"departure,omitempty"`
	// Evacuation was added later; a replica of an earlier version reads no command.
	Evacuation *Evacuation `json:"evacuation,omitempty"`
}

// ErrEmptyCommand is returned for a log entry that contains no known command.
var ErrEmptyCommand = errors.New("the log entry contains no known command")

// Answer is the stored answer to a change.
type Answer struct {
	ChangeID string  `json:"change-id"`
	Verdict  Verdict `json:"verdict"`
	// Revision is the new revision if the change was accepted, otherwise the current one. It is
	// zero if the current document has a higher generation.
	Revision uint64 `json:"revision"`
	// CurrentChangeID identifies the change that created the current revision. It is set for
	// a conflict or a superseded change.
	CurrentChangeID string `json:"winner,omitempty"`
	// Digest distinguishes a repeated change from a different change with the same ID.
	Digest string `json:"digest"`
}

// Committer holds the current configuration, recent answers and departures.
type Committer struct {
	// revision never decreases.
	revision uint64
	document validator.Document
	// documentRevision is the revision that the current document created. Evacuations create revisions too.
	documentRevision uint64
	// answers are in the order in which the changes were decided.
	answers          []Answer
	answerByChangeID map[string]Answer
	// departures holds the latest departure announcement of each endpoint, oldest first.
	departures []registrar.Announcement
	// evacuations holds the latest change of each data centre, the oldest first.
	evacuations []storedEvacuation
}

// New returns a Committer before the first change, at revision 0 and without services.
func New() *Committer {
	return &Committer{answerByChangeID: make(map[string]Answer)}
}

// Revision returns the current revision.
func (c *Committer) Revision() uint64 { return c.revision }

// Document returns the current document.
func (c *Committer) Document() validator.Document { return c.document }

// Encode encodes a command for the log.
func Encode(c Command) ([]byte, error) {
	var e encodedCommand
	switch v := c.(type) {
	case Change:
		e.Document = &v.Document
	case Departure:
		e.Departure = &v.Announcement
	case Evacuation:
		e.Evacuation = &v
	}
	data, err := json.Marshal(e)
	return data, errors.Wrap(err, "encode command")
}

// Decode decodes a command of the log.
func Decode(data []byte) (Command, error) {
	var e encodedCommand
	if err := json.Unmarshal(data, &e); err != nil {
		return nil, errors.Wrap(err, "decode command")
	}
	switch {
	case e.Document != nil:
		return Change{Document: *e.Document}, nil
	case e.Departure != nil:
		return Departure{Announcement: *e.Departure}, nil
	case e.Evacuation != nil:
		return *e.Evacuation, nil
	}
	return nil, ErrEmptyCommand
}

// Apply executes a change of the log.
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
	if c.supersedes(doc) {
		c.revision++
		c.document = doc
		c.documentRevision = c.revision
		answer = Answer{ChangeID: doc.ChangeID, Verdict: VerdictAccepted, Revision: c.revision, Digest: digest}
	}
	if doc.Generation == 0 {
		c.storeAnswer(answer)
	}
	return answer, nil
}

// supersedes reports whether a document may replace the current one. After a document with a
// generation, one without a generation is never accepted. An evacuation since the base revision doesn't matter.
func (c *Committer) supersedes(doc validator.Document) bool {
	if doc.Generation > 0 || c.document.Generation > 0 {
		return doc.Generation > c.document.Generation
	}
	return doc.BaseRevision >= c.documentRevision && doc.BaseRevision <= c.revision
}

// Answer returns the answer to a change if it can be determined without appending the change to
// the log.
func (c *Committer) Answer(doc validator.Document) (Answer, bool) {
	if doc.Generation > 0 {
		return c.generationAnswer(doc)
	}
	first, ok := c.answerByChangeID[doc.ChangeID]
	if !ok {
		return Answer{}, false
	}
	digest, err := Digest(doc)
	if err != nil {
		return Answer{}, false
	}
	return first.forDigest(digest), true
}

func (c *Committer) generationAnswer(doc validator.Document) (Answer, bool) {
	if doc.Generation > c.document.Generation {
		return Answer{}, false
	}
	answer := Answer{ChangeID: doc.ChangeID, Verdict: VerdictSuperseded, CurrentChangeID: c.document.ChangeID}
	if doc.Generation == c.document.Generation {
		answer.Revision = c.documentRevision
	}
	return answer, true
}

// maxDepartures limits the number of stored departures; the oldest are dropped first. It is
// several times the number of endpoints in the largest planned deployment.
const maxDepartures = 4_096

// RecordDeparture stores the departure of an endpoint, unless it is stored already.
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

// Departures returns the latest departure announcement of each endpoint.
func (c *Committer) Departures() []registrar.Announcement { return c.departures }

// ApplyDeparture returns an announcement with the stored departure of the endpoint applied to
// it. It returns false if the departure makes the announcement obsolete.
func (c *Committer) ApplyDeparture(a registrar.Announcement) (registrar.Announcement, bool) {
	for _, d := range c.departures {
		if d.Name == a.Name {
			return a.WithDeparture(d)
		}
	}
	return a, true
}

// HasDeparture reports whether the announced departure, or one that covers it, is stored.
func (c *Committer) HasDeparture(a registrar.Announcement) bool {
	for _, d := range c.departures {
		if d.Name == a.Name {
			return d.Covers(a)
		}
	}
	return false
}

func (a Answer) forDigest(digest string) Answer {
	if a.Digest != digest {
		a.Verdict = VerdictChangeIDReused
	}
	return a
}

func (c *Committer) storeAnswer(a Answer) {
	c.answers = append(c.answers, a)
	c.answerByChangeID[a.ChangeID] = a
	if len(c.answers) > maxAnswers {
		delete(c.answerByChangeID, c.answers[0].ChangeID)
		c.answers = append([]Answer(nil), c.answers[1:]...)
	}
}

// Digest returns a hash that identifies the content of a document.
func Digest(doc validator.Document) (string, error) {
	data, err := json.Marshal(doc)
	if err != nil {
		return "", errors.Wrap(err, "encode document")
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:]), nil
}

// encodedState is the encoding of a snapshot.
type encodedState struct {
	Revision   uint64                   `json:"revision"`
	Document   validator.Document       `json:"document"`
	Answers    []Answer                 `json:"answers"`
	Departures []registrar.Announcement `json:"departures,omitempty"`
	// DocumentRevision is left out if it equals Revision, as it does without evacuations.
	DocumentRevision *uint64            `json:"document-revision,omitempty"`
	Evacuations      []storedEvacuation `json:"evacuations,omitempty"`
}

// Snapshot encodes the state for storage.
func (c *Committer) Snapshot() ([]byte, error) {
	state := encodedState{Revision: c.revision, Document: c.document, Answers: c.answers, Departures: c.departures, Evacuations: c.evacuations}
	if c.documentRevision != c.revision {
		state.DocumentRevision = &c.documentRevision
	}
	data, err := json.Marshal(state)
	return data, errors.Wrap(err, "encode configuration snapshot")
}

// Restore returns a Committer with the state of a snapshot. An empty snapshot is the state
// before the first change.
func Restore(data []byte) (*Committer, error) {
	c := New()
	if len(data) == 0 {
		return c, nil
	}
	var state encodedState
	if err := json.Unmarshal(data, &state); err != nil {
		return nil, errors.Wrap(err, "decode configuration snapshot")
	}
	c.revision = state.Revision
	c.document = state.Document
	c.answers = state.Answers
	c.departures = state.Departures
	c.evacuations = state.Evacuations
	c.documentRevision = state.Revision
	if state.DocumentRevision != nil {
		c.documentRevision = *state.DocumentRevision
	}
	for _, a := range state.Answers {
		c.answerByChangeID[a.ChangeID] = a
	}
	return c, nil
}
