package clientlimit

import (
	"bufio"
	"bytes"

	"fmt"
	"io"
	"net"
	"net/http"

	"testing"
	"testing/synctest"
	"time"

	"github.com/skylarklock/skylarklock/internal/logging"
)

// pipeListener accepts connections that are in-memory pipes, so that a test can use the fake clock of synctest.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
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
	close(l.done)
	return nil
}

// Addr implements net.Listener.
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// testServer is a server under limits.
type testServer struct {
	t        *testing.T
	limiter  *Limiter
	listener *pipeListener
}

// newServer starts a server that lasts until the end of the test.
func newServer(t *testing.T, limits Limits, handler http.HandlerFunc) *testServer {
	l := New(limits, logging.Nop())
	s := &testServer{t: t, limiter: l, listener: &pipeListener{make(chan net.Conn), make(chan struct{})}}
	server := &http.Server{
		Handler: l.Handler(handler), ConnState: l.ConnState, ConnContext: l.ConnContext,
		ReadHeaderTimeout: time.Minute, ReadTimeout: time.Minute,
	}
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(l.Listener(s.listener)) // ends with the server
	}()
	t.Cleanup(func() {
		server.Close()
		<-served
		time.Sleep(time.Minute) // until all goroutines have ended
	})
	return s
}

// client is a client's end of a connection.
type client struct {
	net.Conn
	t      *testing.T
	reader *bufio.Reader
}

// connect opens a connection. Connections differ in age.
func (s *testServer) connect() *client {
	ours, theirs := net.Pipe()
	s.listener.conns <- theirs
	synctest.Wait()
	time.Sleep(time.Millisecond)
	s.t.Cleanup(func() { ours.Close() })
	return &client{ours, s.t, bufio.NewReader(ours)}
}

// write sends part of a request. An error shows as a missing answer.
func (c *client) write(text string) { _, _ = io.WriteString(c, text) }

// send sends part of a request and waits until the server has handled it.
func (c *client) send(text string) {
	c.write(text)
	synctest.Wait()
	time.Sleep(time.Millisecond)
}

const get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// wantStatus reads an answer.
func (c *client) wantStatus(what string, want int) {
	c.t.Helper()
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Errorf("%s: no answer: %v", what, err)
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != want {
		c.t.Errorf("%s: answered %s, want %d", what, resp.Status, want)
	}
	synctest.Wait()
}

// wantClosed checks that the connection was closed without an answer.
func (c *client) wantClosed(what string) {
	c.t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	if b, err := c.reader.ReadByte(); err != io.EOF {
		c.t.Errorf("%s: read %q, %v; want a closed connection", what, b, err)
	}
}

// Guards against clients that lose their connection to others before they can send a request.
func TestYoungConnectionsAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(t, Limits{Connections: 2}, answerOK)
		first, second := s.connect(), s.connect()
		ours, theirs := net.Pipe()
		defer ours.Close()
		s.listener.conns <- theirs
		time.Sleep(minAge / 2)
		first.send(get)
		first.wantStatus("a connection that others wait for", http.StatusOK)
		second.send(get)
		second.wantStatus("the other connection", http.StatusOK)
		third := &client{ours, t, bufio.NewReader(ours)}
		go third.write(get)
		third.wantStatus("the connection that waited", http.StatusOK)
	})
}

// Guards against clients that are kept out by others that send one request after another.
func TestBusyConnectionsMakeRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(t, Limits{Connections: 1}, answerOK)
		busy := s.connect()
		for range 10 {
			busy.send(get)
			busy.wantStatus("a busy connection", http.StatusOK)
		}
		time.Sleep(minAge)
		busy.send(get)
		busy.wantStatus("the last request of a busy connection", http.StatusOK)
		busy.wantClosed("a busy connection at the limit")
		c := s.connect()
		c.send(get)
		c.wantStatus("a new connection", http.StatusOK)
	})
}

