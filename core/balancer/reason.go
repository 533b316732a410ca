package balancer

// Reason explains why a call got no response.
type Reason string

// The reasons for a refusal.
const (
	ReasonPaused            Reason = "the endpoints have asked for a pause"
	ReasonNoEndpoint        Reason = "no endpoint of the service takes new work"
	ReasonQueueFull         Reason = "too many calls are waiting"
	ReasonDeadline          Reason = "the deadline can't be met"
	ReasonNoConfigLease     Reason = "this instance can't reach a majority of the control replicas"
	ReasonNoKeyLease        Reason = "this instance can't tell whether the key is still valid"
	ReasonClaimFailed       Reason = "the claim on the key could not be made"
	ReasonKeyTooOld         Reason = "the key is older than keys are kept"
	ReasonKeyFuture         Reason = "the key's time lies in the future"
	ReasonKeyMismatch       Reason = "the key belongs to a different request"
	ReasonKeyMissing        Reason = "the request needs an Idempotency-Key"
	ReasonKeyOutcomeUnknown Reason = "an earlier request with this key may have run"
	ReasonKeyPending        Reason = "an earlier request with this key has not ended"
	ReasonResponseTooLarge  Reason = "the request with this key has run; its answer was too large to keep"
	ReasonUnreachable       Reason = "no endpoint could be reached"
	ReasonShed              Reason = "the endpoints refused the request"
	ReasonOverload          Reason = "the endpoints have no room to answer in time"
	ReasonLimit             Reason = "the limits of the endpoints leave no room in time"
	ReasonMisdirected       Reason = "another endpoint has the address"
	ReasonConnectionLost    Reason = "the endpoint's connection failed"
	ReasonTimeout           Reason = "the endpoint did not answer in time"
)
