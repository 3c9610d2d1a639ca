package drain

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/internal/clientlimit"
	"github.com/skylarklock/skylarklock/internal/logging"
)

// slowListener accepts no connections until it is released, like a server on a busy machine.
type slowListener struct {
	net.Listener
	accepting chan struct{} // closed when Accept was called
	release   chan struct{}
}

func (l *slowListener) Accept() (net.Conn, error) {
	select {
	case <-l.accepting:
	default:
		close(l.accepting)
	}
	<-l.release
	return l.Listener.Accept()
}

// Guards against connections that are reset because they wait to be accepted when a planned stop
// begins. With a plain listener no request of this test was answered.
func TestWaitingConnectionsAreServedWhileDraining(t *testing.T) {
	for name, maxConns := range map[string]int{"unlimited": 0, "limited": 10} {
		t.Run(name, func(t *testing.T) { testWaitingConnections(t, maxConns) })
	}
}

func testWaitingConnections(t *testing.T, maxConns int) {
	inner, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &slowListener{inner, make(chan struct{}), make(chan struct{})}
	hs := &http.Server{Handler: http.HandlerFunc(answerAndClose), ReadHeaderTimeout: headerTimeout}
	var outer net.Listener = l
	if maxConns > 0 {
		limiter := clientlimit.New(clientlimit.Limits{Connections: maxConns}, logging.Nop())
		hs.Handler, hs.ConnState, hs.ConnContext = limiter.Handler(hs.Handler), limiter.ConnState, limiter.ConnContext
		outer = limiter.Listener(l)
	}
	s := New(hs)
	served := make(chan error, 1)
	go func() { served <- s.Serve(outer) }()
	<-l.accepting
	var clients []net.Conn
	for range 5 {
		c, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err := io.WriteString(c, firstPart+lastPart); err != nil {
			t.Fatal(err)
		}
		clients = append(clients, c)
	}
	drained := make(chan error, 1)
	go func() { drained <- s.Drain(context.Background()) }()
	time.Sleep(2 * lastAcceptWait) // the drain waits for the listener
	close(l.release)
	for _, c := range clients {
		wantAnswer(t, c)
	}
	if err := <-drained; err != nil {
		t.Errorf("drain: %v", err)
	}
	if err := <-served; err != nil {
		t.Errorf("serve: %v", err)
	}
	if c, err := net.Dial("tcp", inner.Addr().String()); err == nil {
		c.Close()
		t.Error("a connection is accepted after the drain")
	}
}

// Guards against a listener that stays open if nothing accepts from it.
func TestListenerClosesWithoutAccept(t *testing.T) {
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(10 * maxCloseTime); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if c, err := net.Dial("tcp", l.Addr().String()); err != nil {
			return
		} else {
			c.Close()
		}
	}
	t.Error("the listener is open")
}
