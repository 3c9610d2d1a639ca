package drain

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
)

// pipeListener accepts connections that are in-memory pipes, so that a test can use the
// fake clock of synctest.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *pipeListener) Close() error {
	select {
	case <-l.done:
	default:
		close(l.done)
	}
	return nil
}

// Addr implements net.Listener.
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// connect returns the client's end of a connection that the server has accepted.
func (l *pipeListener) connect() net.Conn {
	client, server := net.Pipe()
	l.conns <- server
	return client
}

// send writes part of a request. A failed write shows as a missing answer.
func send(c net.Conn, part string) { _, _ = io.WriteString(c, part) }

// wantAnswer reads an answer, which must have status 200.
func wantAnswer(t *testing.T, c net.Conn) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Errorf("not answered: %v", err)
		return
	}
	if resp.StatusCode != http.StatusOK {
		t.Errorf("answered %s", resp.Status)
	}
}

// Timeouts of the server under test, like those of the server for clients.
const (
	headerTimeout = 3 * time.Second
	idleTimeout   = time.Minute
	longWait      = time.Hour // longer than any drain in the tests
)

// serve starts a server that accepts in-memory connections.
func serve(handler http.HandlerFunc) (*pipeListener, *Server) {
	l := newPipeListener()
	s := New(&http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout})
	go func() { _ = s.Serve(l) }()
	return l, s
}

// answerAndClose answers and makes the client close the connection.
func answerAndClose(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Connection", "close")
	w.WriteHeader(http.StatusOK)
}

// answerKeepAlive answers and keeps the connection open.
func answerKeepAlive(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }

// drainFor drains s in the background, with a time limit, and sends the outcome.
func drainFor(s *Server, limit time.Duration) <-chan outcome {
	ended := make(chan outcome, 1)
	start := time.Now()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		err := s.Drain(ctx)
		ended <- outcome{err, time.Since(start)}
	}()
	return ended
}

// outcome is the result of a drain.
type outcome struct {
	err   error
	after time.Duration // time since the start of the drain
}

const (
	firstPart = "GET / HTTP/1.1\r\nHost: a\r\n"
	lastPart  = "\r\n"
)

// A request whose last bytes are read after the start of a drain is answered. With
// http.Server.Shutdown, which drops such a request, clients of a restarted machine saw
// their connection closed without an answer, and this test and the next one failed
// with an unexpected EOF.
func TestRequestReadWhileDrainingIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, s := serve(answerAndClose)
		c := l.connect()
		send(c, firstPart)
		synctest.Wait()
		ended := drainFor(s, longWait)
		synctest.Wait()
		go send(c, lastPart)
		wantAnswer(t, c)
		if got := <-ended; got.err != nil || got.after > 0 {
			t.Errorf("drained with %v after %v", got.err, got.after)
		}
	})
}

// A reused connection on which part of the next request has arrived is not idle.
func TestRequestOnReusedConnectionWhileDrainingIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, s := serve(answerKeepAlive)
		c := l.connect()
		go send(c, firstPart+lastPart)
		wantAnswer(t, c)
		synctest.Wait()
		send(c, firstPart)
		synctest.Wait()
		ended := drainFor(s, longWait)
		synctest.Wait()
		go send(c, lastPart)
		wantAnswer(t, c)
		if got := <-ended; got.err != nil || got.after > 0 { // the connection is idle again and closed
			t.Errorf("drained with %v after %v", got.err, got.after)
		}
	})
}

// A request is answered on a connection on which nothing was sent before the drain.
func TestNewConnectionIsServedWhileDraining(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, s := serve(answerAndClose)
		c := l.connect()
		synctest.Wait()
		ended := drainFor(s, longWait)
		synctest.Wait()
		go send(c, firstPart+lastPart)
		wantAnswer(t, c)
		if got := <-ended; got.err != nil || got.after > 0 {
			t.Errorf("drained with %v after %v", got.err, got.after)
		}
	})
}

// Idle connections do not delay the drain. A connection on which nothing was ever sent
// delays it by the header timeout at most.
func TestIdleConnectionsCloseAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, s := serve(answerKeepAlive)
		c := l.connect()
		go send(c, firstPart+lastPart)
		wantAnswer(t, c)
		silent := l.connect()
		defer silent.Close()
		synctest.Wait()
		got := <-drainFor(s, longWait)
		if got.err != nil || got.after > headerTimeout {
			t.Errorf("drained with %v after %v, want within the header timeout of %v", got.err, got.after, headerTimeout)
		}
	})
}

// Requests that are waiting when the time for the drain is over are answered by their
// handlers, whose contexts state the reason.
func TestCancelledRequestsAreAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, s := serve(func(w http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
			if !errors.Is(context.Cause(r.Context()), ErrShuttingDown) {
				t.Errorf("context cancelled with %v", context.Cause(r.Context()))
			}
			answerAndClose(w, r)
		})
		c := l.connect()
		send(c, firstPart+lastPart)
		synctest.Wait()
		const limit = time.Second
		if got := <-drainFor(s, limit); !errors.Is(got.err, context.DeadlineExceeded) || got.after != limit {
			t.Errorf("drained with %v after %v", got.err, got.after)
		}
		if n := s.InFlight(); n != 1 {
			t.Errorf("%d requests in flight, want 1", n)
		}
		cancelled := make(chan error, 1)
		go func() { cancelled <- s.CancelRequests(t.Context()) }()
		wantAnswer(t, c)
		if err := <-cancelled; err != nil {
			t.Errorf("CancelRequests: %v", err)
		}
		if aborted := s.Close(); aborted != 0 {
			t.Errorf("%d requests were aborted, want 0", aborted)
		}
	})
}

// A request whose handler does not return is counted as aborted.
func TestCloseCountsAbortedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		l, s := serve(func(http.ResponseWriter, *http.Request) { <-release })
		c := l.connect()
		defer c.Close()
		send(c, firstPart+lastPart)
		synctest.Wait()
		<-drainFor(s, time.Second)
		if aborted := s.Close(); aborted != 1 {
			t.Errorf("%d requests were aborted, want 1", aborted)
		}
		close(release)
	})
}
