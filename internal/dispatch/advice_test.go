package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/skylarklock/skylarklock/internal/assist"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/queue"
	"github.com/skylarklock/skylarklock/internal/work"
)

// slowStore delays each append, like a store that is 60 times as slow as usual.
type slowStore struct {
	*memoryStore
	latency time.Duration
}

func (s slowStore) Append(ctx context.Context, a platform.Append) (platform.Offset, error) {
	select {
	case <-time.After(s.latency):
		return s.memoryStore.Append(ctx, a)
	case <-ctx.Done():
		return 0, platform.ErrUncertain
	}
}

// grantingAdviser grants all executors after a delay.
type grantingAdviser struct{ latency time.Duration }

func (a grantingAdviser) Advise(_ context.Context, _ work.StepKey, executors []string) ([]platform.Grant, time.Duration, error) {
	time.Sleep(a.latency)
	var grants []platform.Grant
	for _, id := range executors {
		grants = append(grants, platform.Grant{Executor: id, Ticket: "t"})
	}
	return grants, 2 * time.Second, nil
}

// newAdvisedCell returns a cell whose queue requires advice and whose store delays each append.
func newAdvisedCell(t *testing.T, appendLatency time.Duration) *testCell {
	p := newTestCell(t)
	p.log = slowStore{p.store, appendLatency}
	p.peers = assist.NewPeers("a", grantingAdviser{15 * time.Millisecond}, nil)
	p.advice = &queue.Advice{DecisionTime: 10 * time.Millisecond, TimePerVM: time.Millisecond, TicketValidity: 2 * time.Second}
	p.register("ready")
	p.takeOver()
	time.Sleep(2 * time.Second)
	return p
}

// awaitRuns waits until at least the given number of runs is running and returns how long it took.
func (p *testCell) awaitRuns(runs int) time.Duration {
	p.t.Helper()
	start := time.Now()
	for {
		if n, _ := p.executor.runsAndHolds(); n >= runs {
			return time.Since(start)
		}
		if time.Since(start) > 10*time.Second {
			p.t.Fatalf("timed out waiting for %d runs", runs)
		}
		time.Sleep(time.Millisecond)
	}
}

// A job submitted during an append used to be added to the cell only by the cycle that stored it. That
// cycle requested its advice and the next one stored its start, so the job waited a whole append for
// advice that takes a tenth of that time. At a slow store a third of the users' checks ended late. In
// this test the job started after 892 ms, including a repeated append; it starts after 431 ms since
// advice is requested on submission.
func TestAdviceIsRequestedWhileSubmissionWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const appendLatency = 240 * time.Millisecond
		p := newAdvisedCell(t, appendLatency)
		p.submit(1)
		time.Sleep(60 * time.Millisecond) // the append of the first job is in flight
		p.submit(2)
		// The rest of the first append, one append with the submission and the start of the
		// second job, and the minimum interval between cycles.
		took := p.awaitRuns(2)
		if took > 2*appendLatency {
			t.Errorf("the second job started after %v, appends take %v", took, appendLatency)
		}
		p.stop()
	})
}

// A job whose submission could not be stored is not started, even if advice was requested for it.
func TestUnstoredJobIsWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newAdvisedCell(t, 5*time.Millisecond)
		p.store.setStalled(true)
		p.submit(1) // its append is not answered
		time.Sleep(100 * time.Millisecond)
		result := make(chan []assist.StoreResult, 1)
		record := p.record(2)
		go func() { result <- p.runner.Store(t.Context(), []platform.Record{record}) }()
		time.Sleep(2 * minAppendWaitLimit)
		select {
		case results := <-result:
			if results[0].Outcome != assist.NotStored {
				t.Errorf("outcome %v for a job that is pending while the store does not answer, want NotStored", results[0].Outcome)
			}
		default:
			t.Error("the client is still waiting")
		}
		p.store.setStalled(false)
		time.Sleep(3 * time.Second)
		if runs, _ := p.executor.runsAndHolds(); runs != 1 {
			t.Errorf("%d runs are running, want only the run of the stored job", runs)
		}
		p.stop()
	})
}
