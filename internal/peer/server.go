package peer

import (
	"context"
	"errors"
	"expvar"
	"net"
	"net/rpc"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/internal/traffic"
)

// Names of the counters in Server.Vars.
const (
	varAccepted        = "connections_accepted"
	varConnsRefused    = "connections_refused"
	varUnusedClosed    = "unused_connections_closed"
	varAcceptFailures  = "accept_failures"
	varMalformedFrames = "garbage_frames"
	varBusy            = "calls_refused_busy"
	varDraining        = "calls_refused_draining"
	varCalls           = "calls"
	varBytesIn         = "bytes_in"
	varBytesOut        = "bytes_out"
)

// Server serves calls from one listener.
type Server struct {
	limits Limits
	log    *logrus.Entry
	rpc    *rpc.Server
	vars   *expvar.Map
	// traffic counts the bytes of calls by method; nil: not counted. Set by CountTraffic.
	traffic *traffic.Account
	slots   map[string]chan struct{} // call slots by service name; not modified after Serve

	mu       sync.Mutex
	draining bool
	listener net.Listener
	conns    map[*serverCodec]struct{}
	serving  sync.WaitGroup
}

// NewServer returns a server without services. Zero limits take their defaults. If log
// is nil, the server uses the standard logger.
func NewServer(limits Limits, log *logrus.Entry) *Server {
	if log == nil {
		log = logrus.NewEntry(logrus.StandardLogger())
	}
	s := &Server{
		limits: limits.withDefaults(),
		log:    log,
		rpc:    rpc.NewServer(),
		vars:   new(expvar.Map).Init(),
		slots:  make(map[string]chan struct{}),
		conns:  make(map[*serverCodec]struct{}),
	}
	if err := s.rpc.RegisterName(refusalService, refusals{}); err != nil {
		panic("peer: " + err.Error())
	}
	return s
}

// Vars returns the server's counters, which the caller may publish under a name of
// its choice.
func (s *Server) Vars() *expvar.Map { return s.vars }

// CountTraffic counts the bytes of calls in a, by method. It must not be called after
// Serve.
func (s *Server) CountTraffic(a *traffic.Account) { s.traffic = a }

// Register adds the exported methods of rcvr as "name.Method". They must have the form
// that net/rpc requires. Each name has its own limit on concurrent calls. Register
// must not be called after Serve.
func (s *Server) Register(name string, rcvr any) error {
	s.slots[name] = make(chan struct{}, s.limits.MaxCalls)
	return s.rpc.RegisterName(name, rcvr)
}

// Serve accepts connections until Shutdown is called or the listener fails. It returns
// nil after Shutdown.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	stopped := s.draining
	s.mu.Unlock()
	if stopped {
		return l.Close()
	}
	var delay time.Duration
	for {
		conn, err := l.Accept()
		if err == nil {
			delay = 0
			s.ServeConn(conn)
			continue
		}
		if !isTransient(err) {
			return s.acceptError(err)
		}
		delay = min(max(2*delay, minAcceptDelay), maxAcceptDelay)
		s.vars.Add(varAcceptFailures, 1)
		s.log.WithError(err).WithField("retry_ms", delay.Milliseconds()).Warn("peer connection not accepted")
		time.Sleep(delay)
	}
}

// Delays before the next connection is accepted after a transient error.
const (
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = time.Second
)

// transientAcceptErrors are errors of accept that concern one connection, or that end when file descriptors or
// memory are available again (accept(2)).
var transientAcceptErrors = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EINTR,
}

// isTransient reports whether connections may be accepted again after err.
func isTransient(err error) bool {
	return slices.ContainsFunc(transientAcceptErrors, func(e error) bool { return errors.Is(err, e) })
}

// acceptError returns nil in place of the error that results from closing the listener.
func (s *Server) acceptError(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining && errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// ServeConn serves conn in the background. If the server has its maximum number of connections, it closes the
// one that has been unused for the longest. It closes conn if there is none or if it is stopping.
func (s *Server) ServeConn(conn net.Conn) {
	codec := newServerCodec(s, conn)
	s.mu.Lock()
	refuse := s.draining || len(s.conns) >= s.limits.MaxConns && !s.closeUnused()
	if !refuse {
		s.conns[codec] = struct{}{}
		s.serving.Add(1)
	}
	s.mu.Unlock()
	if refuse {
		s.vars.Add(varConnsRefused, 1)
		conn.Close()
		return
	}
	s.vars.Add(varAccepted, 1)
	go s.serve(codec)
}

// closeUnused closes the connection that has been unused for the longest and reports whether there is one.
// s.mu is held.
func (s *Server) closeUnused() bool {
	var longest *serverCodec
	var since time.Time
	for codec := range s.conns {
		if start, unused := codec.unusedSince(); unused && (longest == nil || start.Before(since)) {
			longest, since = codec, start
		}
	}
	if longest == nil {
		return false
	}
	s.vars.Add(varUnusedClosed, 1)
	delete(s.conns, longest)
	longest.Close()
	return true
}

// serve serves one connection. It returns after the calls in flight have ended.
func (s *Server) serve(codec *serverCodec) {
	defer s.serving.Done()
	s.rpc.ServeCodec(codec)
	s.mu.Lock()
	delete(s.conns, codec)
	s.mu.Unlock()
}

// Shutdown stops accepting connections and calls, waits until the calls in flight are
// answered and closes the connections. If ctx ends first, it closes them at once and
// returns the error of ctx.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stopAccepting()
	done := make(chan struct{})
	go func() {
		s.serving.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		s.Close()
		return ctx.Err()
	}
}

// stopAccepting closes the listener and makes every connection refuse further calls.
func (s *Server) stopAccepting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	if s.listener != nil {
		s.listener.Close()
	}
	for codec := range s.conns {
		codec.drain()
	}
}

// Close stops the server at once. Calls in flight continue, but their answers are
// lost.
func (s *Server) Close() {
	s.stopAccepting()
	s.mu.Lock()
	defer s.mu.Unlock()
	for codec := range s.conns {
		codec.Close()
	}
}

// admit takes a call slot of the method's service and returns the function that
// releases it. If there is no free slot, it returns the method that refuses the call.
func (s *Server) admit(method string) (release func(), refusal string) {
	name, _, _ := strings.Cut(method, ".")
	slots, ok := s.slots[name]
	if !ok {
		return func() {}, "" // net/rpc answers that there is no such service
	}
	select {
	case slots <- struct{}{}:
		return func() { <-slots }, ""
	default:
		s.vars.Add(varBusy, 1)
		return func() {}, methodBusy
	}
}

// Methods that are called in place of the method of a refused call.
const (
	refusalService = "PeerRefusal"
	methodBusy     = refusalService + ".Busy"
	methodDraining = refusalService + ".Draining"
)

// Error texts of refusals, which a client converts to ErrNotSent.
const (
	refusalPrefix = "peer: refused: "
	textBusy      = refusalPrefix + "busy"
	textDraining  = refusalPrefix + "draining"
)

// refusals is the service with the methods that refuse calls.
type refusals struct{}

// Ignored is the type of the argument and of the reply of a refused call. The argument
// is not decoded.
type Ignored struct{}

// Busy refuses a call because too many calls are running.
func (refusals) Busy(Ignored, *Ignored) error { return errors.New(textBusy) }

// Draining refuses a call because the server is stopping.
func (refusals) Draining(Ignored, *Ignored) error { return errors.New(textDraining) }
