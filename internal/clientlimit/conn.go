package clientlimit

import (
	"bytes"
	"container/list"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// writeTimeout bounds each write of an answer.
const writeTimeout = 5 * time.Second

// expiredDeadline is a deadline in the past.
var expiredDeadline = time.Unix(1, 0)

// conn is a connection of a client.
type conn struct {
	net.Conn
	limiter  *Limiter
	accepted time.Time
	isIdle   atomic.Bool // no byte of a further request has been read
	closed   sync.Once
	header   headerCount // used by Read
	body     []byte      // of the request that is being answered; used by its handler
	isLarge  atomic.Bool // the body that is being read is larger than smallBodyBytes
	hasTurn  atomic.Bool

	// Guarded by Limiter.mu.
	in      *connList // nil while a request is being answered
	element *list.Element
	since   time.Time // since when it is in the list; of a request: since when it is being received
	held    int64     // bytes reserved by the request
	evicted bool
	removed bool          // the connection was closed and doesn't count any more
	gone    chan struct{} // closed when the connection is evicted

	deadline     sync.Mutex
	readsExpired bool // guarded by deadline
}

// Read implements net.Conn. What has been read of a large body is decoded until the next Read, in turn with
// other large bodies.
func (c *conn) Read(p []byte) (int, error) {
	if c.isLarge.Load() { // the server also reads while a request is being decoded
		c.releaseTurn()
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if c.isLarge.Load() && !c.awaitTurn() {
		return 0, os.ErrDeadlineExceeded // as for further reads of an evicted connection
	}
	if c.isIdle.Swap(false) {
		c.header = headerCount{}
		l := c.limiter
		l.mu.Lock()
		l.move(c, &l.receiving, time.Now())
		l.mu.Unlock()
	}
	if fields := c.header.add(p[:n]); fields > 0 {
		if c.limiter.reserve(c, int64(fields)*headerFieldBytes) != nil {
			return n, os.ErrDeadlineExceeded
		}
	}
	return n, err
}

// headerCount counts the fields of a request's header while it is being read.
type headerCount struct {
	fields    int
	lineBytes int  // of the line that has not ended
	ended     bool // the empty line after the header was read
}

// add counts the fields in the next bytes of a request and returns the number of those beyond
// freeHeaderFields.
func (h *headerCount) add(p []byte) int {
	before := h.fields
	for !h.ended {
		line, rest, found := bytes.Cut(p, []byte{'\n'})
		h.lineBytes += len(bytes.TrimSuffix(line, []byte{'\r'}))
		if !found {
			break
		}
		h.ended = h.lineBytes == 0 && h.fields > 0
		h.fields++
		h.lineBytes = 0
		p = rest
	}
	return max(h.fields-freeHeaderFields, 0) - max(before-freeHeaderFields, 0)
}

// Write implements net.Conn. It fails if the client takes nothing for too long.
func (c *conn) Write(p []byte) (int, error) {
	l, now := c.limiter, time.Now()
	if err := c.SetWriteDeadline(now.Add(writeTimeout)); err != nil {
		return 0, err
	}
	l.mu.Lock()
	list, since := c.in, c.since
	l.move(c, &l.sending, now)
	l.mu.Unlock()
	n, err := c.Conn.Write(p)
	l.mu.Lock()
	if c.in == &l.sending {
		l.move(c, nil, time.Time{})
		if list != nil {
			l.move(c, list, since)
		}
	}
	l.mu.Unlock()
	return n, err
}

// awaitTurn waits until this connection may use the processor for a large request. It reports false if the
// connection is evicted before.
func (c *conn) awaitTurn() bool {
	if c.hasTurn.Load() {
		return true
	}
	select {
	case c.limiter.turns <- struct{}{}:
	case <-c.gone:
		return false
	}
	if c.hasTurn.Swap(true) {
		<-c.limiter.turns
	}
	return true
}

// releaseTurn gives the turn to another connection.
func (c *conn) releaseTurn() {
	if c.hasTurn.Swap(false) {
		<-c.limiter.turns
	}
}

// SetReadDeadline implements net.Conn. The deadline of an evicted connection stays expired.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.deadline.Lock()
	defer c.deadline.Unlock()
	if c.readsExpired {
		t = expiredDeadline
	}
	return c.Conn.SetReadDeadline(t)
}

// expireReads makes the pending read and all further ones fail.
func (c *conn) expireReads() {
	c.deadline.Lock()
	defer c.deadline.Unlock()
	c.readsExpired = true
	_ = c.Conn.SetReadDeadline(expiredDeadline) // fails only if the connection is closed
}

// CloseWrite closes the writing side of the connection if that is supported.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closed.Do(func() { c.limiter.remove(c) })
	c.releaseTurn()
	return c.Conn.Close()
}
