package validator

// Kind is the JSON type of a field.
type Kind uint8

// The kinds of a field.
const (
	KindInteger Kind = iota + 1
	KindString
	KindTime
	KindObjects
	KindStrings
	KindObject
	KindNumber
	KindBoolean
)

// Field defines one key of the document. Both the validation and the reference page are based
// on these definitions.
type Field struct {
	Name     string
	Kind     Kind
	Required bool
	// Default describes the meaning of an absent optional field on the reference page.
	Default string
	// Min and Max limit the value of integers and numbers, and the length of strings and lists.
	Min, Max int64
	// Choices lists the allowed values of a string. If it is empty, Min and Max apply.
	Choices []string
	// IsName restricts a string to letters, digits, dot, dash and underscore.
	IsName bool
	// MaxElement limits the length of the strings of a list; zero means MaxNameLength.
	MaxElement int64
	// Fields define the keys of an object, or of each object in a list of objects.
	Fields []Field
	// Doc is the meaning of the field on the reference page.
	Doc string
}

// Limits of a document.
const (
	MaxServices       = 1_000
	MaxRoutes         = 10_000
	MaxEndpoints      = 5_000
	MaxNameLength     = 100
	MaxChangeIDLength = 100
	MaxDeadlineMs     = 600_000
	MaxDocumentBytes  = 4 << 20
	MaxWorkspaces     = 10_000
	// MaxKeyBytes is the length of the longest key of a workspace.
	MaxKeyBytes = 1_000
)

const (
	maxPathLength    = 1_000
	maxRevision      = 1 << 53
	maxQueueLimit    = 100_000
	maxEntries       = 10_000
	maxProbeMs       = 1_000_000
	maxProbeBytes    = 1 << 30
	maxLimitBytes    = 1 << 30
	maxAttempts      = 100
	maxPriority      = 1_000
	maxWeight        = 1_000_000
	maxSplitServices = 100
	maxConnections   = 1_000_000
	maxKeys          = 1_000
	maxRate          = 1_000_000_000
)

// Schema returns the definitions of the top-level keys of the document.
func Schema() []Field {
	return []Field{
		{Name: "base-revision", Kind: KindInteger, Required: true, Max: maxRevision, Doc: "Revision that this document was edited from. If it is not the current revision, the change is a conflict."},
		{Name: "change-id", Kind: KindString, Required: true, Min: 1, Max: MaxChangeIDLength, IsName: true, Doc: "ID of this change. A change that is sent again with the same ID gets the first reply."},
		{Name: "generation", Kind: KindInteger, Default: "ordered by `base-revision`", Max: maxRevision, Doc: "Version number that the author assigns. The document with the highest generation takes effect. A document whose generation is not higher than the current one has no effect and is not an error."},
		{Name: "source", Kind: KindString, Default: "none", Max: MaxDocumentBytes, Doc: "The document as its author wrote it, stored only to be read back."},
		{Name: "entries", Kind: KindInteger, Required: true, Min: 1, Max: maxEntries, Doc: "Maximum number of entries that run at once, including replacements. Each entry may open an equal part of an endpoint's connections."},
		{Name: "services", Kind: KindObjects, Required: true, Max: MaxServices, Fields: serviceFields(), Doc: "All services of the system."},
		{Name: "stops", Kind: KindObjects, Default: "none", Max: MaxEndpoints, Fields: stopFields(), Doc: "Endpoints that get no new requests from a given time on."},
		{Name: "workspaces", Kind: KindObjects, Default: "none: requests need no key", Max: MaxWorkspaces, Fields: workspaceFields(), Doc: "The workspaces that may send requests. With any workspace, a request to a route that is not public must carry a key of one."},
		{Name: "limits", Kind: KindObject, Default: "the defaults below", Fields: limitFields(), Doc: "Limits on the requests and connections of callers."},
	}
}

func limitFields() []Field {
	return []Field{
		{Name: "max-header-bytes", Kind: KindInteger, Default: "64 KiB", Max: maxLimitBytes, Doc: "Maximum size of a request header. A request with a larger header gets status 431."},
		{Name: "max-body-bytes", Kind: KindInteger, Default: "no limit", Max: maxLimitBytes, Doc: "Maximum size of a request body. A request with a larger body gets status 413."},
		{Name: "header-timeout-ms", Kind: KindInteger, Default: "10 s", Max: MaxDeadlineMs, Doc: "Maximum time that a caller may take to send a request header, in ms."},
		{Name: "idle-timeout-ms", Kind: KindInteger, Default: "2 minutes", Max: MaxDeadlineMs, Doc: "Maximum time that a connection may stay open without a request, in ms."},
	}
}

func workspaceFields() []Field {
	return []Field{
		{Name: "name", Kind: KindString, Required: true, Min: 1, Max: MaxNameLength, IsName: true, Doc: "Name of the workspace, unique in the document. Endpoints get it with each request of the workspace."},
		{Name: "keys", Kind: KindStrings, Required: true, Max: maxKeys, MaxElement: MaxKeyBytes, Doc: "Keys that identify the workspace. No two workspaces share a key."},
		{Name: "priority", Kind: KindInteger, Default: "the priority of the route", Max: maxPriority, Doc: "Priority of all requests of the workspace; 0 is the most urgent."},
		{Name: "rate-per-second", Kind: KindNumber, Default: "no limit", Max: maxRate, Doc: "Rate limit: requests a second of the workspace over all entries together, averaged. 0 means no limit."},
		{Name: "burst", Kind: KindNumber, Default: "0", Max: maxRate, Doc: "Requests that the workspace may send at once beyond its rate limit after it has sent fewer."},
	}
}

