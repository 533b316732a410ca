// Package encoder converts the messages between the processes of the system, and the records that
// they store, to protocol buffers and back. The types of the protocol buffers are generated from
// wire/wire.proto.
package encoder

import (
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"comfreyplank.org/core/allotter"
	"comfreyplank.org/core/messenger"
	"comfreyplank.org/core/recorder"
	"comfreyplank.org/core/registrar"
	"comfreyplank.org/shell/encoder/wire"
)

// ErrUnknownMessage is returned for a message of a type that this version doesn't support.
var ErrUnknownMessage = errors.New("unknown message type")

func encodeName(n registrar.Name) *wire.Name {
	return &wire.Name{Service: n.Service, Endpoint: n.Endpoint}
}

func decodeName(n *wire.Name) registrar.Name {
	return registrar.Name{Service: n.GetService(), Endpoint: n.GetEndpoint()}
}

func encodeAnnouncement(a registrar.Announcement) *wire.Announcement {
	return &wire.Announcement{
		Name:        encodeName(a.Name),
		Address:     a.Address,
		DataCentre:  a.DataCentre,
		Slots:       int64(a.Slots),
		Connections: int64(a.Connections),
		State:       string(a.State),
		Incarnation: a.Incarnation,
		Sequence:    a.Sequence,
		Load:        int64(a.Load),
		Gone:        a.Deregistered,
		WarmUpNanos: int64(a.WarmUp),
	}
}

func decodeAnnouncement(a *wire.Announcement) registrar.Announcement {
	return registrar.Announcement{
		Name:         decodeName(a.GetName()),
		Address:      a.GetAddress(),
		DataCentre:   a.GetDataCentre(),
		Slots:        int(a.GetSlots()),
		Connections:  int(a.GetConnections()),
		State:        registrar.State(a.GetState()),
		Incarnation:  a.GetIncarnation(),
		Sequence:     a.GetSequence(),
		Load:         int(a.GetLoad()),
		Deregistered: a.GetGone(),
		WarmUp:       time.Duration(a.GetWarmUpNanos()),
	}
}

func encodeShare(s messenger.ServiceShare) *wire.ServiceShare {
	return &wire.ServiceShare{
		Service:     s.Service,
		ProbeMicros: s.Share.ProbeMicros,
		ProbeBytes:  s.Share.ProbeBytes,
		LifeNanos:   int64(s.Life),
	}
}

func decodeShare(s *wire.ServiceShare) messenger.ServiceShare {
	return messenger.ServiceShare{
		Service: s.GetService(),
		Share: allotter.Share{
			ProbeMicros: s.GetProbeMicros(),
			ProbeBytes:  s.GetProbeBytes(),
		},
		Life: time.Duration(s.GetLifeNanos()),
	}
}

// EncodeStamp converts a stamp to its protocol buffer.
func EncodeStamp(s recorder.Stamp) *wire.Stamp {
	return &wire.Stamp{WallMs: s.Wall, Count: s.Count}
}

// DecodeStamp converts a protocol buffer to a stamp. It returns the zero stamp for nil.
func DecodeStamp(s *wire.Stamp) recorder.Stamp {
	return recorder.Stamp{Wall: s.GetWallMs(), Count: s.GetCount()}
}

// convertAll applies convert to each item of a list. It returns nil for an empty list.
func convertAll[A, B any](list []A, convert func(A) B) []B {
	if len(list) == 0 {
		return nil
	}
	converted := make([]B, len(list))
	for i, item := range list {
		converted[i] = convert(item)
	}
	return converted
}

// EncodeAnnouncements encodes the announcements of endpoints for storage.
func EncodeAnnouncements(list []registrar.Announcement) ([]byte, error) {
	data, err := proto.Marshal(&wire.Announced{Announcements: convertAll(list, encodeAnnouncement)})
	return data, errors.Wrap(err, "encode endpoints")
}

// DecodeAnnouncements decodes stored announcements of endpoints.
func DecodeAnnouncements(data []byte) ([]registrar.Announcement, error) {
	var announced wire.Announced
	if err := proto.Unmarshal(data, &announced); err != nil {
		return nil, errors.Wrap(err, "decode endpoints")
	}
	return convertAll(announced.GetAnnouncements(), decodeAnnouncement), nil
}
