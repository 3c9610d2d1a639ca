package traffic

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Call is a call's share of what its connection carries.
type Call struct {
	meter   atomic.Pointer[Meter] // nil before a connection was found
	out, in int64                 // before the call
}

// Begin notes the connection that the call got.
func (c *Call) Begin(conn net.Conn) {
	if m, ok := conn.(*Meter); ok {
		c.out, c.in = m.Totals()
		c.meter.Store(m)
	}
}

// Count adds the call's bytes to those of its kind. The other goroutines of an HTTP
// transport have ended with the call or carry on for an answer that nobody reads; what
// comes then counts for the next call of the connection.
func (c *Call) Count(a *Account, kind Kind) {
	m := c.meter.Load()
	if m == nil {
		return
	}
	out, in := m.Totals()
	a.Add(kind, out-c.out, in-c.in)
}

// HasLongAnswers reports whether answers of the kind can be long for a thin link.
func (k Kind) HasLongAnswers() bool { return k == Reads || k == NewestRecords }

// Times of answers that are long for the link.
const (
	// StallTimeout is the silence after which an answer that is past its time is
	// given up. While its bytes come it is read on: given up at a fixed time and asked
	// for again, an answer that is long for the link might never arrive, and would fill
	// the link meanwhile.
	StallTimeout = 400 * time.Millisecond
	// MaxArrivalExtension bounds for how long an answer is read on past its time.
	MaxArrivalExtension = 10 * time.Second
	// stallLook is the time between two looks at that.
	stallLook = 50 * time.Millisecond
)

// ExtendWhileArriving returns a context that ends with ctx; but where that ends by its
// deadline, not before the answer's bytes have ceased to come. The function that
// it returns ends it in any case.
func (c *Call) ExtendWhileArriving(ctx context.Context) (context.Context, func()) {
	own, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		for past := time.Now(); errors.Is(ctx.Err(), context.DeadlineExceeded); {
			m := c.meter.Load()
			now := time.Now()
			if m == nil || m.SinceLastRead(now) > StallTimeout || now.Sub(past) > MaxArrivalExtension {
				break
			}
			select {
			case <-own.Done():
				return
			case <-time.After(stallLook):
			}
		}
		cancel(ctx.Err())
	})
	return own, func() {
		stop()
		cancel(nil)
	}
}
