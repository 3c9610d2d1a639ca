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

// maxConsecutiveTimeouts is the number of consecutive calls that may time out on a
// connection before it is not used for further ones.
const maxConsecutiveTimeouts = 3

// Names of the counters in Client.Vars.
const (
	varDials        = "dials"
	varDialFailures = "dial_failures"
	varNotSent      = "calls_not_sent"
	varUncertain    = "calls_uncertain"
)

// Dialer opens a connection to a peer.
type Dialer func(ctx context.Context, addr string) (net.Conn, error)

// Client calls peers. It keeps one connection to each address. Calls of different
// sizes, such as heartbeats and forwarded requests, should use separate clients.
type Client struct {
	limits Limits
	dial   Dialer
	vars   *expvar.Map
	// traffic counts the bytes of calls by method; nil: not counted. Set by CountTraffic.
	traffic *traffic.Account

	mu     sync.Mutex
	conns  map[string]*clientConn
	closed bool
}

// errClosed is the error of calls on a closed client.
var errClosed = errors.New("client closed")

// NewClient returns a client. Zero limits take their defaults. If dial is nil, the
// client uses TCP.
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

// CountTraffic counts the bytes of calls in a, by method. It must not be called after
// Call.
func (c *Client) CountTraffic(a *traffic.Account) { c.traffic = a }

func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}

// Vars returns the client's counters.
func (c *Client) Vars() *expvar.Map { return c.vars }

// Call calls method at addr once and decodes the answer into reply. It returns at the
// end of ctx or after Limits.Call, whichever comes first. Its errors wrap ErrNotSent,
// ErrUncertain or *RemoteError.
func (c *Client) Call(ctx context.Context, addr, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, c.limits.Call)
	defer cancel()
	conn, err := c.connect(ctx, addr)
	if err != nil {
		c.vars.Add(varNotSent, 1)
		return fmt.Errorf("%w: %s %s: %w", ErrNotSent, addr, method, err)
	}
	defer c.releaseConn(conn)
	err = conn.call(ctx, method, args, reply)
	c.countFailure(err)
	return err
}

// countFailure counts err by its kind.
func (c *Client) countFailure(err error) {
	switch {
	case errors.Is(err, ErrNotSent):
		c.vars.Add(varNotSent, 1)
	case errors.Is(err, ErrUncertain):
		c.vars.Add(varUncertain, 1)
	}
}

// Close closes every connection. Calls in flight fail with ErrUncertain, and later
// calls with ErrNotSent.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for addr, conn := range c.conns {
		conn.rpc.Close()
		delete(c.conns, addr)
	}
}

// connect returns a connection to addr that is acquired for one call. It dials if there
// is no usable one.
func (c *Client) connect(ctx context.Context, addr string) (*clientConn, error) {
	if conn := c.acquireConn(addr); conn != nil {
		return conn, nil
	}
	c.vars.Add(varDials, 1)
	dialCtx, cancel := context.WithTimeout(ctx, c.limits.Dial)
	defer cancel()
	raw, err := c.dial(dialCtx, addr)
	if err != nil {
		c.vars.Add(varDialFailures, 1)
		return nil, err
	}
	return c.addConn(raw, addr)
}

// acquireConn returns the open connection to addr for one more call, or nil if there is
// no usable one.
func (c *Client) acquireConn(addr string) *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn := c.conns[addr]
	if conn == nil {
		return nil
	}
	if !conn.usable(time.Now(), c.limits.Idle/2) {
		c.retireConn(conn)
		return nil
	}
	conn.calls++
	return conn
}

// addConn makes raw the connection to addr. If two calls have dialled at the same time,
// the later connection is kept and the earlier one is retired.
func (c *Client) addConn(raw net.Conn, addr string) (*clientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		raw.Close()
		return nil, errClosed
	}
	if previous := c.conns[addr]; previous != nil {
		c.retireConn(previous)
	}
	conn := newClientConn(raw, addr, c.limits, c.vars, c.traffic)
	c.conns[addr] = conn
	conn.calls++
	return conn, nil
}

// retireConn removes conn from the client. The connection is closed when its calls have
// ended. c.mu is held.
func (c *Client) retireConn(conn *clientConn) {
	if c.conns[conn.addr] == conn {
		delete(c.conns, conn.addr)
	}
	conn.retired = true
	if conn.calls == 0 {
		conn.rpc.Close()
	}
}

// releaseConn records that one call on conn has ended.
func (c *Client) releaseConn(conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.calls--
	conn.lastUsed = time.Now()
	if conn.retired && conn.calls == 0 {
		conn.rpc.Close()
	}
}

// clientConn is one connection. Client.mu guards calls, lastUsed and retired.
type clientConn struct {
	addr  string
	rpc   *rpc.Client
	codec *clientCodec

	calls    int // in progress
	lastUsed time.Time
	retired  bool
}

func newClientConn(raw net.Conn, addr string, limits Limits, vars *expvar.Map, account *traffic.Account) *clientConn {
	codec := newClientCodec(raw, limits, vars)
	codec.traffic = account
	return &clientConn{
		addr:     addr,
		rpc:      rpc.NewClientWithCodec(codec),
		codec:    codec,
		lastUsed: time.Now(),
	}
}

// usable reports whether conn may be used for another call. A connection without calls
// is usable for the idle time after its last use.
func (conn *clientConn) usable(now time.Time, idle time.Duration) bool {
	if conn.codec.broken.Load() || conn.codec.consecutiveTimeouts.Load() >= maxConsecutiveTimeouts {
		return false
	}
	return conn.calls > 0 || now.Sub(conn.lastUsed) < idle
}

// call sends one call and waits for its answer or the end of ctx.
func (conn *clientConn) call(ctx context.Context, method string, args, reply any) error {
	out := &outgoingCall{ctx: ctx, args: args}
	in := &incomingAnswer{}
	pending := conn.rpc.Go(method, out, in, make(chan *rpc.Call, 1))
	select {
	case <-pending.Done:
	case <-ctx.Done():
		select {
		case <-pending.Done:
		default:
			conn.codec.consecutiveTimeouts.Add(1)
			return fmt.Errorf("%w: %s %s: %w", ErrUncertain, conn.addr, method, ctx.Err())
		}
	}
	if pending.Error != nil {
		return conn.callError(method, out, pending.Error)
	}
	if err := decodeBody(in.body, reply); err != nil {
		return fmt.Errorf("%w: %s %s: %w", ErrUncertain, conn.addr, method, err)
	}
	return nil
}

// callError converts the error with which net/rpc ended a call.
func (conn *clientConn) callError(method string, out *outgoingCall, err error) error {
	var remote rpc.ServerError
	switch {
	case errors.As(err, &remote):
		return remoteError(conn.addr, method, string(remote))
	case !out.written.Load():
		return fmt.Errorf("%w: %s %s: %w", ErrNotSent, conn.addr, method, err)
	default:
		return fmt.Errorf("%w: %s %s: %w", ErrUncertain, conn.addr, method, err)
	}
}

// remoteError converts an error text that the peer has sent.
func remoteError(addr, method, text string) error {
	switch {
	case strings.HasPrefix(text, refusalPrefix), strings.HasPrefix(text, textNoMethod):
		return fmt.Errorf("%w: %s %s: %s", ErrNotSent, addr, method, text)
	case text == textAnswerTooLarge:
		return fmt.Errorf("%w: %s %s: %w", ErrUncertain, addr, method, ErrTooLarge)
	default:
		return &RemoteError{Method: method, Text: text}
	}
}

// textNoMethod is the prefix of net/rpc's answer to a call of an unknown method.
const textNoMethod = "rpc: can't find "
