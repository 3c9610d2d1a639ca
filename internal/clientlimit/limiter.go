package clientlimit

import (
	"container/list"
	"expvar"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

// ErrOverloaded means that a request was dropped before it had arrived completely, because others need its
// memory or its connection.
var ErrOverloaded = errors.New("the machine has no room for this request")

// Timing of evictions.
const (
	// minAge is how long a connection is kept at least, so that a client has the time to send its request.
	minAge = 250 * time.Millisecond
	// maxAdmissionWait bounds the wait of a new connection for room.
	maxAdmissionWait = 500 * time.Millisecond
	// evictingShare is the share of the connections that may be ending at the same time.
	evictingShare = 0.125
)

// Limiter enforces Limits on the connections of its listeners.
type Limiter struct {
	limits   Limits
	counters *expvar.Map
	events   eventLog
	turns    chan struct{} // one element for each large request that is being decoded

	mu           sync.Mutex
	open         int           // places that are taken, also by connections that are ending
	evicting     int           // connections that were evicted and have not ended
	ended        chan struct{} // receives a value when a connection has ended
	idle         connList      // between two requests
	receiving    connList      // until a request has arrived completely
	sending      connList      // while a write is in progress
	requestBytes int64         // reserved by requests
}

// New returns a limiter that logs to log when it begins and when it ends to drop connections or requests.
func New(limits Limits, log logrus.FieldLogger) *Limiter {
	l := &Limiter{
		limits:   limits,
		counters: new(expvar.Map).Init(),
		turns:    make(chan struct{}, largeTurns()),
		ended:    make(chan struct{}, 1),
	}
	l.events.log = log
	for _, list := range []*connList{&l.idle, &l.receiving, &l.sending} {
		list.Init()
	}
	return l
}

// Vars returns the counters of dropped connections and requests, by reason.
func (l *Limiter) Vars() *expvar.Map { return l.counters }

// connList is a list of connections, ordered by the time since which they are in it.
type connList struct{ list.List }

func (l *connList) oldest() *conn {
	if e := l.Front(); e != nil {
		return e.Value.(*conn)
	}
	return nil
}

// insert puts c behind the connections that are in the list since an earlier time.
func (l *connList) insert(c *conn) *list.Element {
	for e := l.Back(); e != nil; e = e.Prev() {
		if !e.Value.(*conn).since.After(c.since) {
			return l.InsertAfter(c, e)
		}
	}
	return l.PushFront(c)
}

// move puts c into a list, or into none if to is nil. Connections that are ending are in none. l.mu is held.
func (l *Limiter) move(c *conn, to *connList, since time.Time) {
	if c.element != nil {
		c.in.Remove(c.element)
		c.element = nil
	}
	c.in, c.since = to, since
	if to != nil && !c.evicted && !c.removed {
		c.element = to.insert(c)
	}
}

// admit counts a new connection. It waits until there is room for it, or returns nil and closes it if there will be
// none for a while.
func (l *Limiter) admit(nc net.Conn) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.awaitRoom(time.Now()) {
		l.count(reasonRefused)
		_ = nc.Close() // nothing was sent
		return nil
	}
	c := &conn{Conn: nc, limiter: l, accepted: time.Now(), gone: make(chan struct{})}
	l.open++
	l.move(c, &l.receiving, c.accepted)
	return c
}

// awaitRoom makes room for one more connection. It waits while the candidates for eviction are too young or too many
// connections are ending, and reports whether there is room. l.mu is held, but not during the wait.
func (l *Limiter) awaitRoom(start time.Time) bool {
	maxEvicting := 1 + int(evictingShare*float64(l.limits.Connections))
	for {
		now := time.Now()
		wait := maxAdmissionWait - now.Sub(start)
		if l.evicting <= maxEvicting {
			if l.open-l.evicting < l.limits.Connections {
				return true
			}
			victim, why := l.evictionCandidate()
			if victim == nil {
				return false
			}
			age := now.Sub(victim.since)
			if age >= minAge {
				l.evict(victim, why)
				return true
			}
			wait = min(wait, minAge-age)
		}
		if wait <= 0 {
			return false
		}
		l.mu.Unlock()
		select {
		case <-l.ended:
		case <-time.After(wait):
		}
		l.mu.Lock()
	}
}

