package leader

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// Timing holds the elector's intervals.
type Timing struct {
	Renew        time.Duration // between two renewals of the leader
	Takeover     time.Duration // least silence after which another process claims
	Gaps         int           // as many of the usual gaps between renewals are waited for
	Suspected    time.Duration // the same when the leader's process answers no call
	Abandoned    time.Duration // the same when it says that it doesn't lead
	Spread       time.Duration // claims of several processes are spread over this time
	Watch        time.Duration // how long a read waits for a record
	Fresh        time.Duration // silence up to which the store is not read
	Look         time.Duration // between two looks at that
	Append       time.Duration // least timeout of an append; it grows with what appends take
	AppendMost   time.Duration // up to this
	Call         time.Duration // longest read beside its wait
	Retry        time.Duration // pause after a call that failed
	Modest       time.Duration // further silence for which a machine waits that others surpass
	Settled      time.Duration // least time of leading before it is handed to a machine that surpasses this one
	Cooling      time.Duration // least time between two such hand-overs by one process
	LeaseRenewal time.Duration // after the last confirmed renewal, for which executors' leases are extended
}

// DefaultTiming returns the timing in use. Two renewals may be lost before the leader is
// given up. While the store is slow, renewals come at longer gaps, and more silence is
// waited for. The time for which leases are extended covers, with a lease, an outage of
// the store of 7 s. A machine that others surpass leaves these the time to read of the
// end of a leader (Fresh) and claim.
func DefaultTiming() Timing {
	return Timing{
		Renew:        250 * time.Millisecond,
		Takeover:     800 * time.Millisecond,
		Gaps:         3,
		Suspected:    400 * time.Millisecond,
		Abandoned:    100 * time.Millisecond,
		Spread:       60 * time.Millisecond,
		Watch:        200 * time.Millisecond,
		Fresh:        600 * time.Millisecond,
		Look:         50 * time.Millisecond,
		Append:       200 * time.Millisecond,
		AppendMost:   600 * time.Millisecond,
		Call:         700 * time.Millisecond,
		Retry:        100 * time.Millisecond,
		Modest:       700 * time.Millisecond,
		Settled:      time.Second,
		Cooling:      15 * time.Second,
		LeaseRenewal: 3 * time.Second,
	}
}

// Config is what an Elector works with.
type Config struct {
	Log       platform.PartitionLog
	Partition platform.Partition
	Self      Leader // without an epoch
	Timing    Timing
	Events    *logrus.Entry
	// Standing tells how this machine compares with others as a leader. It is
	// called without the elector's lock: it takes that of the replica, whose
	// holder may wait for a lock under which the elector is asked something.
	Standing func() Standing
	// Gained is called when this process has become the leader, Lost when it
	// no longer is. Neither may block.
	Gained func(epoch api.Epoch)
	Lost   func()
	// Released is called when this process has stepped down, so that another can be
	// invited; nil: nobody is. It may not block.
	Released func(Invitation)
}
