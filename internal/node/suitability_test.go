package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/skylarklock/skylarklock/internal/assist"
	"github.com/skylarklock/skylarklock/internal/leader"
	"github.com/skylarklock/skylarklock/internal/logging"
	platformapi "github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/queue"
	"github.com/skylarklock/skylarklock/internal/replica"
	"github.com/skylarklock/skylarklock/platform"
)

// emptyLog is a partition log without records.
type emptyLog struct{ platformapi.PartitionLog }

func (emptyLog) Newest(context.Context, platformapi.Partition, string) (platformapi.NewestPage, error) {
	return platformapi.NewestPage{}, nil
}

// A process that has read the jobs but missed all writes for 30 s doesn't claim. It has
// as much to read before it can plan as a process that has just started, and its
// renewals would keep others from claiming.
func TestLaggingProcessDoesNotClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &Node{replica: replica.New(time.Minute, logging.Nop())}
		r := &replica.Reader{Replica: n.replica, Log: emptyLog{}, Timing: replica.DefaultTiming()}
		if err := r.Restore(t.Context()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(30 * time.Second)
		if lag := n.replica.Lag(time.Now()); lag < 30*time.Second {
			t.Fatalf("the replica lags by %v, want 30s at least", lag)
		}
		defer func() {
			if recover() != nil {
				t.Error("suitability went on to compare processors")
			}
		}()
		if got := n.suitability(); got != leader.Unsynced {
			t.Errorf("suitability %d, want that it may not claim", got)
		}
	})
}

// Guards against planning without a configuration: without the job's queue, one attempt
// is taken to be all, so a job fails with its first failed run. It happened after all
// machines had lost power while the store was slow and then unavailable. A process read
// the jobs, claimed and planned; a run ended as failed before the configuration arrived
// 0.4 s later. The same machine logged the job's end 0.3 s before the configuration.
func TestProcessWithoutAConfigurationDoesNotClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &Node{
			settings:      &platform.Settings{Processors: 0.8},
			replica:       replica.New(time.Minute, logging.Nop()),
			configWatcher: &queue.Watcher{},
			peers:         assist.NewPeers("a", nil, nil),
		}
		r := &replica.Reader{Replica: n.replica, Log: emptyLog{}, Timing: replica.DefaultTiming()}
		if err := r.Restore(t.Context()); err != nil {
			t.Fatal(err)
		}
		if got := n.suitability(); got != leader.Unsynced {
			t.Errorf("suitability %d, want that it may not claim", got)
		}
	})
}

// A machine whose link can't carry a leader's traffic leaves leadership to one whose link can, whatever its
// processors: its link would fill with the first traffic, and it would refuse jobs with executors free.
func TestThinLinkLimitsFitness(t *testing.T) {
	const megabit = 1e6 / 8
	thin := leadingProcessors(&platform.Settings{Processors: 0.48, LinkBytesPerSecond: 10 * megabit})
	strong := leadingProcessors(&platform.Settings{Processors: 0.8, LinkBytesPerSecond: 200 * megabit})
	if strong != 0.8 {
		t.Errorf("a link of 200 Mbit/s limits 0.8 processors to %v", strong)
	}
	if s := leader.AssessSuitability(thin, strong); s != leader.Outclassed {
		t.Errorf("a machine with a link of 10 Mbit/s has suitability %v beside one with 200", s)
	}
	if unknown := leadingProcessors(&platform.Settings{Processors: 0.5}); unknown != 0.5 {
		t.Errorf("an unknown link limits 0.5 processors to %v", unknown)
	}
}
