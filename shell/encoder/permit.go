package encoder

import (
	"time"

	"comfreyplank.org/core/messenger"
	"comfreyplank.org/core/permitter"
	"comfreyplank.org/core/registrar"
	"comfreyplank.org/core/throttler"
	"comfreyplank.org/shell/encoder/wire"
)

func encodeLimitOf(name registrar.Name, incarnation uint64, l throttler.Limit) *wire.EndpointLimit {
	return &wire.EndpointLimit{Name: encodeName(name), Incarnation: incarnation, Limit: &wire.Limit{Rate: l.Rate, Version: l.Version}}
}

func decodeLimit(l *wire.Limit) throttler.Limit {
	return throttler.Limit{Rate: l.GetRate(), Version: l.GetVersion()}
}

func encodeEndpointLimit(l permitter.EndpointLimit) *wire.EndpointLimit {
	return encodeLimitOf(l.Name, l.Incarnation, l.Limit)
}

func decodeEndpointLimit(l *wire.EndpointLimit) permitter.EndpointLimit {
	return permitter.EndpointLimit{Name: decodeName(l.GetName()), Incarnation: l.GetIncarnation(), Limit: decodeLimit(l.GetLimit())}
}

func encodePermitDemand(d messenger.PermitDemand) *wire.PermitDemand {
	return &wire.PermitDemand{
		Endpoint: encodeLimitOf(d.Name, d.Incarnation, d.Request.Limit), Observed: d.Request.Observed, Permits: int64(d.Request.Permits),
		WarmUpRate: d.Request.WarmUp.Rate, WarmUpNanos: int64(d.Request.WarmUp.Left),
	}
}

func decodePermitDemand(d *wire.PermitDemand) messenger.PermitDemand {
	l := d.GetEndpoint()
	return messenger.PermitDemand{Name: decodeName(l.GetName()), Incarnation: l.GetIncarnation(), Request: throttler.Request{
		Limit: decodeLimit(l.GetLimit()), Observed: d.GetObserved(), Permits: int(d.GetPermits()),
		WarmUp: throttler.WarmUp{Rate: d.GetWarmUpRate(), Left: time.Duration(d.GetWarmUpNanos())},
	}}
}

func encodePermitRequest(r messenger.PermitRequest) *wire.PermitRequest {
	return &wire.PermitRequest{Sequence: r.Sequence, Demands: convertAll(r.Demands, encodePermitDemand)}
}

func decodePermitRequest(r *wire.PermitRequest) messenger.PermitRequest {
	return messenger.PermitRequest{Sequence: r.GetSequence(), Demands: convertAll(r.GetDemands(), decodePermitDemand)}
}

func encodePermitGrant(g messenger.PermitGrant) *wire.PermitGrant {
	return &wire.PermitGrant{
		Endpoint: encodeLimitOf(g.Name, g.Incarnation, g.Grant.Limit), Entries: int64(g.Grant.Entries), Permits: int64(g.Grant.Permits),
		DelayNanos: int64(g.Grant.Delay), IntervalNanos: int64(g.Grant.Interval), RetryAfterNanos: int64(g.Grant.RetryAfter), AskShare: g.Grant.AskShare,
	}
}

func decodePermitGrant(g *wire.PermitGrant) messenger.PermitGrant {
	l := g.GetEndpoint()
	return messenger.PermitGrant{Name: decodeName(l.GetName()), Incarnation: l.GetIncarnation(), Grant: throttler.Grant{
		Limit: decodeLimit(l.GetLimit()), Entries: int(g.GetEntries()), Permits: int(g.GetPermits()),
		Delay: time.Duration(g.GetDelayNanos()), Interval: time.Duration(g.GetIntervalNanos()), RetryAfter: time.Duration(g.GetRetryAfterNanos()), AskShare: g.GetAskShare(),
	}}
}

func encodePermitReply(r messenger.PermitReply) *wire.PermitReply {
	return &wire.PermitReply{Sequence: r.Sequence, Grants: convertAll(r.Grants, encodePermitGrant)}
}

func decodePermitReply(r *wire.PermitReply) messenger.PermitReply {
	return messenger.PermitReply{Sequence: r.GetSequence(), Grants: convertAll(r.GetGrants(), decodePermitGrant)}
}

func encodeLimitUpdate(u messenger.LimitUpdate) *wire.LimitUpdate {
	return &wire.LimitUpdate{Full: u.Full, Limits: convertAll(u.Limits, encodeEndpointLimit)}
}

func decodeLimitUpdate(u *wire.LimitUpdate) messenger.LimitUpdate {
	return messenger.LimitUpdate{Full: u.GetFull(), Limits: convertAll(u.GetLimits(), decodeEndpointLimit)}
}
