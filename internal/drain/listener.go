package drain

import (
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// lastAcceptWait is how long a listener that is being closed waits for a further connection. An
	// expired deadline would have it return without a look at those that wait.
	lastAcceptWait = 20 * time.Millisecond
	// maxCloseTime bounds the time for which connections are accepted while a listener is being closed.
	maxCloseTime = time.Second
)

// Listen listens on a TCP address, as with NewListener.
func Listen(address string) (net.Listener, error) {
	tcp, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return NewListener(tcp.(*net.TCPListener)), nil
}

// NewListener returns a listener for the connections of tcp. When it is closed, the connections that clients have
// opened and that wait to be accepted are accepted first: the kernel would reset them. A server that
// is slow to accept would thereby cut off requests that were sent before it stopped.
func NewListener(tcp *net.TCPListener) net.Listener { return &listener{tcp: tcp} }

// listener is a listener that accepts the waiting connections before it is closed.
type listener struct {
	tcp *net.TCPListener

	mu      sync.Mutex
	closeBy time.Time // zero until Close
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return l.tcp.Addr() }

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for isLast := false; ; isLast = true {
		c, err := l.tcp.Accept()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return c, err
		}
		if isLast || time.Now().After(l.deadline()) {
			_ = l.tcp.Close() // may have been closed by the timer
			return nil, net.ErrClosed
		}
		if err := l.tcp.SetDeadline(time.Now().Add(lastAcceptWait)); err != nil {
			return nil, err
		}
	}
}

func (l *listener) deadline() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closeBy
}

// Close implements net.Listener. It returns before the listener is closed, which Accept does, or a
// timer if Accept isn't called.
func (l *listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closeBy.IsZero() {
		return nil
	}
	l.closeBy = time.Now().Add(maxCloseTime)
	time.AfterFunc(maxCloseTime, func() { _ = l.tcp.Close() }) // may have been closed by Accept
	return l.tcp.SetDeadline(expiredDeadline)
}
