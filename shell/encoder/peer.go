package encoder

import (
	"time"

	"comfreyplank.org/core/messenger"
	"comfreyplank.org/core/replicator"
	"comfreyplank.org/shell/encoder/wire"
)

// EncodeToPeer encodes a message between control replicas.
func EncodeToPeer(m messenger.ToPeer) (*wire.FromPeer, error) {
	switch v := m.(type) {
	case messenger.ReplicationMessage:
		message, err := encodeReplicationMessage(v)
		if err != nil {
			return nil, err
		}
		return &wire.FromPeer{Message: &wire.FromPeer_Replicated{Replicated: message}}, nil
	case messenger.Presence:
		presence := &wire.Presence{Member: encodeMember(v.Member), Run: v.Run, Founded: v.Bootstrapped, InForce: v.RevisionInEffect, Registry: v.RegistryDigest, Relayed: v.Relayed}
		return &wire.FromPeer{Message: &wire.FromPeer_Presence{Presence: presence}}, nil
	case messenger.RegistryUpdate:
		update := &wire.EndpointNews{Announcements: convertAll(v.Announcements, encodeAnnouncement), Renewals: convertAll(v.Renewals, encodeRenewal)}
		return &wire.FromPeer{Message: &wire.FromPeer_EndpointNews{EndpointNews: update}}, nil
	case messenger.ShareRequest:
		request := &wire.ShareRequest{Sent: int64(v.Sent), From: v.From, Run: v.Run, Entries: int64(v.Entries)}
		return &wire.FromPeer{Message: &wire.FromPeer_ShareRequest{ShareRequest: request}}, nil
	case messenger.ShareReply:
		reply := &wire.ShareReply{Sent: int64(v.Sent), Run: v.Run, Entries: int64(v.Entries), Shares: convertAll(v.Shares, encodeShare)}
		return &wire.FromPeer{Message: &wire.FromPeer_ShareReply{ShareReply: reply}}, nil
	case messenger.RelayedPermitRequest:
		request := &wire.RelayedPermitRequest{From: v.From, Run: v.Run, Stream: v.Stream, Entry: v.Entry, Request: encodePermitRequest(v.Request)}
		return &wire.FromPeer{Message: &wire.FromPeer_RelayedPermitRequest{RelayedPermitRequest: request}}, nil
	case messenger.RelayedPermitReply:
		reply := &wire.RelayedPermitReply{Run: v.Run, Stream: v.Stream, Reply: encodePermitReply(v.Reply)}
		return &wire.FromPeer{Message: &wire.FromPeer_RelayedPermitReply{RelayedPermitReply: reply}}, nil
	case messenger.LimitUpdate:
		return &wire.FromPeer{Message: &wire.FromPeer_LimitUpdate{LimitUpdate: encodeLimitUpdate(v)}}, nil
	case messenger.RelayedUsage:
		usage := &wire.RelayedUsage{From: v.From, Run: v.Run, Term: v.Term, Sequence: v.Sequence, Missing: int64(v.Missing), Usage: encodeUsageReport(v.Usage)}
		return &wire.FromPeer{Message: &wire.FromPeer_RelayedUsage{RelayedUsage: usage}}, nil
	case messenger.AdmissionUpdate:
		return &wire.FromPeer{Message: &wire.FromPeer_AdmissionUpdate{AdmissionUpdate: encodeAdmissionUpdate(v)}}, nil
	}
	return nil, ErrUnknownMessage
}

