package peer

import (
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// exhaustedListener fails as accept does while the process has no free file descriptor.
type exhaustedListener struct {
	failures atomic.Int32 // left
	accepts  atomic.Int32
	closed   chan struct{}
}

// Accept implements net.Listener.
func (l *exhaustedListener) Accept() (net.Conn, error) {
	l.accepts.Add(1)
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	<-l.closed
	return nil, net.ErrClosed
}

// Close implements net.Listener.
func (l *exhaustedListener) Close() error {
	close(l.closed)
	return nil
}

// Addr implements net.Listener.
func (l *exhaustedListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against a process that ends because it had no free file descriptor for a moment.
func TestServerOutlivesExhaustedDescriptors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &exhaustedListener{closed: make(chan struct{})}
		const failures = 20
		l.failures.Store(failures)
		s := NewServer(Limits{}, nil)
		served := make(chan error, 1)
		go func() { served <- s.Serve(l) }()
		time.Sleep(time.Minute)
		synctest.Wait()
		select {
		case err := <-served:
			t.Fatalf("the server ended: %v", err)
		default:
		}
		if n := l.accepts.Load(); n != failures+1 {
			t.Errorf("accepted %d times in a minute, want %d", n, failures+1)
		}
		s.Close()
		if err := <-served; err != nil {
			t.Errorf("serve: %v", err)
		}
	})
}