func serviceFields() []Field {
	return []Field{
		{Name: "name", Kind: KindString, Required: true, Min: 1, Max: MaxNameLength, IsName: true, Doc: "Name of the service, unique in the document."},
		{Name: "routes", Kind: KindObjects, Required: true, Max: MaxRoutes, Fields: routeFields(), Doc: "Routes that lead to this service."},
		{Name: "admitted", Kind: KindStrings, Default: "every endpoint that announces itself", Max: MaxEndpoints, Min: 1, IsName: true, Doc: "Names of the endpoints that may serve."},
		{Name: "queue-limit", Kind: KindInteger, Required: true, Max: maxQueueLimit, Doc: "Maximum number of calls of each class that may wait in one entry."},
		{Name: "retry-percent", Kind: KindInteger, Required: true, Max: 100, Doc: "Retry budget, as a percentage of first attempts."},
		{Name: "probe-ms-per-second", Kind: KindInteger, Required: true, Max: maxProbeMs, Doc: "Probe budget: endpoint time that all entries together may spend on probes, in ms per second. 0 disables probes."},
		{Name: "probe-bytes-per-second", Kind: KindInteger, Required: true, Max: maxProbeBytes, Doc: "Probe budget: traffic that all entries together may spend on probes, in bytes per second."},
		{Name: "connections", Kind: KindInteger, Default: "as announced", Max: maxConnections, Doc: "Number of connections that each endpoint accepts from all entries together. It applies to endpoints that don't announce a number."},
		{Name: "health-path", Kind: KindString, Default: "/comfreyplank/v1/probe", Max: maxPathLength, Doc: "Path that probes request."},
		{Name: "warm-up-requests-per-second", Kind: KindNumber, Default: "no limit", Max: maxRate, Doc: "Requests a second that an endpoint takes from all entries together while it warms up. 0 means no limit."},
	}
}

func routeFields() []Field {
	return []Field{
		{Name: "name", Kind: KindString, Default: "none", Max: MaxNameLength, Doc: "Name of the route in logs."},
		{Name: "host", Kind: KindString, Default: "every host", Max: MaxNameLength, Doc: "Host of the request without its port."},
		{Name: "path-prefix", Kind: KindString, Required: true, Min: 1, Max: maxPathLength, Doc: "Prefix of the request path. It starts with a slash and matches whole path segments. Both are compared in their normal form: an encoded letter, digit, `-`, `.`, `_` or `~` is the character, an encoded slash is none; dots and empty segments are segments like others. A request whose path could be read as one of another route runs as strictly as the stricter of the two allows."},
		{Name: "execution", Kind: KindString, Default: "by the request's method", Choices: []string{"repeatable", "once-only", "at-most-once"}, Doc: "How often a request may run. `once-only` requires an `Idempotency-Key` header. With `at-most-once`, a request that the caller repeats counts as a new request. By default, requests with a method that is not idempotent are attempted once."},
		{Name: "deadline-ms", Kind: KindInteger, Required: true, Min: 1, Max: MaxDeadlineMs, Doc: "Maximum duration of the whole call, in ms."},
		{Name: "class", Kind: KindString, Required: true, Choices: []string{"interactive", "bulk"}, Doc: "Queue that calls wait in."},
		{Name: "target-ms", Kind: KindInteger, Default: "none", Max: MaxDeadlineMs, Doc: "Latency target: the latency up to which a response has its full value, in ms."},
		{Name: "attempts", Kind: KindInteger, Default: "3", Max: maxAttempts, Doc: "Maximum number of endpoints that one request is sent to."},
		{Name: "priority", Kind: KindInteger, Default: "0", Max: maxPriority, Doc: "Which calls are refused first while a service lacks room and the system sheds by priority; 0 is the most urgent."},
		{Name: "public", Kind: KindBoolean, Default: "false", Doc: "Whether requests need no key, though the document lists workspaces."},
		{Name: "split", Kind: KindObjects, Default: "all requests to the service that contains the route", Max: maxSplitServices, Fields: splitFields(), Doc: "Services among which the requests are divided, each with a weight."},
	}
}

func splitFields() []Field {
	return []Field{
		{Name: "service", Kind: KindString, Required: true, Min: 1, Max: MaxNameLength, IsName: true, Doc: "Name of a service of this document."},
		{Name: "weight", Kind: KindInteger, Required: true, Max: maxWeight, Doc: "Weight of the service, relative to the sum of the weights."},
	}
}

func stopFields() []Field {
	return []Field{
		{Name: "service", Kind: KindString, Required: true, Min: 1, Max: MaxNameLength, IsName: true, Doc: "Name of the service that the endpoint belongs to."},
		{Name: "endpoint", Kind: KindString, Required: true, Min: 1, Max: MaxNameLength, IsName: true, Doc: "Name under which the endpoint announces itself."},
		{Name: "at", Kind: KindTime, Default: "immediately", Doc: "Time from which the endpoint gets no new requests, in RFC 3339 format."},
	}
}
