// Package plan decides for one cell: which task starts on which executor,
// what the advice service is asked, what is stopped, and what the reports of
// executors mean. It holds the cell's state and neither clock, sockets nor
// goroutines: time, records and reports come in, decisions go out.
//
// A start that is planned here becomes durable before it is sent, so that a
// successor knows of every run that may exist. A claim holds a run's room on
// its executor until the run certainly is over.
package plan

import (
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// Config holds the limits and intervals of planning.
type Config struct {
	// Epoch is the leader's; its fencing tokens follow from it.
	Epoch api.Epoch
	// Lease is how long everything on an executor runs on after the last
	// renewal that reached it. A longer one saves work when a data centre is
	// cut off, a shorter one lets work that is lost start again earlier.
	Lease time.Duration
	// ClockDrift is by how much an executor's clock may be slow.
	ClockDrift float64
	// StartValidity is after what time on the executor's clock a start order is
	// void. It bounds for how long an order without an answer holds room.
	StartValidity time.Duration
	// MaxLease is the most that an executor grants, whatever it is asked for.
	MaxLease time.Duration
	// MaxOrderDelay is for how long after it was sent an order without an answer may be
	// carried out.
	MaxOrderDelay time.Duration
	// FormerLeaderRenewal is how long after a takeover the former leader may have
	// extended leases (leader.Timing.LeaseRenewal).
	FormerLeaderRenewal time.Duration
	// MaxReportAge is the age of an executor's last report above which it is
	// given no new work. A report comes at least every hold wait (1 s).
	MaxReportAge time.Duration
	// TicketMargin is taken off the validity of a ticket, for the way of the
	// start to the executor.
	TicketMargin time.Duration
	// DrainMargin is how long after a leaving executor was read as such it
	// may still receive starts that were planned before.
	DrainMargin time.Duration
	// StopRetryInterval is the time after which a stop that had no effect is sent
	// again.
	StopRetryInterval time.Duration
	// FailureStreak is how many different jobs' tasks must fail in a row on an
	// executor before it is avoided. It then gets one task at a time, after
	// Avoid at first and after twice as long with each further failure, up
	// to AvoidMost, until a task ends there as done. Few tasks fail by themselves,
	// so two jobs' in a row are rare.
	FailureStreak int
	MinAvoidTime  time.Duration
	MaxAvoidTime  time.Duration
	// MaxTrialTime is the time without a failure after which such an executor is no
	// longer on trial: no task may be there to try it.
	MaxTrialTime time.Duration
	// UnhealthyAvoidTime is how long an executor is left alone that refused a start
	// since it isn't well.
	UnhealthyAvoidTime time.Duration
	// RemoteFactor is the slowdown of a task away from its data. It is also
	// what that weighs in the choice of an executor (place.go).
	RemoteFactor float64
	// MaxExecutorsPerCall is how many executors one call for advice may name.
	MaxExecutorsPerCall int
	// MaxReservedGangs is how many gangs without room may hold executors free.
	MaxReservedGangs int
}

// orderLasts returns for how long an order may keep something at work on an executor that
// can't be reached.
func (c *Config) orderLasts() time.Duration {
	return time.Duration(float64(c.Lease+c.StartValidity) / (1 - c.ClockDrift))
}

// longestLease returns by what time the longest lease that begins now is over.
func (c *Config) longestLease() time.Duration {
	return time.Duration(float64(c.MaxLease) / (1 - c.ClockDrift))
}

// DefaultConfig returns the configuration in use, before what the platform's
// settings say.
func DefaultConfig() Config {
	return Config{
		Lease:               4 * time.Second,
		ClockDrift:          0.02,
		StartValidity:       800 * time.Millisecond,
		MaxLease:            10 * time.Second,
		MaxOrderDelay:       12 * time.Second,
		FormerLeaderRenewal: 3 * time.Second,
		MaxReportAge:        1600 * time.Millisecond,
		TicketMargin:        150 * time.Millisecond,
		DrainMargin:         500 * time.Millisecond,
		StopRetryInterval:   400 * time.Millisecond,
		FailureStreak:       2,
		MinAvoidTime:        time.Second,
		MaxAvoidTime:        8 * time.Second,
		MaxTrialTime:        16 * time.Second,
		UnhealthyAvoidTime:  time.Second,
		RemoteFactor:        2,
		MaxExecutorsPerCall: 100,
		MaxReservedGangs:    2,
	}
}
