// Package drain shuts down an HTTP server so that every request which it has read is
// answered.
//
// http.Server.Shutdown does not guarantee that. It drops a request whose last bytes
// are read after Shutdown was called. It also treats a connection as idle, and closes
// it, until the whole header of the next request has been read.
package drain

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
)

// ErrShuttingDown is the cause with which CancelRequests cancels the contexts of
// requests. Their handlers should answer at once with what is known.
var ErrShuttingDown = errors.New("the process is ending")

// Server serves HTTP until it is drained.
type Server struct {
	http           *http.Server
	cancelRequests context.CancelCauseFunc // cancels the contexts of all requests

	mu        sync.Mutex
	listener  net.Listener  // nil before Serve
	serveDone chan struct{} // closed when no more connections are accepted
	conns     map[*conn]http.ConnState
	draining  bool
	connEnded chan struct{} // closed and replaced when a connection ends
}

// New returns a server that serves with the settings of s. It sets BaseContext of s. ConnState and ConnContext
// of s are called with the connections of the listener.
func New(s *http.Server) *Server {
	requests, cancelRequests := context.WithCancelCause(context.Background())
	d := &Server{
		http:           s,
		cancelRequests: cancelRequests,
		conns:          make(map[*conn]http.ConnState),
		connEnded:      make(chan struct{}),
	}
	s.BaseContext = func(net.Listener) context.Context { return requests }
	onConnState := s.ConnState
	s.ConnState = func(nc net.Conn, state http.ConnState) {
		if onConnState != nil {
			onConnState(accepted(nc), state)
		}
		d.onConnState(nc, state)
	}
	if connContext := s.ConnContext; connContext != nil {
		s.ConnContext = func(ctx context.Context, nc net.Conn) context.Context { return connContext(ctx, accepted(nc)) }
	}
	return d
}

// ListenAndServe serves at the address of the http.Server. It returns nil after
// Drain or Close.
func (d *Server) ListenAndServe() error {
	l, err := Listen(d.http.Addr)
	if err != nil {
		return err
	}
	return d.Serve(l)
}

// Serve accepts connections from l. It returns nil after Drain or Close.
func (d *Server) Serve(l net.Listener) error {
	serveDone := make(chan struct{})
	defer close(serveDone)
	d.mu.Lock()
	d.listener, d.serveDone = l, serveDone
	draining := d.draining
	d.mu.Unlock()
	if draining {
		return l.Close()
	}
	err := d.http.Serve(trackingListener{l})
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// onConnState records the state of a connection.
func (d *Server) onConnState(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(d.conns, c)
		close(d.connEnded)
		d.connEnded = make(chan struct{})
		return
	case http.StateIdle:
		c.markIdle()
	}
	d.conns[c] = state
	if d.draining {
		c.requestClose()
	}
}

// InFlight returns the number of requests that are being answered.
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

// Drain stops accepting connections, closes idle ones, and returns when all others
// have ended after their requests were answered. If ctx ends first, it returns the
// error of ctx. While it runs, handlers should answer with "Connection: close", since
// a client could otherwise send more requests.
func (d *Server) Drain(ctx context.Context) error {
	d.mu.Lock()
	d.draining = true
	l, serveDone := d.listener, d.serveDone
	for c := range d.conns {
		c.requestClose()
	}
	d.mu.Unlock()
	if l == nil {
		return nil
	}
	_ = l.Close() // the listener may be closed already
	select {
	case <-serveDone: // a connection may have been accepted just before the listener was closed
	case <-ctx.Done():
		return ctx.Err()
	}
	return d.awaitConnsClosed(ctx)
}

// CancelRequests cancels the contexts of all requests with ErrShuttingDown, so that their
// handlers answer with what is known, and then waits like Drain. Drain must be called
// first.
func (d *Server) CancelRequests(ctx context.Context) error {
	d.cancelRequests(ErrShuttingDown)
	return d.awaitConnsClosed(ctx)
}

// awaitConnsClosed returns when all connections are closed or ctx has ended.
func (d *Server) awaitConnsClosed(ctx context.Context) error {
	for {
		d.mu.Lock()
		open, connEnded := len(d.conns), d.connEnded
		d.mu.Unlock()
		if open == 0 {
			return nil
		}
		select {
		case <-connEnded:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Close closes the listener and all connections. It returns the number of requests
// that were aborted.
func (d *Server) Close() int {
	d.mu.Lock()
	d.draining = true
	d.mu.Unlock()
	aborted := d.InFlight()
	_ = d.http.Close() // the listener may be closed already
	return aborted
}
