// Package load sends requests to entry VMs at a steady rate and records their
// outcomes, reasons and latencies.
//
// The load is open-loop: requests are sent at their scheduled times whether or
// not earlier ones were answered, and latency is measured from the scheduled
// time. A slow system therefore can't lower its measured latency by slowing down
// the sender. Requests that would exceed the limit on open requests are counted
// as skipped.
package load

import (
	"net/netip"
	"time"

	"github.com/skylarklock/skylarklock/internal/finding"
)

// Limits of a load run: its duration, the rate of all streams together in
// requests per second, and the number of open requests.
const (
	MaxDuration = 5 * time.Minute
	MaxRate     = 50_000
	MaxOpen     = 20_000

	maxBodyBytes = 16 << 20
)

// Stream describes the traffic of one caller.
type Stream struct {
	Caller      string
	Class       string
	Service     string
	Path        string
	Rate        float64 // requests per second
	Idempotent  bool
	BodyBytes   int
	Timeout     time.Duration
	RepeatShare float64 // share of requests sent twice with the same ID, 0 to 1
	Direct      bool    // sent directly to an executor: every complete answer counts as "ran"
}

// Config describes one load run.
type Config struct {
	Entries []string // addresses of the entry VMs' listeners for callers, IP:port; used in round-robin order
	// ReadinessInterval is the time between readiness checks of each entry VM.
	// Requests go only to ready entry VMs, as behind a balancer. With zero there
	// are no checks, and all entry VMs get the same share of the requests.
	ReadinessInterval time.Duration
	Streams           []Stream
	Duration          time.Duration
	MaxOpen           int // maximum number of open requests of all streams together
	Seed              uint64
	IDPrefix          string // distinguishes the request IDs of different runs
}

// Validate returns an error that lists every invalid field of c. The entry VMs
// must have loopback addresses.
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
