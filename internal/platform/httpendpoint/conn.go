package httpendpoint

import (
	"errors"
	"net"
	"net/http/httptrace"
	"sync/atomic"
)

// errNotOwned is returned by a write on a connection that no attempt owns, such as
// the write of a retry by the transport.
var errNotOwned = errors.New("httpendpoint: connection is not armed for this request")

// errRetrySuppressed is the cause with which a retry by the transport is cancelled.
var errRetrySuppressed = errors.New("httpendpoint: connection broke, repeat suppressed")

// attempt tracks the connection and the written bytes of one request.
type attempt struct {
	conn         *ownedConn   // the only connection to which the attempt may write
	connRequests int          // number of connections requested by the transport
	bytesWritten atomic.Int64 // passed to the kernel; never too low
	cancel       func(error)
}

// trace returns the hooks that assign a connection to the attempt. The transport
// calls both from the goroutine of RoundTrip.
func (a *attempt) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GetConn: func(string) { a.countConnRequest() },
		GotConn: func(info httptrace.GotConnInfo) { a.acquireConn(info.Conn) },
	}
}

// countConnRequest cancels the attempt if the transport requests a second
// connection.
func (a *attempt) countConnRequest() {
	a.connRequests++
	if a.connRequests > 1 {
		a.cancel(errRetrySuppressed)
	}
}

// acquireConn makes the attempt the owner of c unless it has had a connection before.
func (a *attempt) acquireConn(c net.Conn) {
	owned, ok := c.(*ownedConn)
	if !ok || a.conn != nil {
		return
	}
	a.conn = owned
	owned.owner.Store(a)
}

// releaseConn gives up the ownership of the connection. If the connection already
// belongs to the next attempt, that remains the owner.
func (a *attempt) releaseConn() {
	if a.conn != nil {
		a.conn.owner.CompareAndSwap(a, nil)
	}
}

// ownedConn is a connection that writes only for the attempt that owns it.
type ownedConn struct {
	net.Conn
	owner atomic.Pointer[attempt]
}

// Write implements net.Conn. The bytes are counted before they are written, and
// subtracted again if the kernel did not accept them, so that the count is never
// too low during a write.
func (c *ownedConn) Write(p []byte) (int, error) {
	owner := c.owner.Load()
	if owner == nil {
		return 0, errNotOwned
	}
	owner.bytesWritten.Add(int64(len(p)))
	n, err := c.Conn.Write(p)
	owner.bytesWritten.Add(int64(n - len(p)))
	return n, err
}
