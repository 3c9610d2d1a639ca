package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/skylarklock/skylarklock/internal/assist"
	"github.com/skylarklock/skylarklock/internal/leader"
	"github.com/skylarklock/skylarklock/internal/logging"
	product "github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/queue"
	"github.com/skylarklock/skylarklock/internal/replica"
	"github.com/skylarklock/skylarklock/platform"
)

// emptyLog holds no jobs.
type emptyLog struct{ product.PartitionLog }

func (emptyLog) Newest(context.Context, product.Partition, string) (product.NewestPage, error) {
	return product.NewestPage{}, nil
}

// A process that read the jobs once and has missed what was written for half a
// minute has as much to read before it can plan as one that has just started,
// and its renewals keep others from claiming as well.
func TestLaggingProcessDoesNotClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &Node{replica: replica.New(time.Minute, logging.Nop())}
		r := &replica.Reader{Replica: n.replica, Log: emptyLog{}, Timing: replica.DefaultTiming()}
		if err := r.Restore(t.Context()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(30 * time.Second)
		if behind := n.replica.Lag(time.Now()); behind < 30*time.Second {
			t.Fatalf("it is behind by %v", behind)
		}
		defer func() {
			if recover() != nil {
				t.Error("it went on to compare processors")
			}
		}()
		if got := n.standing(); got != leader.Unsynced {
			t.Errorf("standing %d, want that it doesn't claim", got)
		}
	})
}

// Jobs were given up as failed after their first failed run. Order of events: all
// machines lost power while the store was slow and then silent; a process had read
// the jobs, claimed, and planned; the configuration came 0.4 s later; a run's end
// as failed came between. Cause: without the job's queue one attempt was taken to be
// all. The evidence: the line of the job's end, 0.3 s before the line of the
// configuration, on the same machine.
func TestProcessWithoutAConfigurationDoesNotClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &Node{
			settings: &platform.Settings{Processors: 0.8},
			replica:  replica.New(time.Minute, logging.Nop()),
			watch:    &queue.Watcher{},
			helpers:  assist.NewPeers("a", nil, nil),
		}
		r := &replica.Reader{Replica: n.replica, Log: emptyLog{}, Timing: replica.DefaultTiming()}
		if err := r.Restore(t.Context()); err != nil {
			t.Fatal(err)
		}
		if got := n.standing(); got != leader.Unsynced {
			t.Errorf("standing %d, want that it doesn't claim", got)
		}
	})
}