// DecodeToPeer decodes a message between control replicas.
func DecodeToPeer(m *wire.FromPeer) (messenger.ToPeer, error) {
	switch v := m.GetMessage().(type) {
	case *wire.FromPeer_Replicated:
		return decodeReplicationMessage(v.Replicated)
	case *wire.FromPeer_Presence:
		p := v.Presence
		return messenger.Presence{Member: decodeMember(p.GetMember()), Run: p.GetRun(), Bootstrapped: p.GetFounded(), RevisionInEffect: p.GetInForce(), RegistryDigest: p.GetRegistry(), Relayed: p.GetRelayed()}, nil
	case *wire.FromPeer_EndpointNews:
		n := v.EndpointNews
		return messenger.RegistryUpdate{Announcements: convertAll(n.GetAnnouncements(), decodeAnnouncement), Renewals: convertAll(n.GetRenewals(), decodeRenewal)}, nil
	case *wire.FromPeer_ShareRequest:
		r := v.ShareRequest
		return messenger.ShareRequest{Sent: time.Duration(r.GetSent()), From: r.GetFrom(), Run: r.GetRun(), Entries: int(r.GetEntries())}, nil
	case *wire.FromPeer_ShareReply:
		r := v.ShareReply
		return messenger.ShareReply{Sent: time.Duration(r.GetSent()), Run: r.GetRun(), Entries: int(r.GetEntries()), Shares: convertAll(r.GetShares(), decodeShare)}, nil
	case *wire.FromPeer_RelayedPermitRequest:
		r := v.RelayedPermitRequest
		return messenger.RelayedPermitRequest{From: r.GetFrom(), Run: r.GetRun(), Stream: r.GetStream(), Entry: r.GetEntry(), Request: decodePermitRequest(r.GetRequest())}, nil
	case *wire.FromPeer_RelayedPermitReply:
		r := v.RelayedPermitReply
		return messenger.RelayedPermitReply{Run: r.GetRun(), Stream: r.GetStream(), Reply: decodePermitReply(r.GetReply())}, nil
	case *wire.FromPeer_LimitUpdate:
		return decodeLimitUpdate(v.LimitUpdate), nil
	case *wire.FromPeer_RelayedUsage:
		return messenger.RelayedUsage{
			From: v.RelayedUsage.GetFrom(), Run: v.RelayedUsage.GetRun(), Term: v.RelayedUsage.GetTerm(), Sequence: v.RelayedUsage.GetSequence(),
			Missing: int(v.RelayedUsage.GetMissing()), Usage: decodeUsageReport(v.RelayedUsage.GetUsage()),
		}, nil
	case *wire.FromPeer_AdmissionUpdate:
		return decodeAdmissionUpdate(v.AdmissionUpdate), nil
	}
	return nil, ErrUnknownMessage
}

func encodeMember(m replicator.Member) *wire.Member {
	return &wire.Member{Id: string(m.ID), Name: m.Name, Address: m.Address, Voter: m.Voter}
}

func decodeMember(m *wire.Member) replicator.Member {
	return replicator.Member{ID: replicator.ID(m.GetId()), Name: m.GetName(), Address: m.GetAddress(), Voter: m.GetVoter()}
}

func encodeRenewal(r messenger.Renewal) *wire.Renewal {
	return &wire.Renewal{
		Name: encodeName(r.Name), Incarnation: r.Incarnation, Sequence: r.Sequence, Load: int64(r.Load), Content: r.Content,
		WarmUpTold: r.WarmUpTold, WarmUpNanos: int64(r.WarmUp),
	}
}

func decodeRenewal(r *wire.Renewal) messenger.Renewal {
	return messenger.Renewal{
		Name: decodeName(r.GetName()), Incarnation: r.GetIncarnation(), Sequence: r.GetSequence(), Load: int(r.GetLoad()), Content: r.GetContent(),
		WarmUpTold: r.GetWarmUpTold(), WarmUp: time.Duration(r.GetWarmUpNanos()),
	}
}

func encodeEntry(e replicator.Entry) *wire.Entry {
	e = e.Unpacked()
	return &wire.Entry{Index: e.Index, Term: e.Term, Kind: uint32(e.Kind), Data: e.Data}
}

func decodeEntry(e *wire.Entry) replicator.Entry {
	return replicator.Entry{Index: e.GetIndex(), Term: e.GetTerm(), Kind: replicator.EntryKind(e.GetKind()), Data: e.GetData()}
}

func encodeReplicationMessage(v messenger.ReplicationMessage) (*wire.Replicated, error) {
	e := v.Envelope
	r := &wire.Replicated{Group: uint32(v.Group), From: string(e.From), To: string(e.To), Term: e.Term}
	switch m := e.Message.(type) {
	case replicator.VoteRequest:
		r.Message = &wire.Replicated_VoteRequest{VoteRequest: &wire.VoteRequest{LastIndex: m.LastIndex, LastTerm: m.LastTerm, Pre: m.PreVote, Handover: m.LeadershipTransfer}}
	case replicator.VoteReply:
		r.Message = &wire.Replicated_VoteReply{VoteReply: &wire.VoteReply{Granted: m.Granted, Pre: m.PreVote}}
	case replicator.Append:
		r.Message = &wire.Replicated_Append{Append: encodeAppend(m)}
	case replicator.AppendReply:
		r.Message = &wire.Replicated_AppendReply{AppendReply: &wire.AppendReply{
			Ok: m.OK, Match: m.Match, Round: int64(m.LeaderTime), Sent: int64(m.Sent), Run: m.Run, Report: m.Report,
		}}
	case replicator.SnapshotChunk:
		r.Message = &wire.Replicated_SnapshotPiece{SnapshotPiece: &wire.SnapshotPiece{
			Index: m.Index, LogTerm: m.LogTerm, Members: convertAll(m.Members, encodeMember),
			Offset: int64(m.Offset), Data: m.Data, Done: m.Done, Round: int64(m.LeaderTime),
		}}
	case replicator.SnapshotReply:
		r.Message = &wire.Replicated_SnapshotReply{SnapshotReply: &wire.SnapshotReply{
			Index: m.Index, Offset: int64(m.Offset), Round: int64(m.LeaderTime), Sent: int64(m.Sent), Run: m.Run,
		}}
	case replicator.Forward:
		r.Message = &wire.Replicated_Forward{Forward: &wire.Forward{Data: m.Data}}
	case replicator.ReadRequest:
		r.Message = &wire.Replicated_ReadRequest{ReadRequest: &wire.ReadRequest{Read: m.Read}}
	case replicator.ReadReply:
		r.Message = &wire.Replicated_ReadReply{ReadReply: &wire.ReadReply{Read: m.Read, Index: m.Index}}
	case replicator.TimeoutNow:
		r.Message = &wire.Replicated_TakeOver{TakeOver: &wire.TakeOver{}}
	default:
		return nil, ErrUnknownMessage
	}
	return r, nil
}