// Guards against a stop that waits for requests which don't end.
func TestIncompleteRequestsAreDroppedByAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(t, Limits{Connections: 10}, answerOK)
		idle, old := s.connect(), s.connect()
		idle.send(get)
		idle.wantStatus("first", http.StatusOK)
		old.send("GET / HTTP/1.1\r\n")
		time.Sleep(time.Second)
		young := s.connect()
		young.send("GET / HTTP/1.1\r\n")
		s.limiter.EvictIncomplete(time.Second)
		synctest.Wait()
		old.wantClosed("a request that doesn't end")
		young.send("Host: h\r\n\r\n")
		young.wantStatus("a request that ends in time", http.StatusOK)
		idle.send(get)
		idle.wantStatus("an idle connection", http.StatusOK)
	})
}

func answerOK(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }

// Guards against clients that are kept out by connections on which nothing happens.
func TestOldestIdleConnectionMakesRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(t, Limits{Connections: 2}, answerOK)
		first, second := s.connect(), s.connect()
		for _, c := range []*client{second, first} {
			c.send(get)
			c.wantStatus("an idle connection", http.StatusOK)
			time.Sleep(time.Millisecond)
		}
		third := s.connect()
		third.send(get)
		third.wantStatus("a new connection", http.StatusOK)
		second.wantClosed("the connection that was idle for the longest")
		first.send(get)
		first.wantStatus("the other one", http.StatusOK)
	})
}

// Guards against clients that are kept out by requests that stop before their end.
func TestOldestIncompleteRequestMakesRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(t, Limits{Connections: 2}, answerOK)
		first, second := s.connect(), s.connect()
		second.send("GET / HTTP/1.1\r\n")
		first.send("GET / HTTP/1.1\r\n")
		for range 3 { // it sends all the time, and is the oldest nevertheless
			first.send("A: b\r\n")
		}
		third := s.connect()
		third.send(get)
		third.wantStatus("a new connection", http.StatusOK)
		first.wantClosed("the oldest connection")
	})
}

// A request that has arrived is answered, even if a new client can't be served for it.
func TestArrivedRequestsAreAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		s := newServer(t, Limits{Connections: 2}, func(w http.ResponseWriter, r *http.Request) {
			<-release
			answerOK(w, r)
		})
		first, second := s.connect(), s.connect()
		first.send(get)
		second.send(get)
		s.connect().wantClosed("a connection that finds all others in use")
		close(release)
		synctest.Wait()
		first.wantStatus("first", http.StatusOK)
		second.wantStatus("second", http.StatusOK)
		fourth := s.connect()
		fourth.send(get)
		fourth.wantStatus("a connection after them", http.StatusOK)
	})
}

// An answer that its client doesn't read holds its connection only until another client needs it.
func TestUnreadAnswerMakesRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(t, Limits{Connections: 1}, answerOK)
		s.connect().send(get) // a pipe has no buffer, so the answer is not written
		c := s.connect()
		c.send(get)
		c.wantStatus("a new connection", http.StatusOK)
	})
}

// A refused request whose body has not arrived holds its connection only until another client needs it.
func TestUnreadBodyMakesRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(t, Limits{Connections: 1}, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) })
		refused := s.connect()
		refused.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n{")
		answered := make(chan []byte, 1)
		go func() {
			text, _ := io.ReadAll(refused) // ends with the connection
			answered <- text
		}()
		c := s.connect()
		c.send(get)
		c.wantStatus("a new connection", http.StatusNotFound)
		if text := <-answered; !bytes.Contains(text, []byte(" 404 ")) {
			t.Errorf("a request without its body: answered %q, want 404", text)
		}
	})
}

func TestLimitsFollowFromTheMachine(t *testing.T) {
	for _, c := range []struct {
		memoryMB, descriptors int
	}{{144, 3075}, {160, 4100}, {284, 4100}, {1048, 16384}, {284, 0}, {284, 300}, {8, 100}} {
		l := ForMachine(int64(c.memoryMB)<<20, c.descriptors)
		name := fmt.Sprintf("%d MB, %d descriptors: %+v", c.memoryMB, c.descriptors, l)
		if l.Connections < minConnections {
			t.Errorf("%s: too few connections", name)
		}
		if l.Connections > minConnections && l.Connections*connectionBytes > c.memoryMB<<20/2 {
			t.Errorf("%s: connections may take more than half of the memory", name)
		}
		if l.Connections > minConnections && c.descriptors > 0 && l.Connections > c.descriptors/2 {
			t.Errorf("%s: connections may take more than half of the descriptors", name)
		}
	}
}
