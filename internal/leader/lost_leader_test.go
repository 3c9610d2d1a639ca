package leader

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/skylarklock/skylarklock/internal/platform"
)

// failingLog rejects appends while unavailable is set. This simulates an outage of the
// store, or the loss of a process, from which the log gets no more records.
type failingLog struct {
	platform.PartitionLog
	unavailable atomic.Bool
}

func (l *failingLog) Append(ctx context.Context, a platform.Append) (platform.Offset, error) {
	if l.unavailable.Load() {
		return 0, platform.ErrUnavailable
	}
	return l.PartitionLog.Append(ctx, a)
}

// Timing of a machine that learns of renewals from the leader's deliveries, as in the
// packages node and replica.
const (
	deliveryInterval = 50 * time.Millisecond
	deliveryTimeout  = 250 * time.Millisecond // after which a delivery is overdue
	callTimeout      = 150 * time.Millisecond // of the call to the leader that follows
)

// lostLeader simulates the loss of a leader some time after a renewal, and returns the
// time until the other process leads.
func lostLeader(t *testing.T, after time.Duration) time.Duration {
	t.Helper()
	all := election(t, 0.8, 0.8)
	first, other := all[0], all[1]
	log := &failingLog{PartitionLog: first.cfg.Log}
	first.cfg.Log = log
	end := run(first)
	time.Sleep(time.Second)
	defer run(other)()
	deliver := func() {
		other.ObserveLeader(first.Current())
		other.ObserveRenewal(first.Current().Epoch, first.LastRenewal())
	}
	for range 60 { // the other process learns of fresh renewals and reads nothing
		deliver()
		time.Sleep(deliveryInterval)
	}
	renewed := first.LastRenewal().End
	for first.LastRenewal().End == renewed {
		time.Sleep(time.Millisecond)
	}
	deliver()
	time.Sleep(after)
	deliver()
	epoch := first.Current().Epoch
	log.unavailable.Store(true)
	end()
	lost := time.Now()
	time.Sleep(deliveryTimeout + callTimeout)
	other.SuspectLeader(epoch)
	for {
		if leads, _ := other.state(); leads {
			return time.Since(lost)
		}
		if time.Since(lost) > 10*time.Second {
			t.Fatal("no process leads")
		}
		time.Sleep(time.Millisecond)
	}
}

// A lost leader is to be replaced within half a second, which leaves the jobs with the
// tightest deadlines time to finish. Guards against two delays: a process that knew
// renewals from deliveries read them all when its claim was due, took them for signs of
// life and waited for another 0.5 s; and a read that waited for the leader's next record
// was not cancelled for 0.2 s.
func TestLostLeaderIsReplacedWithinHalfASecond(t *testing.T) {
	for _, after := range []time.Duration{0, 60 * time.Millisecond, 120 * time.Millisecond, 200 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			if took := lostLeader(t, after); took > 500*time.Millisecond {
				t.Errorf("leader lost %v after a renewal: the other process leads after %v", after, took)
			}
		})
	}
}

// A leader whose renewals are read isn't replaced, even if its process answers no calls.
func TestSuspectedLeaderThatRenewsIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := election(t, 0.8, 0.8)
		defer run(all[0])()
		time.Sleep(time.Second)
		defer run(all[1])()
		for range 30 {
			all[1].SuspectLeader(all[0].Current().Epoch)
			time.Sleep(100 * time.Millisecond)
		}
		if leads, gained := all[0].state(); !leads || gained != 1 {
			t.Errorf("the leader leads: %t, it was elected %d times", leads, gained)
		}
	})
}
