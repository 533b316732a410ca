package replicator

import "github.com/pkg/errors"

// ErrInvalidMessage is returned for a message that no replica sends. Handling it could damage the log.
var ErrInvalidMessage = errors.New("invalid message of a replica")

// Check returns an error if the message contradicts itself.
func (e Envelope) Check() error {
	switch m := e.Message.(type) {
	case Append:
		return m.check(e.Term)
	case SnapshotChunk:
		if m.Index == 0 || m.Offset < 0 || len(m.Members) == 0 {
			return errors.Wrap(ErrInvalidMessage, "snapshot chunk without an index, an offset or members")
		}
	case SnapshotReply:
		if m.Offset < 0 {
			return errors.Wrap(ErrInvalidMessage, "negative offset")
		}
	}
	return nil
}

// check requires that the entries follow the previous one, in its term or later ones, up to that of the leader.
func (m Append) check(leaderTerm uint64) error {
	index, term := m.PrevIndex, m.PrevTerm
	for _, e := range m.Entries {
		index++
		if e.Index != index || e.Term < term || e.Term > leaderTerm {
			return errors.Wrapf(ErrInvalidMessage, "entry %d of term %d is out of sequence", e.Index, e.Term)
		}
		term = e.Term
		if err := e.check(); err != nil {
			return err
		}
	}
	return nil
}

func (e Entry) check() error {
	switch e.Kind {
	case EntryCommand, EntryNoOp:
		return nil
	case EntryMembership:
		if _, err := decodeMembership(e.Data); err != nil {
			return errors.Wrapf(ErrInvalidMessage, "membership at index %d: %v", e.Index, err)
		}
		return nil
	}
	return errors.Wrapf(ErrInvalidMessage, "entry %d of unknown kind %d", e.Index, e.Kind)
}
