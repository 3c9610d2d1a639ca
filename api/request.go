package api

// HTTP headers of requests and answers.
const (
	// HeaderRequestID identifies a request; retries carry the same value.
	// A value of the form "dc/rest" sets the request's home to data centre dc.
	HeaderRequestID = "Request-Id"
	// HeaderCaller identifies the caller for limits and fair sharing.
	HeaderCaller = "Caller-Id"
	// HeaderIdempotent is "true" or "false" (default).
	HeaderIdempotent = "Idempotent"
	// HeaderTimeout is the time remaining until the caller's deadline, in
	// milliseconds.
	HeaderTimeout = "Timeout-Ms"
	// HeaderClass is "interactive" or "batch".
	HeaderClass = "Request-Class"
	// HeaderOutcome carries the Outcome of every answer.
	HeaderOutcome = "Request-Outcome"
	// HeaderReason carries the Reason of a refusal.
	HeaderReason = "Request-Reason"
	// HeaderEpoch carries the sender's shard epoch to an endpoint.
	HeaderEpoch = "Holder-Epoch"
	// HeaderSlotsBusy is the number of running requests as counted by the
	// endpoint itself.
	HeaderSlotsBusy = "Slots-Busy"
	// HeaderLeaving is "true" in the answer of an endpoint that is about to
	// shut down.
	HeaderLeaving = "Endpoint-Leaving"
	// HeaderNotRun is "true" in the answer of an endpoint that refused the
	// request without running it.
	HeaderNotRun = "Endpoint-Not-Run"
)

// Request is a caller's request as forwarded between entry VMs.
type Request struct {
	ID         string            `json:"id"`
	Service    string            `json:"service"`
	Caller     string            `json:"caller"`
	Class      Class             `json:"class"`
	Idempotent bool              `json:"idempotent"`
	Method     string            `json:"method"`
	Path       string            `json:"path"` // including the query, as sent to the endpoint
	Header     map[string]string `json:"header,omitempty"`
	Body       []byte            `json:"body,omitempty"`
}

// Answer is the complete answer of an endpoint.
type Answer struct {
	Status   int               `json:"status"`
	Header   map[string]string `json:"header,omitempty"`
	Trailer  map[string]string `json:"trailer,omitempty"`
	Body     []byte            `json:"body,omitempty"`
	Endpoint EndpointID        `json:"endpoint"`
}
