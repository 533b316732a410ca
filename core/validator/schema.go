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
	// Fields define the keys of each object in a list of objects.
	Fields []Field
	Doc    string
}

// Limits of the document.
const (
	MaxServices       = 1_000
	MaxRoutes         = 200
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
)

// Schema returns the definitions of the document's keys.
func Schema() []Field {
	return []Field{
		{Name: "base-revision", Kind: KindInteger, Required: true, Max: maxRevision, Doc: "Revision that this document was edited from. A change to another base is a conflict."},
		{Name: "change-id", Kind: KindString, Required: true, Min: 1, Max: MaxChangeIDLength, IsName: true, Doc: "Identity of this change. The same identity sent again gets the first answer."},
		{Name: "entries", Kind: KindInteger, Required: true, Min: 1, Max: maxEntries, Doc: "Largest number of entry instances that run at once, replacements included. Each may open an equal part of an endpoint's connections."},
		{Name: "services", Kind: KindObjects, Required: true, Max: MaxServices, Fields: serviceFields(), Doc: "Every service, complete."},
		{Name: "stops", Kind: KindObjects, Default: "none", Max: MaxEndpoints, Fields: stopFields(), Doc: "Endpoints that get no new work from a time on."},
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
	}
}

func routeFields() []Field {
	return []Field{
		{Name: "host", Kind: KindString, Default: "every host", Max: MaxNameLength, Doc: "Host of the request, without port."},
		{Name: "path-prefix", Kind: KindString, Required: true, Min: 1, Max: maxPathLength, Doc: "Prefix of the path in whole segments. Starts with a slash."},
		{Name: "execution", Kind: KindString, Default: "by the request's method", Choices: []string{"repeatable", "once-only"}, Doc: "How often a request may run. Without it, a method that is not idempotent is attempted once."},
		{Name: "deadline-ms", Kind: KindInteger, Required: true, Min: 1, Max: MaxDeadlineMs, Doc: "Longest time for the whole call, in ms."},
		{Name: "class", Kind: KindString, Required: true, Choices: []string{"interactive", "bulk"}, Doc: "Queue that the call waits in."},
	}
}

func stopFields() []Field {
	return []Field{
		{Name: "service", Kind: KindString, Required: true, Min: 1, Max: MaxNameLength, IsName: true, Doc: "Service of the endpoint."},
		{Name: "endpoint", Kind: KindString, Required: true, Min: 1, Max: MaxNameLength, IsName: true, Doc: "Name under which the endpoint announces itself."},
		{Name: "at", Kind: KindTime, Default: "at once", Doc: "When new work ends, RFC 3339."},
	}
}
