// Package peer carries calls between the system's own processes: net/rpc with
// CBOR frames, a deadline on every call, size limits both ways and typed
// errors that say whether a failed call can have reached the other side.
//
// A call is sent at most once. The package never repeats one by itself.
package peer

import (
	"errors"
	"fmt"
	"time"

	"github.com/skylarklock/skylarklock/internal/defaults"
)

// Errors of Call. Every failed call wraps exactly one of ErrNotSent,
// ErrUncertain and *RemoteError.
var (
	// ErrNotSent: the call certainly did not run at the peer. The dial
	// failed, the call ended before its first byte was written, or the peer
	// refused it unread.
	ErrNotSent = errors.New("peer: call not sent")
	// ErrUncertain: the call may have run, may be running, or may still run.
	ErrUncertain = errors.New("peer: call may have run")
	// ErrTooLarge accompanies one of the above when a size limit was hit.
	ErrTooLarge = errors.New("peer: message too large")
	// ErrMalformed: the other side sent something that is not a frame.
	ErrMalformed = errors.New("peer: malformed frame")
)

// RemoteError is the error that the called method itself returned.
type RemoteError struct {
	Method string
	Text   string
}

// Error implements error.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("peer: %s: %s", e.Method, e.Text)
}

// Limits bounds what one side accepts and how long it waits.
type Limits struct {
	MaxRequest int           // bytes of one request frame
	MaxAnswer  int           // bytes of one answer frame
	MaxConns   int           // connections that a server holds
	MaxCalls   int           // calls that run at once in each registered service
	Call       time.Duration // longest call, also when the context has no deadline
	Dial       time.Duration // longest dial
	Frame      time.Duration // longest time from a frame's first byte to its last
	Idle       time.Duration // a server closes a connection unused for so long
}

// DefaultLimits returns the limits used where the settings name none.
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

// withDefaults fills every field that is zero.
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
