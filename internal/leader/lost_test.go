package leader

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/skylarklock/skylarklock/internal/platform"
)

// mortalLog takes nothing more from a process that is gone.
type mortalLog struct {
	platform.PartitionLog
	gone atomic.Bool
}

func (l *mortalLog) Append(ctx context.Context, a platform.Append) (platform.Offset, error) {
	if l.gone.Load() {
		return 0, platform.ErrUnavailable
	}
	return l.PartitionLog.Append(ctx, a)
}

// Timing of a machine that is told of renewals by deliveries, as node and replica have it.
const (
	told      = 50 * time.Millisecond  // between two deliveries
	overdue   = 250 * time.Millisecond // after which a delivery is missed
	unanswers = 150 * time.Millisecond // a call to the leader then goes unanswered for
)

// lostLeader plays the loss of a leader at some time after a renewal, and returns how
// long it is until the other process leads.
func lostLeader(t *testing.T, after time.Duration) time.Duration {
	t.Helper()
	all := election(t, 0.8, 0.8)
	first, other := all[0], all[1]
	log := &mortalLog{PartitionLog: first.cfg.Log}
	first.cfg.Log = log
	end := run(first)
	time.Sleep(time.Second)
	defer run(other)()
	deliver := func() {
		other.ObserveLeader(first.Current())
		other.ObserveRenewal(first.Current().Epoch, first.LastRenewal())
	}
	for range 60 { // the other process reads nothing: it is told of fresh renewals
		deliver()
		time.Sleep(told)
	}
	renewed := first.LastRenewal().End
	for first.LastRenewal().End == renewed {
		time.Sleep(time.Millisecond)
	}
	deliver()
	time.Sleep(after)
	deliver()
	epoch := first.Current().Epoch
	log.gone.Store(true)
	end()
	lost := time.Now()
	time.Sleep(overdue + unanswers)
	other.SuspectLeader(epoch)
	for {
		if leads, _ := other.state(); leads {
			return time.Since(lost)
		}
		if time.Since(lost) > 10*time.Second {
			t.Fatal("nobody leads")
		}
		time.Sleep(time.Millisecond)
	}
}

// The aim is a leader within half a second, which leaves the tightest jobs time to be
// done. A process that was told of renewals and had read none read them all when it
// was to claim, took them for signs of life, and waited for another 0.5 s; and a read
// that waits for the leader's next record went on for 0.2 s.
func TestLostLeaderIsFollowedWithinHalfASecond(t *testing.T) {
	for _, after := range []time.Duration{0, 60 * time.Millisecond, 120 * time.Millisecond, 200 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			if took := lostLeader(t, after); took > 500*time.Millisecond {
				t.Errorf("lost %v after a renewal: the next one leads after %v", after, took)
			}
		})
	}
}

// A leader that renews isn't replaced, whatever its process answers.
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
			t.Errorf("the leader leads: %t, has gained the cell %d times", leads, gained)
		}
	})
}
