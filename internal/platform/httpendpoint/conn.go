package httpendpoint

import (
	"errors"
	"net"
	"net/http/httptrace"
	"sync/atomic"
)

// errNotArmed is returned by a write on a connection that no attempt armed,
// such as a repeat by the transport.
var errNotArmed = errors.New("httpendpoint: connection is not armed for this request")

// errRepeat is the cause with which a repeat by the transport is cancelled.
var errRepeat = errors.New("httpendpoint: connection broke, repeat suppressed")

// attempt accounts for one request on the wire.
type attempt struct {
	conn    *armedConn   // the only connection it may write to
	dials   int          // connections asked for by the transport
	written atomic.Int64 // bytes handed to the kernel, never too few
	cancel  func(error)
}

// trace returns the hooks that tie the attempt to its connection. The
// transport calls both from the goroutine of RoundTrip.
func (a *attempt) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GetConn: func(string) { a.countDial() },
		GotConn: func(info httptrace.GotConnInfo) { a.arm(info.Conn) },
	}
}

// countDial cancels the attempt when the transport asks for a second
// connection.
func (a *attempt) countDial() {
	a.dials++
	if a.dials > 1 {
		a.cancel(errRepeat)
	}
}

// arm lets the attempt write to c, unless it has had a connection before.
func (a *attempt) arm(c net.Conn) {
	armed, ok := c.(*armedConn)
	if !ok || a.conn != nil {
		return
	}
	a.conn = armed
	armed.owner.Store(a)
}

// release takes the right to write away. The connection may already belong
// to the next attempt, which keeps it.
func (a *attempt) release() {
	if a.conn != nil {
		a.conn.owner.CompareAndSwap(a, nil)
	}
}

// armedConn is a connection that writes only for the attempt that owns it.
type armedConn struct {
	net.Conn
	owner atomic.Pointer[attempt]
}

// Write implements net.Conn. The bytes are counted before they are written
// and taken back when the kernel refused them, so that the count is never too
// low while a write is under way.
func (c *armedConn) Write(p []byte) (int, error) {
	owner := c.owner.Load()
	if owner == nil {
		return 0, errNotArmed
	}
	owner.written.Add(int64(len(p)))
	n, err := c.Conn.Write(p)
	owner.written.Add(int64(n - len(p)))
	return n, err
}
