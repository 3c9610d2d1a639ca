package leader

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// Timing holds the elector's intervals.
type Timing struct {
	RenewInterval        time.Duration // between two renewals of the leader
	MinTakeoverSilence   time.Duration // least silence after which another process claims
	TakeoverGaps         int           // as many of the usual gaps between renewals are waited for
	SuspectedSilence     time.Duration // the same when the leader's process answers no call
	AbandonedSilence     time.Duration // the same when it says that it doesn't lead
	ClaimJitter          time.Duration // claims of several processes are spread over this time
	WatchTimeout         time.Duration // how long a read waits for a record
	RenewalFreshness     time.Duration // silence up to which the store is not read
	PollInterval         time.Duration // between two looks at that
	MinAppendTimeout     time.Duration // least timeout of an append; it grows with what appends take
	MaxAppendTimeout     time.Duration // up to this
	ReadTimeout          time.Duration // longest read beside its wait
	RetryDelay           time.Duration // pause after a call that failed
	UnsuitableClaimDelay time.Duration // further silence for which a machine waits that others surpass
	MinTenure            time.Duration // least time of leading before it is handed to a machine that surpasses this one
	HandoverCooldown     time.Duration // least time between two such hand-overs by one process
	LeaseRenewalWindow   time.Duration // after the last confirmed renewal, for which executors' leases are extended
}

// DefaultTiming returns the timing in use. Two renewals may be lost before the leader is
// given up. While the store is slow, renewals come at longer gaps, and more silence is
// waited for. The time for which leases are extended covers, with a lease, an outage of
// the store of 7 s. A machine that others surpass leaves these the time to read of the
// end of a leader (Fresh) and claim.
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

// Config is what an Elector works with.
type Config struct {
	Log       platform.PartitionLog
	Partition platform.Partition
	Self      Leader // without an epoch
	Timing    Timing
	Logger    *logrus.Entry
	// Suitability tells how this machine compares with others as a leader. It is
	// called without the elector's lock: it takes that of the replica, whose
	// holder may wait for a lock under which the elector is asked something.
	Suitability func() Suitability
	// OnElected is called when this process has become the leader, Lost when it
	// no longer is. Neither may block.
	OnElected func(epoch api.Epoch)
	OnLost    func()
	// OnReleased is called when this process has stepped down, so that another can be
	// invited; nil: nobody is. It may not block.
	OnReleased func(Invitation)
}
