// Package authenticator decides by the key of a request which workspace has sent it, and whether it may go on. It is
// built from a document and keeps only digests of the keys.
package authenticator

import (
	"crypto/sha256"

	"comfreyplank.org/core/validator"
)

// Verdict is the decision on a request.
type Verdict uint8

// The verdicts.
const (
	// VerdictOpen: the request needs no key, and names no workspace by one.
	VerdictOpen Verdict = iota + 1
	// VerdictKnown: the key belongs to a workspace.
	VerdictKnown
	// VerdictMissing: the request has no key, or one that no workspace of any document can have.
	VerdictMissing
	// VerdictAmbiguous: the request has several keys.
	VerdictAmbiguous
	// VerdictUnknown: the key belongs to no workspace of this document.
	VerdictUnknown
)

// Workspace is a workspace as requests need it.
type Workspace struct {
	Name string
	// Names holds the name alone, as the values of a header field. It must not be changed.
	Names []string
	// priority replaces that of the route; nil if the document sets none.
	priority *int
}

// Priority returns the priority of a call on a route with the given one. Calls without a workspace have that of their
// route.
func (w *Workspace) Priority(route int) int {
	if w == nil || w.priority == nil {
		return route
	}
	return *w.priority
}

// Authenticator knows the workspaces of one document by their keys. It is immutable.
type Authenticator struct {
	enabled bool
	// holders are found by the digest of a key, so that the time of a search tells nothing about the keys.
	holders map[[sha256.Size]byte]*Workspace
}

// New returns the authenticator of a document.
func New(doc validator.Document) Authenticator {
	a := Authenticator{enabled: len(doc.Workspaces) > 0}
	if !a.enabled {
		return a
	}
	a.holders = make(map[[sha256.Size]byte]*Workspace)
	for _, w := range doc.Workspaces {
		holder := &Workspace{Name: w.Name, Names: []string{w.Name}, priority: w.Priority}
		for _, key := range w.Keys {
			a.holders[digest(key)] = holder
		}
	}
	return a
}

// Enabled reports whether the document lists workspaces. If it doesn't, requests need no key, and the header fields of
// keys and workspaces have no meaning.
func (a Authenticator) Enabled() bool { return a.enabled }

// Authenticate decides on a request by the values of its key header, one for each header line. The workspace is set
// with VerdictKnown only. On a public route, a request without a known key is open.
func (a Authenticator) Authenticate(keys []string, public bool) (*Workspace, Verdict) {
	if !a.enabled {
		return nil, VerdictOpen
	}
	workspace, verdict := a.find(keys)
	if public && verdict != VerdictKnown {
		return nil, VerdictOpen
	}
	return workspace, verdict
}

func (a Authenticator) find(keys []string) (*Workspace, Verdict) {
	switch {
	case len(keys) > 1:
		return nil, VerdictAmbiguous
	case len(keys) == 0 || keys[0] == "" || len(keys[0]) > validator.MaxKeyBytes:
		return nil, VerdictMissing
	}
	if workspace, ok := a.holders[digest(keys[0])]; ok {
		return workspace, VerdictKnown
	}
	return nil, VerdictUnknown
}

// digest returns the digest of a key of at most validator.MaxKeyBytes, without allocating memory.
func digest(key string) [sha256.Size]byte {
	var buffer [validator.MaxKeyBytes]byte
	return sha256.Sum256(buffer[:copy(buffer[:], key)])
}
