package validator

// Kind is the JSON type that a field takes.
type Kind uint8

// The kinds of a field.
const (
	KindInteger Kind = iota + 1
	KindString
	KindTime
	KindObjects
	KindStrings
	KindObject
)

// Field defines one key of the document. The validator and the reference page
// are both made from these definitions.
type Field struct {
	Name     string
	Kind     Kind
	Required bool
	// Default is what an absent optional field means, for the reference.
	Default string
	// Min and Max bound integers, and the length of strings and lists.
	Min, Max int64
	// Choices lists the only strings allowed, if any.
	Choices []string
	// IsName strings hold a name: letters, digits, dot, dash, underscore.
	IsName bool
	// Fields define the keys of an object, or of each object in a list of objects.
	Fields []Field
	Doc    string
}

// Limits of the document.
const (
	MaxServices       = 1_000
	MaxRoutes         = 10_000
	MaxEndpoints      = 5_000
	MaxNameLength     = 100
	MaxChangeIDLength = 100
	MaxDeadlineMs     = 600_000
	MaxDocumentBytes  = 4 << 20
)

const (
	maxPathLength = 1_000
	maxRevision   = 1 << 53
	maxQueueLimit = 100_000
	maxEntries    = 10_000
	maxProbeMs    = 1_000_000
	maxProbeBytes = 1 << 30
	maxLimitBytes = 1 << 30
	maxAttempts   = 100
	maxPriority   = 1_000
	maxWeight     = 1_000_000
	maxParts      = 100
	maxConnection = 1_000_000
)

// Schema returns the definitions of the document's keys.
func Schema() []Field {
	return []Field{
		{Name: "base-revision", Kind: KindInteger, Required: true, Max: maxRevision, Doc: "Revision that this document was edited from. A change to another base is a conflict."},
		{Name: "change-id", Kind: KindString, Required: true, Min: 1, Max: MaxChangeIDLength, IsName: true, Doc: "Identity of this change. The same identity sent again gets the first answer."},
		{Name: "generation", Kind: KindInteger, Default: "ordered by `base-revision`", Max: maxRevision, Doc: "The author's own order. The highest generation takes effect; one that is not higher changes nothing and is no error."},
		{Name: "source", Kind: KindString, Default: "none", Max: MaxDocumentBytes, Doc: "The form in which the author wrote the document, kept to be read back."},
		{Name: "entries", Kind: KindInteger, Required: true, Min: 1, Max: maxEntries, Doc: "Largest number of entry instances that run at once, replacements included. Each may open an equal part of an endpoint's connections."},
		{Name: "services", Kind: KindObjects, Required: true, Max: MaxServices, Fields: serviceFields(), Doc: "Every service, complete."},
		{Name: "stops", Kind: KindObjects, Default: "none", Max: MaxEndpoints, Fields: stopFields(), Doc: "Endpoints that get no new work from a time on."},
		{Name: "limits", Kind: KindObject, Default: "the entry's own bounds", Fields: limitFields(), Doc: "What callers may send."},
	}
}

func limitFields() []Field {
	return []Field{
		{Name: "max-header-bytes", Kind: KindInteger, Default: "64 KiB", Max: maxLimitBytes, Doc: "Largest header of a request. A larger one gets 431."},
		{Name: "max-body-bytes", Kind: KindInteger, Default: "no bound", Max: maxLimitBytes, Doc: "Largest body of a request. A larger one gets 413."},
		{Name: "header-timeout-ms", Kind: KindInteger, Default: "10 s", Max: MaxDeadlineMs, Doc: "Longest time that a request's header may take, in ms."},
		{Name: "idle-timeout-ms", Kind: KindInteger, Default: "2 minutes", Max: MaxDeadlineMs, Doc: "Longest time that a connection may be without a request, in ms."},
	}
}

