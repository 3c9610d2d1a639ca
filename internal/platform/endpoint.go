package platform

import (
	"context"
	"fmt"

	"github.com/skylarklock/skylarklock/api"
)

// Certainty says whether a failed attempt may have run at the endpoint.
type Certainty uint8

// Values of Certainty.
const (
	// CertainNotRun means that no byte of the request reached the endpoint, or that
	// the endpoint answered that it refused the request.
	CertainNotRun Certainty = iota + 1
	// MayHaveRun means that some of the request was sent and no complete answer
	// arrived.
	MayHaveRun
)

// AttemptError reports that one attempt at an endpoint failed.
type AttemptError struct {
	Certainty Certainty
	Reason    api.Reason
	Endpoint  api.EndpointID
	Cause     error
}

// Error implements error.
func (e *AttemptError) Error() string {
	return fmt.Sprintf("endpoint %s: %s: %v", e.Endpoint, e.Reason, e.Cause)
}

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Cause }

// Feedback is what an endpoint reports about itself along with an answer.
type Feedback struct {
	SlotsBusy int  // -1 if not reported
	Leaving   bool // the endpoint accepts no new requests
}

// Endpoint runs requests at executors.
type Endpoint interface {
	// Attempt sends req to ep at most once, without retries, and returns the
	// complete answer, whose body may have at most maxAnswer bytes. The context
	// carries the deadline. Errors are of type *AttemptError.
	Attempt(ctx context.Context, ep api.Endpoint, epoch api.Epoch, req *api.Request, maxAnswer int64) (*api.Answer, Feedback, error)
}
