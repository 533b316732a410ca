package encoder

import (
	"encoding/json"

	"github.com/pkg/errors"

	"comfreyplank.org/core/claimer"
	"comfreyplank.org/core/messenger"
	"comfreyplank.org/core/registrar"
	"comfreyplank.org/shell/encoder/wire"
)

// EncodeToControl encodes a message from an entry to a control replica.
func EncodeToControl(m messenger.ToControl) (*wire.FromEntry, error) {
	switch v := m.(type) {
	case messenger.Hello:
		hello := &wire.Hello{Entry: v.Entry, DataCentre: v.DataCentre, Admin: v.Admin, Revision: v.Revision}
		return &wire.FromEntry{Message: &wire.FromEntry_Hello{Hello: hello}}, nil
	case messenger.Heartbeat:
		heartbeat := &wire.Beat{Sequence: v.Sequence, Revision: v.Revision, Leaving: convertAll(v.Leaving, encodeLeaving)}
		return &wire.FromEntry{Message: &wire.FromEntry_Beat{Beat: heartbeat}}, nil
	case messenger.EndpointAnnouncements:
		announcements := &wire.Announced{Announcements: convertAll(v.Announcements, encodeAnnouncement)}
		return &wire.FromEntry{Message: &wire.FromEntry_Announced{Announced: announcements}}, nil
	case messenger.ClaimRequest:
		command, err := claimer.Encode(v.Command)
		if err != nil {
			return nil, err
		}
		request := &wire.Claiming{Request: v.Request, Command: command}
		return &wire.FromEntry{Message: &wire.FromEntry_Claiming{Claiming: request}}, nil
	case messenger.PermitRequest:
		return &wire.FromEntry{Message: &wire.FromEntry_PermitRequest{PermitRequest: encodePermitRequest(v)}}, nil
	case messenger.UsageReport:
		return &wire.FromEntry{Message: &wire.FromEntry_UsageReport{UsageReport: encodeUsageReport(v)}}, nil
	}
	return nil, ErrUnknownMessage
}

func encodeLeaving(l messenger.Leaving) *wire.Leaving {
	return &wire.Leaving{Name: encodeName(l.Name), InFlight: int64(l.InFlight)}
}

func decodeLeaving(l *wire.Leaving) messenger.Leaving {
	return messenger.Leaving{Name: decodeName(l.GetName()), InFlight: int(l.GetInFlight())}
}

// DecodeToControl decodes a message from an entry to a control replica.
func DecodeToControl(m *wire.FromEntry) (messenger.ToControl, error) {
	switch v := m.GetMessage().(type) {
	case *wire.FromEntry_Hello:
		h := v.Hello
		return messenger.Hello{Entry: h.GetEntry(), DataCentre: h.GetDataCentre(), Admin: h.GetAdmin(), Revision: h.GetRevision()}, nil
	case *wire.FromEntry_Beat:
		b := v.Beat
		return messenger.Heartbeat{Sequence: b.GetSequence(), Revision: b.GetRevision(), Leaving: convertAll(b.GetLeaving(), decodeLeaving)}, nil
	case *wire.FromEntry_Announced:
		return messenger.EndpointAnnouncements{Announcements: convertAll(v.Announced.GetAnnouncements(), decodeAnnouncement)}, nil
	case *wire.FromEntry_Claiming:
		command, err := claimer.Decode(v.Claiming.GetCommand())
		if err != nil {
			return nil, err
		}
		return messenger.ClaimRequest{Request: v.Claiming.GetRequest(), Command: command}, nil
	case *wire.FromEntry_PermitRequest:
		return decodePermitRequest(v.PermitRequest), nil
	case *wire.FromEntry_UsageReport:
		return decodeUsageReport(v.UsageReport), nil
	}
	return nil, ErrUnknownMessage
}

