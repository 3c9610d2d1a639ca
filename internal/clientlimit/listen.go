package clientlimit

import (
	"context"
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
)

// Listen listens on a TCP address with bounded socket buffers and a bounded number of connections that wait to be
// accepted.
func (l *Limiter) Listen(address string) (*net.TCPListener, error) {
	config := net.ListenConfig{Control: setBufferSizes}
	inner, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	tcp := inner.(*net.TCPListener)
	if err := setBacklog(tcp, l.limits.backlog()); err != nil {
		return nil, errors.CombineErrors(err, tcp.Close())
	}
	return tcp, nil
}

// setBufferSizes sets the sizes of the socket's buffers. Connections inherit them from their listener, and the
// receive window follows from them only if they are set before the handshake.
func setBufferSizes(_, _ string, socket syscall.RawConn) error {
	return socket.Control(func(fd uintptr) {
		// A kernel that refuses a size keeps its default.
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes)
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, sendBufferBytes)
	})
}

// setBacklog bounds the connections that wait to be accepted. Package net uses the system's maximum.
func setBacklog(l *net.TCPListener, backlog int) error {
	socket, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	err = socket.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), backlog) })
	return errors.CombineErrors(err, listenErr)
}

// Listener returns a listener whose connections count for the limits. The server that accepts them must use
// ConnState, ConnContext and Handler.
func (l *Limiter) Listener(inner net.Listener) net.Listener { return &listener{inner, l} }

type listener struct {
	net.Listener
	limiter *Limiter
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.limiter.admit(nc); c != nil {
			return c, nil
		}
	}
}
