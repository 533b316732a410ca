// Package encoder turns the messages of the system's own processes into their
// wire form and back. The wire form is generated from wire/wire.proto.
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

// ErrUnknownMessage is returned for a message of a kind that this version does
// not know.
var ErrUnknownMessage = errors.New("message of an unknown kind")

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

// EncodeStamp returns the wire form of a stamp.
func EncodeStamp(s recorder.Stamp) *wire.Stamp {
	return &wire.Stamp{WallMs: s.Wall, Count: s.Count}
}

// DecodeStamp reads a stamp; a missing one is the zero stamp.
func DecodeStamp(s *wire.Stamp) recorder.Stamp {
	return recorder.Stamp{Wall: s.GetWallMs(), Count: s.GetCount()}
}

// each converts the items of a list.
func each[A, B any](list []A, convert func(A) B) []B {
	if len(list) == 0 {
		return nil
	}
	converted := make([]B, len(list))
	for i, item := range list {
		converted[i] = convert(item)
	}
	return converted
}

// EncodeAnnouncements returns the form in which endpoints are stored.
func EncodeAnnouncements(list []registrar.Announcement) ([]byte, error) {
	data, err := proto.Marshal(&wire.Announced{Announcements: each(list, encodeAnnouncement)})
	return data, errors.Wrap(err, "encode endpoints")
}

// DecodeAnnouncements reads stored endpoints.
func DecodeAnnouncements(data []byte) ([]registrar.Announcement, error) {
	var announced wire.Announced
	if err := proto.Unmarshal(data, &announced); err != nil {
		return nil, errors.Wrap(err, "decode endpoints")
	}
	return each(announced.GetAnnouncements(), decodeAnnouncement), nil
}
