// Package load sends requests to entry VMs at a steady rate and records what
// came back: outcomes, reasons and the time to each answer.
//
// The schedule is open: a request is due at its time whether or not earlier
// ones were answered, and its latency counts from when it was due, so that a
// slow system can't hide behind fewer requests. Requests that would exceed
// the bound on open requests are counted as skipped.
package load

import (
	"net/netip"
	"time"

	"github.com/skylarklock/skylarklock/internal/finding"
)

// Bounds of a load run.
const (
	MaxDuration = 5 * time.Minute
	MaxRate     = 50_000
	MaxOpen     = 20_000

	maxBodyBytes = 16 << 20
)

// Stream is the traffic of one caller.
type Stream struct {
	Caller      string
	Class       string
	Service     string
	Path        string
	Rate        float64 // requests per second
	Idempotent  bool
	BodyBytes   int
	Timeout     time.Duration
	RepeatShare float64 // share of requests sent a second time with the same id, 0 to 1
	Direct      bool    // straight to an executor: any whole answer counts as ran
}

// Config describes one load run.
type Config struct {
	Entries []string // callers' addresses, IP:port; taken in turn
	// ReadinessInterval is the time between two looks at the readiness of each entry VM,
	// as a balancer takes them; requests go to ready ones only. Zero: none,
	// every entry VM gets its share.
	ReadinessInterval time.Duration
	Streams           []Stream
	Duration          time.Duration
	MaxOpen           int // open requests of all streams together
	Seed              uint64
	IDPrefix          string // keeps the ids of two runs apart
}

// Validate reports every fault of c. Targets must be loopback addresses.
func (c *Config) Validate() error {
	var l finding.List
	l.Check(len(c.Entries) > 0, "entries", nil, "at least one IP:port")
	for _, e := range c.Entries {
		addr, err := netip.ParseAddrPort(e)
		l.Check(err == nil && addr.Addr().IsLoopback(), "entries", e, "a loopback IP:port")
	}
	l.Check(len(c.Streams) > 0, "streams", nil, "at least one")
	total := 0.0
	for _, s := range c.Streams {
		l.Check(s.Rate > 0, "streams.rate", s.Rate, "more than 0")
		l.Check(s.RepeatShare >= 0 && s.RepeatShare <= 1, "streams.repeat", s.RepeatShare, "0 to 1")
		l.Check(s.BodyBytes >= 0 && s.BodyBytes <= maxBodyBytes, "streams.bytes", s.BodyBytes, "0 to 16777216")
		l.Check(s.Timeout > 0, "streams.timeout", s.Timeout, "more than 0")
		l.Check(s.Service != "", "streams.service", nil, "a service name")
		total += s.Rate
	}
	l.Check(total <= MaxRate, "streams.rate", total, "at most 50000 in all")
	l.Check(c.Duration > 0 && c.Duration <= MaxDuration, "duration", c.Duration, "up to 5m")
	l.Check(c.ReadinessInterval >= 0, "check", c.ReadinessInterval, "not negative")
	l.Check(c.MaxOpen > 0 && c.MaxOpen <= MaxOpen, "max_open", c.MaxOpen, "1 to 20000")
	return l.Err()
}
