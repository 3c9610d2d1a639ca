// Package traffic counts the bytes that a process sends and receives, by what
// they are for: on a thin link, which kind of call fills it decides what can be
// done about it.
package traffic

import (
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Kind names what bytes are for.
type Kind string

// Kinds that the process itself names; calls between processes count under the
// names of their methods.
const (
	Appends       Kind = "store_append"
	Reads         Kind = "store_read"
	NewestRecords Kind = "store_newest"
	Starts        Kind = "executor_start"
	Stops         Kind = "executor_stop"
	Holds         Kind = "executor_hold"
	Advice        Kind = "advice"
	Clients       Kind = "clients"
	Readiness     Kind = "readiness"
)

// Usage is what one kind of traffic has taken.
type Usage struct {
	Calls int64 `json:"calls"`     // connections, where a kind counts whole connections
	Out   int64 `json:"bytes_out"` // sent
	In    int64 `json:"bytes_in"`  // received
}

// Sub returns the usage since an earlier one.
func (u Usage) Sub(before Usage) Usage {
	return Usage{Calls: u.Calls - before.Calls, Out: u.Out - before.Out, In: u.In - before.In}
}

// Bytes returns the bytes of both directions.
func (u Usage) Bytes() int64 { return u.Out + u.In }

// counter is the usage of one kind.
type counter struct{ calls, out, in atomic.Int64 }

// Account holds the counts of one process. The zero value counts; a nil one
// counts nothing. Its methods may be called from any goroutine.
type Account struct {
	kinds sync.Map // Kind to *counter
}

func (a *Account) counter(k Kind) *counter {
	if c, ok := a.kinds.Load(k); ok {
		return c.(*counter)
	}
	c, _ := a.kinds.LoadOrStore(k, &counter{})
	return c.(*counter)
}

// Add counts a call of a kind with the bytes that it sent and received.
func (a *Account) Add(k Kind, out, in int64) {
	if a == nil {
		return
	}
	c := a.counter(k)
	c.calls.Add(1)
	c.out.Add(out)
	c.in.Add(in)
}

// AddAnswer counts the bytes of the answer to a call that was counted before.
func (a *Account) AddAnswer(k Kind, out, in int64) {
	if a == nil {
		return
	}
	c := a.counter(k)
	c.out.Add(out)
	c.in.Add(in)
}

// Snapshot returns the usage of each kind so far.
func (a *Account) Snapshot() map[Kind]Usage {
	now := make(map[Kind]Usage)
	if a == nil {
		return now
	}
	a.kinds.Range(func(k, v any) bool {
		c := v.(*counter)
		now[k.(Kind)] = Usage{Calls: c.calls.Load(), Out: c.out.Load(), In: c.in.Load()}
		return true
	})
	return now
}

// Since returns the usage of each kind since an earlier snapshot, without kinds
// that took nothing, and the sum of all.
func (a *Account) Since(before map[Kind]Usage) (map[Kind]Usage, Usage) {
	grown := make(map[Kind]Usage)
	var total Usage
	for k, u := range a.Snapshot() {
		d := u.Sub(before[k])
		if d == (Usage{}) {
			continue
		}
		grown[k] = d
		total.Calls += d.Calls
		total.Out += d.Out
		total.In += d.In
	}
	return grown, total
}

// String returns all usages as JSON; Account is an expvar.Var.
func (a *Account) String() string {
	text, err := json.Marshal(a.Snapshot())
	if err != nil { // a map of numbers can always be encoded
		return "{}"
	}
	return string(text)
}

// FormatLine returns usages as one field of a line of the log: kind, calls, bytes out
// and in, the largest first.
func FormatLine(usages map[Kind]Usage) string {
	kinds := make([]Kind, 0, len(usages))
	for k := range usages {
		kinds = append(kinds, k)
	}
	slices.SortFunc(kinds, func(a, b Kind) int {
		if d := usages[b].Bytes() - usages[a].Bytes(); d != 0 {
			return int(d)
		}
		return strings.Compare(string(a), string(b))
	})
	var text strings.Builder
	for i, k := range kinds {
		if i > 0 {
			text.WriteByte(' ')
		}
		u := usages[k]
		fmt.Fprintf(&text, "%s:%d:%d:%d", k, u.Calls, u.Out, u.In)
	}
	return text.String()
}

// Listener counts the bytes of all connections that it accepts as one kind.
func (a *Account) Listener(l net.Listener, k Kind) net.Listener {
	return &listener{Listener: l, counter: a.counter(k)}
}

type listener struct {
	net.Listener
	counter *counter
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.counter.calls.Add(1)
	return &countedConn{Conn: conn, to: l.counter}, nil
}

type countedConn struct {
	net.Conn
	to *counter
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.to.in.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.to.out.Add(int64(n))
	return n, err
}

// CloseWrite has the other side read what was sent before the connection ends.
func (c *countedConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Meter is a connection that carries one call at a time and counts its bytes, so
// that a call's share is the difference between two readings.
type Meter struct {
	net.Conn
	out, in atomic.Int64
	arrived atomic.Int64 // when bytes last came, in nanoseconds since 1970
}

// Read implements net.Conn.
func (m *Meter) Read(p []byte) (int, error) {
	n, err := m.Conn.Read(p)
	if n > 0 {
		m.in.Add(int64(n))
		m.arrived.Store(time.Now().UnixNano())
	}
	return n, err
}

// SinceLastRead returns for how long no bytes have come.
func (m *Meter) SinceLastRead(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - m.arrived.Load())
}

// Write implements net.Conn.
func (m *Meter) Write(p []byte) (int, error) {
	n, err := m.Conn.Write(p)
	m.out.Add(int64(n))
	return n, err
}

// Totals returns the bytes sent and received so far.
func (m *Meter) Totals() (out, in int64) { return m.out.Load(), m.in.Load() }
