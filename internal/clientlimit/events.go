package clientlimit

import (
	"time"

	"github.com/sirupsen/logrus"
)

// reason is why a connection or a request was dropped. It is the name of its counter.
type reason string

const (
	reasonIdle       reason = "idle_connections"    // closed between two requests
	reasonIncomplete reason = "incomplete_requests" // dropped because others need the connection
	reasonUnread     reason = "unread_answers"      // closed while an answer was being written
	reasonMemory     reason = "large_requests"      // dropped because others need the memory
	reasonStopping   reason = "late_requests"       // dropped because the server stops
	reasonRefused    reason = "refused_connections" // closed at once, since all others were being answered
)

// quietInterval is the time without dropped connections and requests after which that is logged.
const quietInterval = 5 * time.Second

// eventLog logs the first event of a series and the end of the series. Limiter.mu guards it.
type eventLog struct {
	log      logrus.FieldLogger
	inSeries bool
	last     time.Time
	counts   map[reason]int // in the series
}

// count counts a dropped connection or request. l.mu is held.
func (l *Limiter) count(why reason) {
	l.counters.Add(string(why), 1)
	e := &l.events
	e.last = time.Now()
	if e.inSeries {
		e.counts[why]++
		return
	}
	e.inSeries, e.counts = true, map[reason]int{why: 1}
	e.log.WithFields(logrus.Fields{
		"reason": why, "connections": l.open, "max_connections": l.limits.Connections,
		"request_bytes": l.requestBytes, "max_request_bytes": l.limits.RequestBytes,
	}).Warn("clients' connections or requests are dropped to make room for others")
	time.AfterFunc(quietInterval, l.endSeries)
}

// endSeries logs the end of a series of events once none has come for a while.
func (l *Limiter) endSeries() {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := &l.events
	if quiet := time.Since(e.last); quiet < quietInterval {
		time.AfterFunc(quietInterval-quiet, l.endSeries)
		return
	}
	e.inSeries = false
	fields := logrus.Fields{"connections": l.open}
	for why, n := range e.counts {
		fields[string(why)] = n
	}
	e.log.WithFields(fields).Info("clients' connections and requests are no longer dropped")
}