func encodeAppend(m replicator.Append) *wire.Append {
	return &wire.Append{
		PrevIndex: m.PrevIndex, PrevTerm: m.PrevTerm, Entries: convertAll(m.Entries, encodeEntry), Commit: m.Commit,
		Round: int64(m.LeaderTime), Echo: int64(m.Echo), EchoRun: m.EchoRun, QuorumAge: int64(m.QuorumAge),
	}
}

func decodeAppend(m *wire.Append) replicator.Append {
	return replicator.Append{
		PrevIndex: m.GetPrevIndex(), PrevTerm: m.GetPrevTerm(), Entries: convertAll(m.GetEntries(), decodeEntry), Commit: m.GetCommit(),
		LeaderTime: time.Duration(m.GetRound()), Echo: time.Duration(m.GetEcho()), EchoRun: m.GetEchoRun(), QuorumAge: time.Duration(m.GetQuorumAge()),
	}
}

func decodeReplicationMessage(r *wire.Replicated) (messenger.ToPeer, error) {
	message, err := decodeReplicatorMessage(r)
	if err != nil {
		return nil, err
	}
	envelope := replicator.Envelope{From: replicator.ID(r.GetFrom()), To: replicator.ID(r.GetTo()), Term: r.GetTerm(), Message: message}
	group := messenger.Group(r.GetGroup())
	if group != messenger.GroupConfig && group != messenger.GroupClaims {
		return nil, ErrUnknownMessage
	}
	return messenger.ReplicationMessage{Group: group, Envelope: envelope}, nil
}

func decodeReplicatorMessage(r *wire.Replicated) (replicator.Message, error) {
	switch v := r.GetMessage().(type) {
	case *wire.Replicated_VoteRequest:
		m := v.VoteRequest
		return replicator.VoteRequest{LastIndex: m.GetLastIndex(), LastTerm: m.GetLastTerm(), PreVote: m.GetPre(), LeadershipTransfer: m.GetHandover()}, nil
	case *wire.Replicated_VoteReply:
		return replicator.VoteReply{Granted: v.VoteReply.GetGranted(), PreVote: v.VoteReply.GetPre()}, nil
	case *wire.Replicated_Append:
		return decodeAppend(v.Append), nil
	case *wire.Replicated_AppendReply:
		m := v.AppendReply
		return replicator.AppendReply{
			OK: m.GetOk(), Match: m.GetMatch(), LeaderTime: time.Duration(m.GetRound()), Sent: time.Duration(m.GetSent()), Run: m.GetRun(), Report: m.GetReport(),
		}, nil
	case *wire.Replicated_SnapshotPiece:
		m := v.SnapshotPiece
		return replicator.SnapshotChunk{
			Index: m.GetIndex(), LogTerm: m.GetLogTerm(), Members: convertAll(m.GetMembers(), decodeMember),
			Offset: int(m.GetOffset()), Data: m.GetData(), Done: m.GetDone(), LeaderTime: time.Duration(m.GetRound()),
		}, nil
	case *wire.Replicated_SnapshotReply:
		m := v.SnapshotReply
		return replicator.SnapshotReply{
			Index: m.GetIndex(), Offset: int(m.GetOffset()), LeaderTime: time.Duration(m.GetRound()), Sent: time.Duration(m.GetSent()), Run: m.GetRun(),
		}, nil
	case *wire.Replicated_Forward:
		return replicator.Forward{Data: v.Forward.GetData()}, nil
	case *wire.Replicated_ReadRequest:
		return replicator.ReadRequest{Read: v.ReadRequest.GetRead()}, nil
	case *wire.Replicated_ReadReply:
		return replicator.ReadReply{Read: v.ReadReply.GetRead(), Index: v.ReadReply.GetIndex()}, nil
	case *wire.Replicated_TakeOver:
		return replicator.TimeoutNow{}, nil
	}
	return nil, ErrUnknownMessage
}
