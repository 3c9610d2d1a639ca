// Package plan makes the scheduling decisions for one cell: which task starts on which
// executor, which calls go to the advice service, which runs are stopped, and how the
// reports of executors are interpreted. It holds the state of the cell and uses no clock,
// sockets or goroutines: times, records and reports are passed in, and decisions are
// returned.
//
// A planned start becomes durable before it is sent, so that a successor of the leader
// knows of every run that may exist. An allocation holds the capacity of a run on its
// executor until the run is certainly over.
package plan

import (
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// Config holds the limits and intervals of planning.
type Config struct {
	// Epoch is the epoch of the leader. Its fencing tokens are derived from it.
	Epoch api.Epoch
	// Lease is how long the runs on an executor continue after the last renewal that
	// reached it. A longer lease saves work when a data centre is cut off, a shorter one
	// lets lost work start again earlier.
	Lease time.Duration
	// ClockDrift is the fraction by which an executor's clock may be slow.
	ClockDrift float64
	// StartValidity is the time on the executor's clock after which a start order is void.
	// It bounds how long an order without an answer holds capacity.
	StartValidity time.Duration
	// MaxLease is the longest lease that an executor grants, whatever it is asked for.
	MaxLease time.Duration
	// MaxOrderDelay is how long after it was sent an unconfirmed order may be carried out.
	MaxOrderDelay time.Duration
	// FormerLeaderRenewal is how long after a takeover the former leader may have extended
	// leases (leader.Timing.LeaseRenewalWindow).
	FormerLeaderRenewal time.Duration
	// MaxReportAge is the age of an executor's last report above which it is given no new
	// work. A report comes at least every hold wait (1 s).
	MaxReportAge time.Duration
	// TicketMargin is subtracted from the validity of a ticket, to cover the time that a
	// start takes to reach the executor.
	TicketMargin time.Duration
	// DrainMargin is how long after an executor was read as leaving it may still be sent
	// starts that were planned before.
	DrainMargin time.Duration
	// StopRetryInterval is the time after which a stop that had no effect is sent again.
	StopRetryInterval time.Duration
	// FailureStreak is how many different jobs must have a task fail in a row on an
	// executor before the executor is avoided. It then gets one task at a time, after
	// MinAvoidTime at first and after twice as long with each further failure, up to
	// MaxAvoidTime, until a task ends there as done. Few tasks fail for reasons of their
	// own, so failures of two jobs in a row are rare.
	FailureStreak int
	MinAvoidTime  time.Duration
	MaxAvoidTime  time.Duration
	// MaxTrialTime is the time without a failure after which such an executor is no longer
	// on trial, since there may be no task to try it with.
	MaxTrialTime time.Duration
	// UnhealthyAvoidTime is how long an executor is avoided after it refused a start
	// because it is unhealthy.
	UnhealthyAvoidTime time.Duration
	// RemoteFactor is the slowdown of a task that runs away from its data. It is also the
	// weight of remote data in the choice of an executor (place.go).
	RemoteFactor float64
	// MaxExecutorsPerCall is how many executors one advice call may name.
	MaxExecutorsPerCall int
	// MaxRecordBytes is the largest record of a job's progress that the store takes, in bytes; 0: unknown.
	MaxRecordBytes int
	// Overload says that clients compete for too little capacity at times. Jobs are then accepted
	// by a forecast of their end.
	Overload bool
}

// maxOrderDuration returns how long an order may keep a run going on an executor that can't
// be reached.
func (c *Config) maxOrderDuration() time.Duration {
	return time.Duration(float64(c.Lease+c.StartValidity) / (1 - c.ClockDrift))
}

// maxLeaseDuration returns after which time on the leader's clock the longest lease that
// begins now has expired.
func (c *Config) maxLeaseDuration() time.Duration {
	return time.Duration(float64(c.MaxLease) / (1 - c.ClockDrift))
}

// DefaultConfig returns the default configuration, without the values that the platform's
// settings override.
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
	}
}
