package executor

import (
	"net"
	"sync"
)

// limitedListener immediately closes every connection beyond the limit.
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
		if l.recorder.admitConnection(l.limit) {
			return &trackedConn{Conn: conn, onClose: l.recorder.removeConnection}, nil
		}
		_ = conn.Close()
	}
}

// trackedConn calls onClose the first time that it is closed.
type trackedConn struct {
	net.Conn
	once    sync.Once
	onClose func()
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.once.Do(c.onClose)
	return c.Conn.Close()
}
