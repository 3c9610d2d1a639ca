package peer

import (
	"context"
	"errors"
	"net"
	"testing"
)

// failingConn is a connection on which writes fail after some bytes.
type failingConn struct {
	net.Conn
	accepts int // bytes of each write that are sent
}

func (c failingConn) Write(b []byte) (int, error) {
	n := min(c.accepts, len(b))
	if n > 0 {
		if _, err := c.Conn.Write(b[:n]); err != nil {
			return 0, err
		}
	}
	return n, errors.New("connection reset")
}

// Guards against a caller being left unsure of a call on a connection that the other process had closed:
// no byte of the call was sent. After a part of it was sent, the caller must be left unsure.
func TestCallOfWhichNothingWasWrittenIsNotSent(t *testing.T) {
	for _, c := range []struct {
		accepts int
		want    error
	}{{0, ErrNotSent}, {1, ErrUncertain}} {
		near, far := net.Pipe()
		go func() { _, _ = far.Read(make([]byte, 10)) }()
		client := NewClient(testLimits, func(context.Context, string) (net.Conn, error) {
			return failingConn{near, c.accepts}, nil
		})
		var reply string
		if err := client.Call(t.Context(), "a", "Probe.Echo", "x", &reply); !errors.Is(err, c.want) {
			t.Errorf("%d bytes written: %v, want %v", c.accepts, err, c.want)
		}
		client.Close()
		far.Close()
	}
}
