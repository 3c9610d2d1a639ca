package clientlimit

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrBodyTooLarge means that a body is larger than its limit.
var ErrBodyTooLarge = errors.New("the body is too large")

// ConnState implements http.Server.ConnState.
func (l *Limiter) ConnState(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok || state != http.StateIdle {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c.isIdle.Store(true)
	l.move(c, &l.idle, time.Now())
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// ConnContext implements http.Server.ConnContext.
func (l *Limiter) ConnContext(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

// connOf returns the connection of a request, or nil if it doesn't count for a limiter.
func connOf(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}

// Handler returns a handler that passes requests on to next. While next answers a request, its connection isn't
// evicted, except during WhileReceiving.
func (l *Limiter) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r)
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		began, isLast := l.beginAnswer(c)
		if isLast {
			w.Header().Set("Connection", "close")
		}
		body := &trackedBody{ReadCloser: r.Body}
		if r.Body != nil && r.Body != http.NoBody {
			r.Body = body
		} else {
			body.ended = true
		}
		defer func() {
			if c.body != nil {
				freeBuffer(c.body)
				c.body = nil
			}
			l.endAnswer(c, began, body.ended)
		}()
		next.ServeHTTP(w, r)
	})
}

// trackedBody records the end of a body.
type trackedBody struct {
	io.ReadCloser
	ended bool
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.ended = true
	}
	return n, err
}

// beginAnswer protects a connection from eviction. It returns since when its request is being received, and whether the
// connection must end with the answer, because others wait for it and it has been open for long enough.
func (l *Limiter) beginAnswer(c *conn) (began time.Time, isLast bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	began = c.since
	isLast = l.open-l.evicting >= l.limits.Connections && time.Since(c.accepted) >= minAge
	c.isIdle.Store(false) // the whole header may have come with the request before it
	l.move(c, nil, began)
	return began, isLast
}

// endAnswer releases what a request holds. If the rest of its body hasn't arrived, its connection may be
// evicted again.
func (l *Limiter) endAnswer(c *conn, began time.Time, bodyEnded bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.release(c)
	if !bodyEnded {
		l.move(c, &l.receiving, began)
	}
}

// ReadBody reads the body of a request, of at most limit bytes. It takes memory as bytes arrive. It fails with
// ErrBodyTooLarge, with ErrOverloaded, or with the error of the connection. The body is valid until the handler
// returns.
func ReadBody(r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, ErrBodyTooLarge
	}
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	c := connOf(r)
	if c == nil {
		return ReadGrowing(r, smallBodyBytes, limit, func(int64) error { return nil })
	}
	return WhileReceiving(r, func() ([]byte, error) {
		defer func() {
			c.isLarge.Store(false)
			c.releaseTurn()
		}()
		body, err := ReadGrowing(r, smallBodyBytes, limit, func(bytes int64) error {
			c.isLarge.Store(true)
			return c.limiter.reserve(c, bytes)
		})
		c.body = body
		return body, err
	})
}

// WhileReceiving calls read, which must read the body of r. Meanwhile the connection of r may be evicted, and read
// then fails; the error is ErrOverloaded in that case.
func WhileReceiving(r *http.Request, read func() ([]byte, error)) ([]byte, error) {
	c := connOf(r)
	if c == nil {
		return read()
	}
	l := c.limiter
	l.mu.Lock()
	l.move(c, &l.receiving, c.since)
	l.mu.Unlock()
	body, err := read()
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil && c.evicted {
		return nil, ErrOverloaded
	}
	l.move(c, nil, c.since)
	return body, err
}

// Decode calls decode for the body of a request that ReadBody has returned. Large bodies are decoded in turn.
func Decode(r *http.Request, body []byte, decode func() error) error {
	if c := connOf(r); c != nil && len(body) > smallBodyBytes {
		c.awaitTurn()
		defer c.releaseTurn()
	}
	return decode()
}

// ReadGrowing reads a body of at most limit bytes into a buffer that grows with it. It calls reserve with the number of
// further bytes before the buffer grows beyond first bytes, and returns its error. It fails with ErrBodyTooLarge if
// the body is larger.
func ReadGrowing(r *http.Request, first, limit int64, reserve func(bytes int64) error) ([]byte, error) {
	most := limit
	if r.ContentLength >= 0 {
		most = min(limit, r.ContentLength)
	}
	buf := newBuffer(max(1, min(most, first)))
	var end [1]byte // for the end of a body that fills its buffer
	for {
		free := buf[len(buf):cap(buf)]
		switch {
		case len(free) > 0:
		case int64(len(buf)) >= most:
			free = end[:]
		default:
			if err := reserve(int64(cap(buf))); err != nil {
				freeBuffer(buf)
				return nil, err
			}
			larger := append(newBuffer(2*int64(cap(buf))), buf...)
			freeBuffer(buf)
			buf = larger
			continue
		}
		n, err := r.Body.Read(free)
		if int64(len(buf)+n) > limit {
			err = ErrBodyTooLarge
		} else {
			buf = buf[:min(len(buf)+n, cap(buf))]
		}
		switch {
		case errors.Is(err, io.EOF):
			return buf, nil
		case err != nil:
			freeBuffer(buf)
			return nil, err
		}
	}
}
