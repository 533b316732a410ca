package server

import (
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"comfreyplank.org/core/controller"
	"comfreyplank.org/core/messenger"
	"comfreyplank.org/core/registrar"
	"comfreyplank.org/core/replicator"
	"comfreyplank.org/shell/encoder"
	"comfreyplank.org/shell/encoder/wire"
)

// epoch is when the replicas of these tests start.
var epoch = time.Unix(1_000_000, 0)

// newReplica returns a replica that belongs to a group of its own, and has elected itself.
func newReplica(t *testing.T, peers ...replicator.Member) *controller.Controller {
	t.Helper()
	self := replicator.Member{ID: "c1/1", Name: "c1", Address: "c1"}
	c, err := controller.New(epoch, self, controller.StoredState{}, controller.WithPeers(peers), controller.WithRand(rand.New(rand.NewPCG(1, 2))))
	assert.NilError(t, err)
	for i := range 100 {
		c.Handle(epoch.Add(time.Duration(i)*50*time.Millisecond), controller.Tick{})
	}
	return c
}

func encodePeerMessages(f *testing.F, messages ...messenger.ToPeer) []byte {
	f.Helper()
	var batch wire.FromPeers
	for _, m := range messages {
		encoded, err := encoder.EncodeToPeer(m)
		assert.NilError(f, err)
		batch.Messages = append(batch.Messages, encoded)
	}
	data, err := proto.Marshal(&batch)
	assert.NilError(f, err)
	return data
}

func replicated(term uint64, m replicator.Message) messenger.ReplicationMessage {
	return messenger.ReplicationMessage{Group: messenger.GroupConfig, Envelope: replicator.Envelope{From: "c2/1", To: "c1/1", Term: term, Message: m}}
}

// FuzzPeerMessages guards against messages of a replica that end the process which reads them.
func FuzzPeerMessages(f *testing.F) {
	members := []byte(`[{"id":"c1/1","name":"c1","address":"c1","voter":true},{"id":"c2/1","name":"c2","address":"c2","voter":true}]`)
	f.Add(encodePeerMessages(f,
		replicated(9, replicator.Append{PrevIndex: 0, Entries: []replicator.Entry{{Index: 1, Term: 9, Kind: replicator.EntryMembership, Data: members}, {Index: 2, Term: 9, Kind: replicator.EntryCommand, Data: []byte("{}")}}, Commit: 2}),
		replicated(9, replicator.AppendReply{OK: true, Match: 1}),
	))
	f.Add(encodePeerMessages(f, replicated(9, replicator.Append{Entries: []replicator.Entry{{Index: 1, Term: 9, Kind: replicator.EntryMembership, Data: []byte("{")}}})))
	f.Add(encodePeerMessages(f, replicated(9, replicator.SnapshotChunk{Index: 9, LogTerm: 3, Members: replicator.Membership{{ID: "c1/1", Name: "c1", Address: "c1", Voter: true}}, Data: []byte("{}"), Done: true})))
	f.Add(encodePeerMessages(f, replicated(9, replicator.SnapshotChunk{Index: 9, LogTerm: 3, Members: replicator.Membership{{ID: "c1/1", Name: "c1", Address: "c1", Voter: true}}, Data: []byte("x"), Done: true})))
	f.Add(encodePeerMessages(f, replicated(9, replicator.SnapshotChunk{Index: 9, LogTerm: 3, Offset: -5, Data: []byte("{}"), Done: true})))
	f.Add(encodePeerMessages(f, replicated(9, replicator.SnapshotReply{Index: 1 << 60, Offset: -1})))
	f.Add(encodePeerMessages(f, replicated(9, replicator.VoteRequest{LastIndex: 9, LastTerm: 9}), replicated(9, replicator.VoteReply{Granted: true}), replicated(9, replicator.TimeoutNow{})))
	f.Add(encodePeerMessages(f, replicated(1, replicator.Forward{Data: []byte("x")}), replicated(1, replicator.ReadRequest{}), replicated(1, replicator.ReadReply{})))
	f.Add(encodePeerMessages(f, messenger.Presence{Member: replicator.Member{ID: "c2/1", Name: "c2", Address: "c2"}, Run: 1}))
	f.Add(encodePeerMessages(f, messenger.RegistryUpdate{
		Announcements: []registrar.Announcement{{Name: registrar.Name{Service: "s", Endpoint: "e"}, Address: "10.0.0.1:1", DataCentre: "d", Slots: 1, State: registrar.StateServing, Incarnation: 1}, {}},
		Renewals:      []messenger.Renewal{{Name: registrar.Name{Service: "s", Endpoint: "e"}, Incarnation: 1, Sequence: 2}},
	}))
	f.Add(encodePeerMessages(f, messenger.ShareRequest{From: "c2", Entries: -1}, messenger.ShareReply{Entries: -1}, messenger.RelayedPermitRequest{From: "c2"}, messenger.RelayedPermitReply{}, messenger.LimitUpdate{}))
	f.Fuzz(func(t *testing.T, data []byte) {
		var batch wire.FromPeers
		if proto.Unmarshal(data, &batch) != nil {
			return
		}
		alone := newReplica(t)
		joining := newReplica(t, replicator.Member{Name: "c1", Address: "c1"}, replicator.Member{Name: "c2", Address: "c2"})
		for _, c := range []*controller.Controller{alone, joining} {
			now := epoch.Add(10 * time.Second)
			for _, encoded := range batch.GetMessages() {
				message, err := encoder.DecodeToPeer(encoded)
				if err != nil {
					continue
				}
				now = now.Add(10 * time.Millisecond)
				c.Handle(now, controller.PeerMessage{Message: message})
				c.Handle(now, controller.Tick{})
			}
		}
	})
}

// FuzzEntryMessages guards against messages of an entry that end the replica which reads them.
func FuzzEntryMessages(f *testing.F) {
	add := func(messages ...messenger.ToControl) {
		var all []byte
		for _, m := range messages {
			encoded, err := encoder.EncodeToControl(m)
			assert.NilError(f, err)
			data, err := proto.Marshal(encoded)
			assert.NilError(f, err)
			all = append(append(all, byte(len(data)), byte(len(data)>>8)), data...)
		}
		f.Add(all)
	}
	name := registrar.Name{Service: "s", Endpoint: "e"}
	hello := messenger.Hello{Entry: "e1", DataCentre: "d", Revision: 1 << 60}
	add(hello, messenger.Heartbeat{Sequence: 1, Leaving: []messenger.Leaving{{Name: name, InFlight: -1}}})
	add(hello, messenger.EndpointAnnouncements{Announcements: []registrar.Announcement{{Name: name, Deregistered: true, Incarnation: 1 << 63}, {}}})
	add(hello, messenger.PermitRequest{})
	f.Fuzz(func(t *testing.T, data []byte) {
		c := newReplica(t)
		now := epoch.Add(10 * time.Second)
		for len(data) > 2 {
			size := min(int(data[0])|int(data[1])<<8, len(data)-2)
			var encoded wire.FromEntry
			if proto.Unmarshal(data[2:2+size], &encoded) == nil {
				if message, err := encoder.DecodeToControl(&encoded); err == nil {
					now = now.Add(10 * time.Millisecond)
					c.Handle(now, controller.EntryMessage{Conn: 1, Message: message})
					c.Handle(now, controller.Tick{})
				}
			}
			data = data[2+size:]
		}
	})
}
