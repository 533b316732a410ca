package follower

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"comfreyplank.org/core/messenger"
	"comfreyplank.org/core/registrar"
	"comfreyplank.org/core/subscriber"
	"comfreyplank.org/core/validator"
	"comfreyplank.org/shell/encoder"
	"comfreyplank.org/shell/encoder/wire"
)

// FuzzControlMessages guards against messages of a replica that end the entry which reads them.
func FuzzControlMessages(f *testing.F) {
	add := func(messages ...messenger.ToEntry) {
		var all []byte
		for _, m := range messages {
			encoded, err := encoder.EncodeToEntry(m)
			assert.NilError(f, err)
			data, err := proto.Marshal(encoded)
			assert.NilError(f, err)
			all = append(append(all, byte(len(data)), byte(len(data)>>8)), data...)
		}
		f.Add(all)
	}
	document := messenger.Configuration{Revision: 1, Document: validator.Document{Services: []validator.Service{{Name: "s", Routes: []validator.Route{{PathPrefix: "/", DeadlineMs: 1}}}}}}
	name := registrar.Name{Service: "s", Endpoint: "e"}
	add(document, messenger.EndpointUpdate{Full: true, Changed: []registrar.Announcement{{Name: name, Address: "10.0.0.1:1", DataCentre: "d", Slots: 1, State: registrar.StateServing, Incarnation: 1}, {}}, Removed: []registrar.Name{{}}})
	add(document, messenger.HeartbeatReply{Sequence: 1, ConfigLease: true, Entries: -1}, messenger.ClaimReply{Request: 7})
	add(messenger.ReplicaAddresses{Addresses: []string{"", "x", "10.0.0.1:0"}}, messenger.Lagging{})
	add(document, messenger.PermitReply{}, messenger.LimitUpdate{})
	f.Fuzz(func(_ *testing.T, data []byte) {
		now := time.Unix(1_000_000, 0)
		s := subscriber.New(messenger.Hello{Entry: "e1", DataCentre: "d"}, []string{"10.0.0.1:1"}, subscriber.WithDiscovery())
		s.Handle(now, subscriber.Tick{})
		s.Handle(now, subscriber.Opened{})
		for len(data) > 2 {
			size := min(int(data[0])|int(data[1])<<8, len(data)-2)
			var encoded wire.FromControl
			if proto.Unmarshal(data[2:2+size], &encoded) == nil {
				if message, err := encoder.DecodeToEntry(&encoded); err == nil {
					now = now.Add(10 * time.Millisecond)
					s.Handle(now, subscriber.MessageReceived{Message: message})
					s.Handle(now, subscriber.Tick{})
				}
			}
			data = data[2+size:]
		}
	})
}