// evictionCandidate returns the connection whose end costs clients least, or nil if all are being answered: one
// between two requests, or else the one that has been sending a request or has left an answer unread for the longest.
// l.mu is held.
func (l *Limiter) evictionCandidate() (*conn, reason) {
	if c := l.idle.oldest(); c != nil {
		return c, reasonIdle
	}
	receiving, sending := l.receiving.oldest(), l.sending.oldest()
	if sending != nil && (receiving == nil || sending.since.Before(receiving.since)) {
		return sending, reasonUnread
	}
	return receiving, reasonIncomplete
}

// EvictIncomplete drops requests that have been arriving for longer than maxAge, and connections that have sent nothing
// for as long. A server that stops would wait for them.
func (l *Limiter) EvictIncomplete(maxAge time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for c := l.receiving.oldest(); c != nil && now.Sub(c.since) > maxAge; c = l.receiving.oldest() {
		l.evict(c, reasonStopping)
	}
}

// evict ends a connection. A request that is being received is answered by its handler, since its read fails.
// l.mu is held.
func (l *Limiter) evict(c *conn, why reason) {
	l.count(why)
	l.release(c)
	answerable := c.in == &l.receiving
	c.evicted = true
	close(c.gone)
	l.move(c, nil, time.Time{})
	l.evicting++
	if answerable {
		c.expireReads()
	} else {
		_ = c.Conn.Close() // its server closes it again
	}
}

// remove forgets a connection that was closed.
func (l *Limiter) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.removed = true
	l.move(c, nil, time.Time{})
	l.release(c)
	if !c.evicted {
		l.freePlace()
		return
	}
	l.evicting--
	// The place of a request that was dropped early stays taken, so that clients which come again at once don't use up
	// the processor.
	if rest := minAge - time.Since(c.accepted); rest > 0 {
		time.AfterFunc(rest, func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.freePlace()
		})
		return
	}
	l.freePlace()
}

// freePlace lets another connection in. l.mu is held.
func (l *Limiter) freePlace() {
	l.open--
	select {
	case l.ended <- struct{}{}:
	default:
	}
}

// reserve adds bytes to what the request on c holds, which is being received. If requests hold too much
// together, the one that has held the most for the longest is dropped. If that is this one, or if the others
// have arrived, it fails with ErrOverloaded. A request that is alone always gets what it needs.
func (l *Limiter) reserve(c *conn, bytes int64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for !c.evicted && l.requestBytes+bytes > l.limits.RequestBytes && l.requestBytes > c.held {
		largest := l.largestRequest(now)
		if largest == nil {
			largest = c
		}
		l.evict(largest, reasonMemory)
	}
	if c.evicted || c.removed {
		return ErrOverloaded
	}
	c.held += bytes
	l.requestBytes += bytes
	return nil
}

// largestRequest returns the connection whose request has the greatest product of the bytes that it holds and
// the time since it began, among those that have not arrived completely. l.mu is held.
func (l *Limiter) largestRequest(now time.Time) *conn {
	var largest *conn
	var most float64
	for e := l.receiving.Front(); e != nil; e = e.Next() {
		c := e.Value.(*conn)
		if byteSeconds := float64(c.held) * now.Sub(c.since).Seconds(); byteSeconds > most {
			largest, most = c, byteSeconds
		}
	}
	return largest
}

// release returns what the request on c holds. l.mu is held.
func (l *Limiter) release(c *conn) {
	l.requestBytes -= c.held
	c.held = 0
}
