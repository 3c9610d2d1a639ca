package executor

import (
	"net"
	"sync"
)

// limitedListener closes every connection beyond the limit at once.
type limitedListener struct {
	net.Listener
	limit    int
	recorder *recorder
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.recorder.connect(l.limit) {
			return &countedConn{Conn: conn, closed: l.recorder.disconnect}, nil
		}
		_ = conn.Close()
	}
}

// countedConn calls closed once, when it is closed.
type countedConn struct {
	net.Conn
	once   sync.Once
	closed func()
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.once.Do(c.closed)
	return c.Conn.Close()
}
