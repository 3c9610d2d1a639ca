package traffic

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Call counts the bytes of one call on a connection that carries one call at a time.
type Call struct {
	meter               atomic.Pointer[Meter] // nil until the call has a connection
	outBefore, inBefore int64                 // totals of the connection before the call
}

// Begin records the connection of the call.
func (c *Call) Begin(conn net.Conn) {
	if m, ok := conn.(*Meter); ok {
		c.outBefore, c.inBefore = m.Totals()
		c.meter.Store(m)
	}
}

// Count adds the call's bytes to those of its kind. The goroutines of an HTTP transport
// have ended with the call, or they still read an answer that is no longer needed. Bytes
// that arrive later are counted for the next call on the connection.
func (c *Call) Count(a *Account, kind Kind) {
	m := c.meter.Load()
	if m == nil {
		return
	}
	out, in := m.Totals()
	a.Add(kind, out-c.outBefore, in-c.inBefore)
}

// HasLongAnswers reports whether answers of the kind can take long on a slow link.
func (k Kind) HasLongAnswers() bool { return k == Reads || k == NewestRecords }

// Timing of answers that take long on a slow link.
const (
	// StallTimeout is the time without bytes after which an answer that is past its
	// deadline is abandoned. It is read on while its bytes arrive. If it were abandoned
	// at a fixed time and requested again, an answer that takes long on the link might
	// never arrive and would use up the link's capacity.
	StallTimeout = 400 * time.Millisecond
	// MaxArrivalExtension limits the time for which an answer is read past its deadline.
	MaxArrivalExtension = 10 * time.Second
	// stallPollInterval is the time between checks for a stall.
	stallPollInterval = 50 * time.Millisecond
)

// ExtendWhileArriving returns a context that ends with ctx. If ctx ends by its deadline,
// the returned context ends only after the bytes of the answer have stopped arriving. The
// returned function ends it in any case.
func (c *Call) ExtendWhileArriving(ctx context.Context) (context.Context, func()) {
	extended, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		for deadline := time.Now(); errors.Is(ctx.Err(), context.DeadlineExceeded); {
			m := c.meter.Load()
			now := time.Now()
			if m == nil || m.SinceLastRead(now) > StallTimeout || now.Sub(deadline) > MaxArrivalExtension {
				break
			}
			select {
			case <-extended.Done():
				return
			case <-time.After(stallPollInterval):
			}
		}
		cancel(ctx.Err())
	})
	return extended, func() {
		stop()
		cancel(nil)
	}
}
