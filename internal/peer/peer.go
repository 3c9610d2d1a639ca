// Package peer implements calls between the processes of the system. It uses net/rpc
// with CBOR frames, a deadline on every call and size limits in both directions. Its
// errors distinguish whether a failed call can have reached the other process.
//
// A call is sent at most once. The package never retries.
package peer

import (
	"errors"
	"fmt"
	"time"

	"github.com/skylarklock/skylarklock/internal/defaults"
)

// Errors of Client.Call. The error of every failed call wraps exactly one of
// ErrNotSent, ErrUncertain and *RemoteError.
var (
	// ErrNotSent means that the call certainly did not run at the peer: the
	// dial failed, the call ended before its first byte was written, or the
	// peer refused it without running it.
	ErrNotSent = errors.New("peer: call not sent")
	// ErrUncertain means that the call may have run, may be running, or may
	// still run.
	ErrUncertain = errors.New("peer: call may have run")
	// ErrTooLarge is wrapped together with one of the above if a size limit
	// was exceeded.
	ErrTooLarge = errors.New("peer: message too large")
	// ErrMalformed means that the other process sent data that is not a valid
	// frame.
	ErrMalformed = errors.New("peer: malformed frame")
)

// RemoteError is an error that was returned by the called method.
type RemoteError struct {
	Method string
	Text   string
}

// Error implements error.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("peer: %s: %s", e.Method, e.Text)
}

// Limits limits the sizes that a client or server accepts and the times that it waits.
type Limits struct {
	MaxRequest int           // maximum size of a request frame in bytes
	MaxAnswer  int           // maximum size of an answer frame in bytes
	MaxConns   int           // maximum number of connections of a server
	MaxCalls   int           // maximum number of concurrent calls of each registered service
	Call       time.Duration // maximum time of a call, also if the context has no deadline
	Dial       time.Duration // maximum time of a dial
	Frame      time.Duration // maximum time from the first byte of a frame to the last
	Idle       time.Duration // after which a server closes an unused connection
}

// DefaultLimits returns the limits that apply where the settings have none.
func DefaultLimits() Limits {
	return Limits{
		MaxRequest: 9 << 20,
		MaxAnswer:  9 << 20,
		MaxConns:   512,
		MaxCalls:   1024,
		Call:       30 * time.Second,
		Dial:       500 * time.Millisecond,
		Frame:      10 * time.Second,
		Idle:       time.Minute,
	}
}

// withDefaults returns l with defaults in place of zero fields.
func (l Limits) withDefaults() Limits {
	d := DefaultLimits()
	defaults.Set(&l.MaxRequest, d.MaxRequest)
	defaults.Set(&l.MaxAnswer, d.MaxAnswer)
	defaults.Set(&l.MaxConns, d.MaxConns)
	defaults.Set(&l.MaxCalls, d.MaxCalls)
	defaults.Set(&l.Call, d.Call)
	defaults.Set(&l.Dial, d.Dial)
	defaults.Set(&l.Frame, d.Frame)
	defaults.Set(&l.Idle, d.Idle)
	return l
}
