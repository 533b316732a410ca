package encoder

import (
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"comfreyplank.org/core/replicator"
	"comfreyplank.org/shell/encoder/wire"
)

// Frame is one synced write to a journal.
type Frame struct {
	// Base is set in the first frame of a file.
	Base *Base
	// State is nil when it has not changed.
	State   *replicator.HardState
	Entries []replicator.Entry
}

// Base names the snapshot that a journal follows.
type Base struct {
	Index, Term uint64
}

// EncodeFrame returns the stored form of a frame.
func EncodeFrame(f Frame) ([]byte, error) {
	w := &wire.Frame{Entries: each(f.Entries, encodeEntry)}
	if f.Base != nil {
		w.Base = &wire.Base{Index: f.Base.Index, Term: f.Base.Term}
	}
	if f.State != nil {
		w.State = &wire.State{Term: f.State.Term, Vote: string(f.State.Vote)}
	}
	data, err := proto.Marshal(w)
	return data, errors.Wrap(err, "encode journal frame")
}

// DecodeFrame reads a stored frame.
func DecodeFrame(data []byte) (Frame, error) {
	var w wire.Frame
	if err := proto.Unmarshal(data, &w); err != nil {
		return Frame{}, errors.Wrap(err, "decode journal frame")
	}
	f := Frame{Entries: each(w.GetEntries(), decodeEntry)}
	if b := w.GetBase(); b != nil {
		f.Base = &Base{Index: b.GetIndex(), Term: b.GetTerm()}
	}
	if s := w.GetState(); s != nil {
		f.State = &replicator.HardState{Term: s.GetTerm(), Vote: replicator.ID(s.GetVote())}
	}
	return f, nil
}

// EncodeSnapshot returns the stored form of a snapshot.
func EncodeSnapshot(s replicator.Snapshot) ([]byte, error) {
	data, err := proto.Marshal(&wire.Snapshot{Index: s.Index, Term: s.Term, Members: each(s.Members, encodeMember), Data: s.Data})
	return data, errors.Wrap(err, "encode snapshot")
}

// DecodeSnapshot reads a stored snapshot.
func DecodeSnapshot(data []byte) (replicator.Snapshot, error) {
	var w wire.Snapshot
	if err := proto.Unmarshal(data, &w); err != nil {
		return replicator.Snapshot{}, errors.Wrap(err, "decode snapshot")
	}
	return replicator.Snapshot{Index: w.GetIndex(), Term: w.GetTerm(), Members: each(w.GetMembers(), decodeMember), Data: w.GetData()}, nil
}