// EncodeToEntry encodes a message from a control replica to an entry.
func EncodeToEntry(m messenger.ToEntry) (*wire.FromControl, error) {
	switch v := m.(type) {
	case messenger.Configuration:
		document, err := encodeDocument(v.Document)
		if err != nil {
			return nil, err
		}
		configuration := &wire.Configured{Revision: v.Revision, Document: document, Evacuated: v.Evacuated}
		return &wire.FromControl{Message: &wire.FromControl_Configured{Configured: configuration}}, nil
	case messenger.HeartbeatReply:
		reply := &wire.BeatAnswer{Sequence: v.Sequence, Standing: v.ConfigLease, Entries: int64(v.Entries), Shares: convertAll(v.Shares, encodeShare)}
		return &wire.FromControl{Message: &wire.FromControl_BeatAnswer{BeatAnswer: reply}}, nil
	case messenger.EndpointUpdate:
		endpoints := &wire.Endpoints{Full: v.Full, Changed: convertAll(v.Changed, encodeAnnouncement), Removed: convertAll(v.Removed, encodeName)}
		return &wire.FromControl{Message: &wire.FromControl_Endpoints{Endpoints: endpoints}}, nil
	case messenger.ClaimReply:
		response, err := json.Marshal(v.Result.Response)
		if err != nil {
			return nil, errors.Wrap(err, "encode stored response")
		}
		reply := &wire.Claimed{Request: v.Request, Refused: v.NotProposed, Verdict: uint32(v.Result.Verdict), Answer: response}
		return &wire.FromControl{Message: &wire.FromControl_Claimed{Claimed: reply}}, nil
	case messenger.ReplicaAddresses:
		replicas := &wire.Replicas{Addresses: v.Addresses}
		return &wire.FromControl{Message: &wire.FromControl_Replicas{Replicas: replicas}}, nil
	case messenger.Lagging:
		return &wire.FromControl{Message: &wire.FromControl_Lagging{Lagging: &wire.Lagging{}}}, nil
	case messenger.PermitReply:
		return &wire.FromControl{Message: &wire.FromControl_PermitReply{PermitReply: encodePermitReply(v)}}, nil
	case messenger.LimitUpdate:
		return &wire.FromControl{Message: &wire.FromControl_LimitUpdate{LimitUpdate: encodeLimitUpdate(v)}}, nil
	case messenger.AdmissionUpdate:
		return &wire.FromControl{Message: &wire.FromControl_AdmissionUpdate{AdmissionUpdate: encodeAdmissionUpdate(v)}}, nil
	}
	return nil, ErrUnknownMessage
}

// DecodeToEntry decodes a message from a control replica to an entry.
func DecodeToEntry(m *wire.FromControl) (messenger.ToEntry, error) {
	switch v := m.GetMessage().(type) {
	case *wire.FromControl_Configured:
		document, err := decodeDocument(v.Configured.GetDocument())
		if err != nil {
			return nil, err
		}
		return messenger.Configuration{Revision: v.Configured.GetRevision(), Document: document, Evacuated: v.Configured.GetEvacuated()}, nil
	case *wire.FromControl_BeatAnswer:
		b := v.BeatAnswer
		return messenger.HeartbeatReply{Sequence: b.GetSequence(), ConfigLease: b.GetStanding(), Entries: int(b.GetEntries()), Shares: convertAll(b.GetShares(), decodeShare)}, nil
	case *wire.FromControl_Endpoints:
		e := v.Endpoints
		return messenger.EndpointUpdate{
			Full:    e.GetFull(),
			Changed: convertAll(e.GetChanged(), decodeAnnouncement),
			Removed: convertAll[*wire.Name, registrar.Name](e.GetRemoved(), decodeName),
		}, nil
	case *wire.FromControl_Claimed:
		return decodeClaimReply(v.Claimed)
	case *wire.FromControl_Replicas:
		return messenger.ReplicaAddresses{Addresses: v.Replicas.GetAddresses()}, nil
	case *wire.FromControl_Lagging:
		return messenger.Lagging{}, nil
	case *wire.FromControl_PermitReply:
		return decodePermitReply(v.PermitReply), nil
	case *wire.FromControl_LimitUpdate:
		return decodeLimitUpdate(v.LimitUpdate), nil
	case *wire.FromControl_AdmissionUpdate:
		return decodeAdmissionUpdate(v.AdmissionUpdate), nil
	}
	return nil, ErrUnknownMessage
}

func decodeClaimReply(c *wire.Claimed) (messenger.ToEntry, error) {
	var response claimer.Response
	if err := json.Unmarshal(c.GetAnswer(), &response); err != nil {
		return nil, errors.Wrap(err, "decode stored response")
	}
	result := claimer.Result{Verdict: claimer.Verdict(c.GetVerdict()), Response: response}
	return messenger.ClaimReply{Request: c.GetRequest(), NotProposed: c.GetRefused(), Result: result}, nil
}
