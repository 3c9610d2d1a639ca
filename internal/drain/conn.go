package drain

import (
	"net"
	"sync"
	"time"
)

// tracked is a listener of connections that know whether they rest.
type tracked struct{ net.Listener }

// Accept implements net.Listener.
func (l tracked) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c}, nil
}

// conn is a connection that can be told to end while it rests: between an
// answer and the first byte of the next request.
type conn struct {
	net.Conn

	mu      sync.Mutex
	resting bool
	expired bool // to end as soon as it rests
}

// past is a read deadline that is over.
var past = time.Unix(1, 0)

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		c.resting = false
		c.mu.Unlock()
	}
	return n, err
}

// SetReadDeadline implements net.Conn. http.Server sets one for each phase of
// a request; that of a connection which rests must not undo its end.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.expired && c.resting {
		t = past
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite has the client read the answer before the connection ends, where
// the server has not read the whole request.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// rest notes that the answer was written.
func (c *conn) rest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resting = true
}

// expire ends the connection when it rests, by the read for which the server
// waits: either that fails, or it has got bytes, whose request is answered.
func (c *conn) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expired = true
	if c.resting {
		_ = c.Conn.SetReadDeadline(past) // fails only on a connection that has ended
	}
}
