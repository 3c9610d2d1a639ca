package clientlimit

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

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
// evicted.
func (l *Limiter) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r)
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		began := l.beginAnswer(c)
		body := &trackedBody{ReadCloser: r.Body}
		if r.Body != nil && r.Body != http.NoBody {
			r.Body = body
		} else {
			body.ended = true
		}
		defer func() { l.endAnswer(c, began, body.ended) }()
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

// beginAnswer protects a connection from eviction. It returns since when its request is being received.
func (l *Limiter) beginAnswer(c *conn) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	began := c.since
	c.isIdle.Store(false) // the whole header may have come with the request before it
	l.move(c, nil, began)
	return began
}

// endAnswer lets the connection be evicted again if the rest of the request's body hasn't arrived.
func (l *Limiter) endAnswer(c *conn, began time.Time, bodyEnded bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !bodyEnded {
		l.move(c, &l.receiving, began)
	}
}
