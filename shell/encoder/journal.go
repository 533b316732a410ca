package encoder

import (
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"comfreyplank.org/core/replicator"
	"comfreyplank.org/shell/encoder/wire"
)

// Frame is the unit of writing to a journal: it is written and synced as a whole.
type Frame struct {
	// Base is set only in the first frame of a file.
	Base *Base
	// State is nil if it has not changed since the previous frame.
	State   *replicator.HardState
	Entries []replicator.Entry
}

// Base identifies the snapshot that the entries of a journal follow.
type Base struct {
	Index, Term uint64
}

// EncodeFrame encodes a frame for storage.
func EncodeFrame(f Frame) ([]byte, error) {
	w := &wire.Frame{Entries: convertAll(f.Entries, encodeEntry)}
	if f.Base != nil {
		w.Base = &wire.Base{Index: f.Base.Index, Term: f.Base.Term}
	}
	if f.State != nil {
		w.State = &wire.State{Term: f.State.Term, Vote: string(f.State.Vote)}
	}
	data, err := proto.Marshal(w)
	return data, errors.Wrap(err, "encode journal frame")
}

// DecodeFrame decodes a stored frame.
func DecodeFrame(data []byte) (Frame, error) {
	var w wire.Frame
	if err := proto.Unmarshal(data, &w); err != nil {
		return Frame{}, errors.Wrap(err, "decode journal frame")
	}
	f := Frame{Entries: convertAll(w.GetEntries(), decodeEntry)}
	if b := w.GetBase(); b != nil {
		f.Base = &Base{Index: b.GetIndex(), Term: b.GetTerm()}
	}
	if s := w.GetState(); s != nil {
		f.State = &replicator.HardState{Term: s.GetTerm(), Vote: replicator.ID(s.GetVote())}
	}
	return f, nil
}

// EncodeSnapshot encodes a snapshot for storage.
func EncodeSnapshot(s replicator.Snapshot) ([]byte, error) {
	data, err := proto.Marshal(&wire.Snapshot{Index: s.Index, Term: s.Term, Members: convertAll(s.Members, encodeMember), Data: s.Data})
	return data, errors.Wrap(err, "encode snapshot")
}

// DecodeSnapshot decodes a stored snapshot.
func DecodeSnapshot(data []byte) (replicator.Snapshot, error) {
	var w wire.Snapshot
	if err := proto.Unmarshal(data, &w); err != nil {
		return replicator.Snapshot{}, errors.Wrap(err, "decode snapshot")
	}
	return replicator.Snapshot{Index: w.GetIndex(), Term: w.GetTerm(), Members: convertAll(w.GetMembers(), decodeMember), Data: w.GetData()}, nil
}