func serviceFields() []Field {
	return []Field{
		{Name: "name", Kind: KindString, Required: true, Min: 1, Max: MaxNameLength, IsName: true, Doc: "Name of the service, unique in the document."},
		{Name: "routes", Kind: KindObjects, Required: true, Max: MaxRoutes, Fields: routeFields(), Doc: "Requests that belong to this service."},
		{Name: "admitted", Kind: KindStrings, Default: "every endpoint that announces itself", Max: MaxEndpoints, Min: 1, IsName: true, Doc: "Endpoints that may serve."},
		{Name: "queue-limit", Kind: KindInteger, Required: true, Max: maxQueueLimit, Doc: "Calls that may wait in one entry, for each class."},
		{Name: "retry-percent", Kind: KindInteger, Required: true, Max: 100, Doc: "Share of first attempts that may be tried again."},
		{Name: "probe-ms-per-second", Kind: KindInteger, Required: true, Max: maxProbeMs, Doc: "Watching budget: endpoint time that all entries together may spend on probes, in ms each second. 0 turns probing off."},
		{Name: "probe-bytes-per-second", Kind: KindInteger, Required: true, Max: maxProbeBytes, Doc: "Watching budget: bytes that all entries together may spend on probes each second."},
		{Name: "connections", Kind: KindInteger, Default: "as announced", Max: maxConnection, Doc: "Connections that each endpoint accepts from all entries together, for endpoints that don't announce it."},
		{Name: "health-path", Kind: KindString, Default: "/comfreyplank/v1/probe", Max: maxPathLength, Doc: "Path that answers probes."},
	}
}

func routeFields() []Field {
	return []Field{
		{Name: "name", Kind: KindString, Default: "none", Max: MaxNameLength, Doc: "Name of the route in logs."},
		{Name: "host", Kind: KindString, Default: "every host", Max: MaxNameLength, Doc: "Host of the request, without port."},
		{Name: "path-prefix", Kind: KindString, Required: true, Min: 1, Max: maxPathLength, Doc: "Prefix of the path in whole segments. Starts with a slash."},
		{Name: "execution", Kind: KindString, Default: "by the request's method", Choices: []string{"repeatable", "once-only", "at-most-once"}, Doc: "How often a request may run. `once-only` needs an `Idempotency-Key`; `at-most-once` counts each request of the caller by itself. Without it, a method that is not idempotent is attempted once."},
		{Name: "deadline-ms", Kind: KindInteger, Required: true, Min: 1, Max: MaxDeadlineMs, Doc: "Longest time for the whole call, in ms."},
		{Name: "class", Kind: KindString, Required: true, Choices: []string{"interactive", "bulk"}, Doc: "Queue that the call waits in."},
		{Name: "target-ms", Kind: KindInteger, Default: "none", Max: MaxDeadlineMs, Doc: "Time within which an answer has its full worth, in ms."},
		{Name: "attempts", Kind: KindInteger, Default: "3", Max: maxAttempts, Doc: "Most endpoints that one request may be sent to."},
		{Name: "priority", Kind: KindInteger, Default: "0", Max: maxPriority, Doc: "Rank of calls that wait. 0 goes first."},
		{Name: "split", Kind: KindObjects, Default: "all to the service that holds the route", Max: maxParts, Fields: partFields(), Doc: "Services that share the requests, each with a weight."},
	}
}

func partFields() []Field {
	return []Field{
		{Name: "service", Kind: KindString, Required: true, Min: 1, Max: MaxNameLength, IsName: true, Doc: "A service of this document."},
		{Name: "weight", Kind: KindInteger, Required: true, Max: maxWeight, Doc: "Its part, against the sum of the weights."},
	}
}

func stopFields() []Field {
	return []Field{
		{Name: "service", Kind: KindString, Required: true, Min: 1, Max: MaxNameLength, IsName: true, Doc: "Service of the endpoint."},
		{Name: "endpoint", Kind: KindString, Required: true, Min: 1, Max: MaxNameLength, IsName: true, Doc: "Name under which the endpoint announces itself."},
		{Name: "at", Kind: KindTime, Default: "at once", Doc: "When new work ends, RFC 3339."},
	}
}
