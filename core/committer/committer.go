// Package committer is the state machine of the configuration log: it decides
// which change wins, and remembers its answers.
package committer

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/pkg/errors"

	"comfreyplank.org/core/validator"
)

// maxAnswers bounds the answers that are kept, oldest first out: more than a
// month of changes at the largest size foreseen.
const maxAnswers = 16_384

// Verdict is what became of a change.
type Verdict string

// The verdicts of a change.
const (
	VerdictAccepted Verdict = "accepted"
	VerdictConflict Verdict = "conflict"
	VerdictReused   Verdict = "change-id-reused"
)

// Change is a command of the configuration log.
type Change struct {
	// Document is complete and has passed the validator.
	Document validator.Document `json:"document"`
}

// Answer is the lasting answer to a change.
type Answer struct {
	ChangeID string  `json:"change-id"`
	Verdict  Verdict `json:"verdict"`
	// Revision is the change's own when accepted, else the current one.
	Revision uint64 `json:"revision"`
	// Winner is the change that holds the current revision, for a conflict.
	Winner string `json:"winner,omitempty"`
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
}

// New returns the state before the first change: revision 0, no services.
func New() *Committer {
	return &Committer{byID: make(map[string]Answer)}
}

// Revision returns the current revision.
func (c *Committer) Revision() uint64 { return c.revision }

// Document returns the current document.
func (c *Committer) Document() validator.Document { return c.document }

// Encode returns the form of a change that the log holds.
func Encode(change Change) ([]byte, error) {
	data, err := json.Marshal(change)
	return data, errors.Wrap(err, "encode change")
}

// Apply carries out a command of the log.
func (c *Committer) Apply(data []byte) (Answer, error) {
	var change Change
	if err := json.Unmarshal(data, &change); err != nil {
		return Answer{}, errors.Wrap(err, "decode change")
	}
	digest, err := Digest(change.Document)
	if err != nil {
		return Answer{}, err
	}
	id := change.Document.ChangeID
	if first, ok := c.byID[id]; ok {
		return first.forRepeat(digest), nil
	}
	answer := Answer{ChangeID: id, Verdict: VerdictConflict, Revision: c.revision, Winner: c.document.ChangeID, Digest: digest}
	if change.Document.BaseRevision == c.revision {
		c.revision++
		c.document = change.Document
		answer = Answer{ChangeID: id, Verdict: VerdictAccepted, Revision: c.revision, Digest: digest}
	}
	c.remember(answer)
	return answer, nil
}

// Answer returns the answer that a change got before.
func (c *Committer) Answer(doc validator.Document) (Answer, bool) {
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

func (a Answer) forRepeat(digest string) Answer {
	if a.Digest != digest {
		a.Verdict = VerdictReused
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
	Revision uint64             `json:"revision"`
	Document validator.Document `json:"document"`
	Answers  []Answer           `json:"answers"`
}

// Snapshot returns the state for storage.
func (c *Committer) Snapshot() ([]byte, error) {
	data, err := json.Marshal(image{c.revision, c.document, c.answers})
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
	for _, a := range i.Answers {
		c.byID[a.ChangeID] = a
	}
	return c, nil
}
