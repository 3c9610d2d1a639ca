// Package traffic counts the bytes that a process sends and receives, by kind of
// call. On a slow link, the counts show which kind of call uses up its capacity, which
// decides how to reduce the load.
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

// Kind is the kind of call or connection for which bytes are counted.
type Kind string

// Predefined kinds. Calls between processes are counted under the names of their
// methods.
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

// Usage is the number of calls and bytes of one kind.
type Usage struct {
	Calls int64 `json:"calls"`     // connections for kinds that count whole connections
	Out   int64 `json:"bytes_out"` // sent
	In    int64 `json:"bytes_in"`  // received
}

// Sub returns the difference to an earlier usage.
func (u Usage) Sub(before Usage) Usage {
	return Usage{Calls: u.Calls - before.Calls, Out: u.Out - before.Out, In: u.In - before.In}
}

// Bytes returns the sum of both directions.
func (u Usage) Bytes() int64 { return u.Out + u.In }

// counter counts the usage of one kind.
type counter struct{ calls, out, in atomic.Int64 }

// Account holds the counts of one process. The zero value is ready to use, and a nil
// Account counts nothing. Its methods are safe for concurrent use.
type Account struct {
	kinds sync.Map // Kind to *counter
}

// counter returns the counter of a kind and creates it if necessary.
func (a *Account) counter(k Kind) *counter {
	if c, ok := a.kinds.Load(k); ok {
		return c.(*counter)
	}
	c, _ := a.kinds.LoadOrStore(k, &counter{})
	return c.(*counter)
}

// Add counts a call of a kind with the bytes that were sent and received.
func (a *Account) Add(k Kind, out, in int64) {
	if a == nil {
		return
	}
	c := a.counter(k)
	c.calls.Add(1)
	c.out.Add(out)
	c.in.Add(in)
}

// AddAnswer counts the bytes of the answer to a call that is already counted.
func (a *Account) AddAnswer(k Kind, out, in int64) {
	if a == nil {
		return
	}
	c := a.counter(k)
	c.out.Add(out)
	c.in.Add(in)
}

// Snapshot returns the current usage of each kind.
func (a *Account) Snapshot() map[Kind]Usage {
	usages := make(map[Kind]Usage)
	if a == nil {
		return usages
	}
	a.kinds.Range(func(k, v any) bool {
		c := v.(*counter)
		usages[k.(Kind)] = Usage{Calls: c.calls.Load(), Out: c.out.Load(), In: c.in.Load()}
		return true
	})
	return usages
}

// Since returns the usage of each kind since an earlier snapshot, without kinds whose
// usage has not changed, and the total.
func (a *Account) Since(before map[Kind]Usage) (map[Kind]Usage, Usage) {
	changed := make(map[Kind]Usage)
	var total Usage
	for k, u := range a.Snapshot() {
		d := u.Sub(before[k])
		if d == (Usage{}) {
			continue
		}
		changed[k] = d
		total.Calls += d.Calls
		total.Out += d.Out
		total.In += d.In
	}
	return changed, total
}

// String returns all usages as JSON. It implements expvar.Var.
func (a *Account) String() string {
	text, err := json.Marshal(a.Snapshot())
	if err != nil { // does not happen for a map of numbers
		return "{}"
	}
	return string(text)
}

// FormatLine returns usages as the value of one log field. Each kind is written as
// kind:calls:bytes_out:bytes_in, ordered by the number of bytes, largest first.
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

// Listener returns a listener that counts the bytes of all accepted connections as one
// kind.
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
	return &countedConn{Conn: conn, usage: l.counter}, nil
}

type countedConn struct {
	net.Conn
	usage *counter
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.usage.in.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.usage.out.Add(int64(n))
	return n, err
}

// CloseWrite closes the writing side of the connection if that is supported, so that the
// peer can read what was sent before the connection is closed.
func (c *countedConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Meter counts the bytes of a connection that carries one call at a time. The bytes of a
// call are the difference between the totals after and before it.
type Meter struct {
	net.Conn
	out, in       atomic.Int64
	lastReadNanos atomic.Int64 // when bytes were last received, in Unix nanoseconds
}

// Read implements net.Conn.
func (m *Meter) Read(p []byte) (int, error) {
	n, err := m.Conn.Read(p)
	if n > 0 {
		m.in.Add(int64(n))
		m.lastReadNanos.Store(time.Now().UnixNano())
	}
	return n, err
}

// SinceLastRead returns the time since bytes were last received.
func (m *Meter) SinceLastRead(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - m.lastReadNanos.Load())
}

// Write implements net.Conn.
func (m *Meter) Write(p []byte) (int, error) {
	n, err := m.Conn.Write(p)
	m.out.Add(int64(n))
	return n, err
}

// Totals returns the numbers of bytes sent and received so far.
func (m *Meter) Totals() (out, in int64) { return m.out.Load(), m.in.Load() }
