// Package drain ends an HTTP server without leaving a request that it has read
// unanswered.
//
// http.Server.Shutdown doesn't do that: a request whose last bytes are read
// after its call is dropped, and a connection counts as idle, and is closed,
// until the whole header of its next request has been read.
package drain

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
)

// ErrShuttingDown is the cause with which the contexts of requests are cancelled
// that are to be answered at once, with what is known.
var ErrShuttingDown = errors.New("the process is ending")

// Server serves HTTP until it is drained.
type Server struct {
	http   *http.Server
	settle context.CancelCauseFunc // cancels the requests' contexts

	mu        sync.Mutex
	listener  net.Listener  // nil before Serve
	served    chan struct{} // closed when nothing more is accepted
	conns     map[*conn]http.ConnState
	draining  bool
	forgotten chan struct{} // closed and replaced when a connection has ended
}

// New returns a server that serves as s is set up, whose BaseContext and
// ConnState it sets.
func New(s *http.Server) *Server {
	requests, settle := context.WithCancelCause(context.Background())
	d := &Server{
		http:      s,
		settle:    settle,
		conns:     make(map[*conn]http.ConnState),
		forgotten: make(chan struct{}),
	}
	s.BaseContext = func(net.Listener) context.Context { return requests }
	s.ConnState = d.changed
	return d
}

// ListenAndServe serves on the address of the http.Server. It returns nil
// after Drain or Close.
func (d *Server) ListenAndServe() error {
	l, err := net.Listen("tcp", d.http.Addr)
	if err != nil {
		return err
	}
	return d.Serve(l)
}

// Serve accepts connections from l. It returns nil after Drain or Close.
func (d *Server) Serve(l net.Listener) error {
	served := make(chan struct{})
	defer close(served)
	d.mu.Lock()
	d.listener, d.served = l, served
	draining := d.draining
	d.mu.Unlock()
	if draining {
		return l.Close()
	}
	err := d.http.Serve(tracked{l})
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// changed follows the state of a connection.
func (d *Server) changed(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(d.conns, c)
		close(d.forgotten)
		d.forgotten = make(chan struct{})
		return
	case http.StateIdle:
		c.rest()
	}
	d.conns[c] = state
	if d.draining {
		c.expire()
	}
}

// InFlight returns how many requests are being answered.
func (d *Server) InFlight() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, state := range d.conns {
		if state == http.StateActive {
			n++
		}
	}
	return n
}

// Drain accepts no more connections, lets go of those that rest, and returns
// when all others have ended, with the answers to what was read on them; or
// with the error of ctx when that ends first. Handlers should answer with
// "Connection: close" by then: a client could go on with requests otherwise.
func (d *Server) Drain(ctx context.Context) error {
	d.mu.Lock()
	d.draining = true
	l, served := d.listener, d.served
	for c := range d.conns {
		c.expire()
	}
	d.mu.Unlock()
	if l == nil {
		return nil
	}
	_ = l.Close() // it may be closed already
	select {
	case <-served: // a connection may have been accepted just before
	case <-ctx.Done():
		return ctx.Err()
	}
	return d.awaitEnd(ctx)
}

// CancelRequests cancels the contexts of all requests, with ErrEnding, so that their
// handlers answer with what they know, and waits like Drain, which comes first.
func (d *Server) CancelRequests(ctx context.Context) error {
	d.settle(ErrShuttingDown)
	return d.awaitEnd(ctx)
}

// awaitEnd returns when no connection is left or ctx has ended.
func (d *Server) awaitEnd(ctx context.Context) error {
	for {
		d.mu.Lock()
		left, forgotten := len(d.conns), d.forgotten
		d.mu.Unlock()
		if left == 0 {
			return nil
		}
		select {
		case <-forgotten:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Close closes the listener and what is left of the connections, and returns
// how many requests were cut off by that.
func (d *Server) Close() int {
	d.mu.Lock()
	d.draining = true
	d.mu.Unlock()
	cut := d.InFlight()
	_ = d.http.Close() // the listener may be closed already
	return cut
}
