package leader

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// Timing holds the elector's intervals and timeouts. "Silence" is the time since the
// last sign of life from the leader.
type Timing struct {
	RenewInterval        time.Duration // between two renewals of the leader
	MinTakeoverSilence   time.Duration // minimum silence before another process claims the cell
	TakeoverGaps         int           // number of average renewal gaps that the silence must also exceed
	SuspectedSilence     time.Duration // silence before a claim if the leader's process does not answer calls
	AbandonedSilence     time.Duration // silence before a claim if the leader's process says that it doesn't lead
	ClaimJitter          time.Duration // upper bound of the random delay before a claim
	WatchTimeout         time.Duration // how long a read waits for a new record
	RenewalFreshness     time.Duration // silence up to which the store is not read
	PollInterval         time.Duration // between two checks of RenewalFreshness
	MinAppendTimeout     time.Duration // minimum timeout of an append; it grows with the duration of appends
	MaxAppendTimeout     time.Duration // upper bound of that timeout
	ReadTimeout          time.Duration // of a read, in addition to its wait
	RetryDelay           time.Duration // after a failed call
	UnsuitableClaimDelay time.Duration // additional silence before a machine claims that is not Suitable
	MinTenure            time.Duration // minimum time as leader before leadership is handed to a better machine
	HandoverCooldown     time.Duration // minimum time between two such handovers by one process
	LeaseRenewalWindow   time.Duration // time after the last confirmed renewal in which executors' leases are extended
}

// DefaultTiming returns the default timing. The leader is replaced only after more than
// two lost renewals. While the store is slow, the gaps between renewals grow and with
// them the silence before a takeover. LeaseRenewalWindow plus the duration of a lease
// covers an outage of the store of 7 s. UnsuitableClaimDelay gives better machines time
// to read that the leader is gone (RenewalFreshness) and to claim.
func DefaultTiming() Timing {
	return Timing{
		RenewInterval:        250 * time.Millisecond,
		MinTakeoverSilence:   800 * time.Millisecond,
		TakeoverGaps:         3,
		SuspectedSilence:     400 * time.Millisecond,
		AbandonedSilence:     100 * time.Millisecond,
		ClaimJitter:          60 * time.Millisecond,
		WatchTimeout:         200 * time.Millisecond,
		RenewalFreshness:     600 * time.Millisecond,
		PollInterval:         50 * time.Millisecond,
		MinAppendTimeout:     200 * time.Millisecond,
		MaxAppendTimeout:     600 * time.Millisecond,
		ReadTimeout:          700 * time.Millisecond,
		RetryDelay:           100 * time.Millisecond,
		UnsuitableClaimDelay: 700 * time.Millisecond,
		MinTenure:            time.Second,
		HandoverCooldown:     15 * time.Second,
		LeaseRenewalWindow:   3 * time.Second,
	}
}

// Config holds the dependencies and settings of an Elector.
type Config struct {
	Log       platform.PartitionLog
	Partition platform.Partition
	Self      Leader // without an epoch
	Timing    Timing
	Logger    *logrus.Entry
	// Suitability returns how this machine compares with others as a leader. It is
	// called without the elector's lock: it takes the replica's lock, whose holder
	// may wait for a lock under which the elector is called.
	Suitability func() Suitability
	// OnElected is called when this process has become the leader, OnLost when it
	// no longer is. Neither may block.
	OnElected func(epoch api.Epoch)
	OnLost    func()
	// OnReleased is called when this process has stepped down, so that another process
	// can be invited to claim. It may be nil and must not block.
	OnReleased func(Invitation)
}
