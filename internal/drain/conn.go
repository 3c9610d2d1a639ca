package drain

import (
	"net"
	"sync"
	"time"
)

// trackingListener wraps the connections of a listener so that they track whether they
// are idle.
type trackingListener struct{ net.Listener }

// Accept implements net.Listener.
func (l trackingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c}, nil
}

// accepted returns the connection of the listener from which nc was accepted.
func accepted(nc net.Conn) net.Conn {
	if c, ok := nc.(*conn); ok {
		return c.Conn
	}
	return nc
}

// conn is a connection that can be closed while it is idle, which it is between an
// answer and the first byte of the next request.
type conn struct {
	net.Conn

	mu            sync.Mutex
	idle          bool
	closeWhenIdle bool // the connection must end as soon as it is idle
}

// expiredDeadline is a read deadline in the past.
var expiredDeadline = time.Unix(1, 0)

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		c.idle = false
		c.mu.Unlock()
	}
	return n, err
}

// SetReadDeadline implements net.Conn. http.Server sets a deadline for each phase of
// a request. That must not replace the expired deadline of an idle connection which
// has to end.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeWhenIdle && c.idle {
		t = expiredDeadline
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite closes the writing side of the connection if that is supported.
// http.Server calls it so that the client can read the answer before the connection
// is closed, in case the server has not read the whole request.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// markIdle records that the answer was written.
func (c *conn) markIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = true
}

// requestClose ends the connection as soon as it is idle, by making the server's
// pending read expire. The read either fails, or it has received bytes of a request,
// which is then answered.
func (c *conn) requestClose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeWhenIdle = true
	if c.idle {
		_ = c.Conn.SetReadDeadline(expiredDeadline) // fails only if the connection is closed
	}
}
