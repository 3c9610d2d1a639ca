package api

// Headers of a caller's request and of its answer.
const (
	// HeaderRequestID identifies a request; repeats carry the same value.
	// A value "dc/rest" pins the request's home to data centre dc.
	HeaderRequestID = "Request-Id"
	// HeaderCaller names the caller for limits and fairness.
	HeaderCaller = "Caller-Id"
	// HeaderIdempotent is "true" or "false"; missing means false.
	HeaderIdempotent = "Idempotent"
	// HeaderTimeout is the time left to the caller, in milliseconds.
	HeaderTimeout = "Timeout-Ms"
	// HeaderClass is "interactive" or "batch".
	HeaderClass = "Request-Class"
	// HeaderOutcome carries the Outcome of every answer.
	HeaderOutcome = "Request-Outcome"
	// HeaderReason carries the Reason of a refusal.
	HeaderReason = "Request-Reason"
	// HeaderEpoch carries the sender's shard epoch to an endpoint.
	HeaderEpoch = "Holder-Epoch"
	// HeaderSlotsBusy is an endpoint's own count of requests running.
	HeaderSlotsBusy = "Slots-Busy"
	// HeaderLeaving is "true" in the answer of an endpoint that is leaving.
	HeaderLeaving = "Endpoint-Leaving"
	// HeaderNotRun is "true" in an endpoint's answer that refuses a request
	// without running it.
	HeaderNotRun = "Endpoint-Not-Run"
)

// Request is one caller's request as it passes through the entry VMs.
type Request struct {
	ID         string            `json:"id"`
	Service    string            `json:"service"`
	Caller     string            `json:"caller"`
	Class      Class             `json:"class"`
	Idempotent bool              `json:"idempotent"`
	Method     string            `json:"method"`
	Path       string            `json:"path"` // with query, as sent to the endpoint
	Header     map[string]string `json:"header,omitempty"`
	Body       []byte            `json:"body,omitempty"`
}

// Answer is the whole answer of an endpoint.
type Answer struct {
	Status   int               `json:"status"`
	Header   map[string]string `json:"header,omitempty"`
	Trailer  map[string]string `json:"trailer,omitempty"`
	Body     []byte            `json:"body,omitempty"`
	Endpoint EndpointID        `json:"endpoint"`
}
