package peer

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"net"
	"net/rpc"
	"strings"
	"sync"
	"time"

	"github.com/skylarklock/skylarklock/internal/traffic"
)

// maxSilent is how many calls in a row may time out on a connection before
// it takes no further ones.
const maxSilent = 3

// Names of the counters in Client.Vars.
const (
	varDials     = "dials"
	varDialFails = "dial_failures"
	varNotSent   = "calls_not_sent"
	varUncertain = "calls_uncertain"
)

// Dialer opens a connection to a peer.
type Dialer func(ctx context.Context, addr string) (net.Conn, error)

// Client calls peers. It keeps one connection to each address. Calls of
// unlike size (heartbeats, requests handed over) belong on separate clients.
type Client struct {
	limits Limits
	dial   Dialer
	vars   *expvar.Map
	// traffic counts calls' bytes by method; nil: nowhere. Set by Count.
	traffic *traffic.Account

	mu     sync.Mutex
	conns  map[string]*clientConn
	closed bool
}

// errClosed ends calls on a closed client.
var errClosed = errors.New("client closed")

// NewClient returns a client. Zero limits take their defaults; a nil dialer
// means TCP.
func NewClient(limits Limits, dial Dialer) *Client {
	if dial == nil {
		dial = dialTCP
	}
	return &Client{
		limits: limits.withDefaults(),
		dial:   dial,
		vars:   new(expvar.Map).Init(),
		conns:  make(map[string]*clientConn),
	}
}

// CountTraffic has calls' bytes counted by method. It must not be called after Call.
func (c *Client) CountTraffic(a *traffic.Account) { c.traffic = a }

func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}

// Vars returns the client's counters.
func (c *Client) Vars() *expvar.Map { return c.vars }

// Call calls method at addr once and decodes its answer into reply. It ends
// with the context or after the limit for calls, whichever comes first. A
// failure wraps ErrNotSent, ErrUncertain or *RemoteError.
func (c *Client) Call(ctx context.Context, addr, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, c.limits.Call)
	defer cancel()
	conn, err := c.connect(ctx, addr)
	if err != nil {
		c.vars.Add(varNotSent, 1)
		return fmt.Errorf("%w: %s %s: %w", ErrNotSent, addr, method, err)
	}
	defer c.leave(conn)
	err = conn.call(ctx, method, args, reply)
	c.count(err)
	return err
}

// count counts the kind of a failure.
func (c *Client) count(err error) {
	switch {
	case errors.Is(err, ErrNotSent):
		c.vars.Add(varNotSent, 1)
	case errors.Is(err, ErrUncertain):
		c.vars.Add(varUncertain, 1)
	}
}

// Close closes every connection; calls in flight end with ErrUncertain and
// later ones with ErrNotSent.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for addr, conn := range c.conns {
		conn.rpc.Close()
		delete(c.conns, addr)
	}
}

// connect returns the usable connection to addr, entered by one more call.
func (c *Client) connect(ctx context.Context, addr string) (*clientConn, error) {
	if conn := c.enter(addr); conn != nil {
		return conn, nil
	}
	c.vars.Add(varDials, 1)
	dialCtx, cancel := context.WithTimeout(ctx, c.limits.Dial)
	defer cancel()
	raw, err := c.dial(dialCtx, addr)
	if err != nil {
		c.vars.Add(varDialFails, 1)
		return nil, err
	}
	return c.keep(raw, addr)
}

// enter returns the kept connection to addr, if it may take another call.
func (c *Client) enter(addr string) *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn := c.conns[addr]
	if conn == nil {
		return nil
	}
	if !conn.usable(time.Now(), c.limits.Idle/2) {
		c.retire(conn)
		return nil
	}
	conn.calls++
	return conn
}

// keep makes raw the connection of addr. When two calls dialled at once the
// later connection stays and the earlier is retired.
func (c *Client) keep(raw net.Conn, addr string) (*clientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		raw.Close()
		return nil, errClosed
	}
	if former := c.conns[addr]; former != nil {
		c.retire(former)
	}
	conn := newClientConn(raw, addr, c.limits, c.vars, c.traffic)
	c.conns[addr] = conn
	conn.calls++
	return conn, nil
}

// retire takes conn out of use; it is closed when its calls have ended.
// c.mu is held.
func (c *Client) retire(conn *clientConn) {
	if c.conns[conn.addr] == conn {
		delete(c.conns, conn.addr)
	}
	conn.retired = true
	if conn.calls == 0 {
		conn.rpc.Close()
	}
}

// leave ends one call on conn.
func (c *Client) leave(conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.calls--
	conn.used = time.Now()
	if conn.retired && conn.calls == 0 {
		conn.rpc.Close()
	}
}

// clientConn is one connection. Fields without a lock of their own are
// guarded by Client.mu.
type clientConn struct {
	addr  string
	rpc   *rpc.Client
	codec *clientCodec

	calls   int
	used    time.Time
	retired bool
}

func newClientConn(raw net.Conn, addr string, limits Limits, vars *expvar.Map, account *traffic.Account) *clientConn {
	codec := newClientCodec(raw, limits, vars)
	codec.traffic = account
	return &clientConn{
		addr:  addr,
		rpc:   rpc.NewClientWithCodec(codec),
		codec: codec,
		used:  time.Now(),
	}
}

// usable reports whether conn may take another call at now.
func (conn *clientConn) usable(now time.Time, idle time.Duration) bool {
	if conn.codec.broken.Load() || conn.codec.silent.Load() >= maxSilent {
		return false
	}
	return conn.calls > 0 || now.Sub(conn.used) < idle
}

// call sends one call and waits for its answer or the end of ctx.
func (conn *clientConn) call(ctx context.Context, method string, args, reply any) error {
	out := &outgoing{ctx: ctx, args: args}
	in := &incoming{}
	pending := conn.rpc.Go(method, out, in, make(chan *rpc.Call, 1))
	select {
	case <-pending.Done:
	case <-ctx.Done():
		select {
		case <-pending.Done:
		default:
			conn.codec.silent.Add(1)
			return fmt.Errorf("%w: %s %s: %w", ErrUncertain, conn.addr, method, ctx.Err())
		}
	}
	if pending.Error != nil {
		return conn.failure(method, out, pending.Error)
	}
	if err := decodeBody(in.body, reply); err != nil {
		return fmt.Errorf("%w: %s %s: %w", ErrUncertain, conn.addr, method, err)
	}
	return nil
}

// failure types the error of a call that net/rpc ended.
func (conn *clientConn) failure(method string, out *outgoing, err error) error {
	var remote rpc.ServerError
	switch {
	case errors.As(err, &remote):
		return remoteFailure(conn.addr, method, string(remote))
	case !out.written:
		return fmt.Errorf("%w: %s %s: %w", ErrNotSent, conn.addr, method, err)
	default:
		return fmt.Errorf("%w: %s %s: %w", ErrUncertain, conn.addr, method, err)
	}
}

// remoteFailure types an error text from the peer.
func remoteFailure(addr, method, text string) error {
	switch {
	case strings.HasPrefix(text, refusalPrefix), strings.HasPrefix(text, textNoMethod):
		return fmt.Errorf("%w: %s %s: %s", ErrNotSent, addr, method, text)
	case text == textAnswerTooLarge:
		return fmt.Errorf("%w: %s %s: %w", ErrUncertain, addr, method, ErrTooLarge)
	default:
		return &RemoteError{Method: method, Text: text}
	}
}

// textNoMethod begins net/rpc's answer to a method that it doesn't know.
const textNoMethod = "rpc: can't find "
