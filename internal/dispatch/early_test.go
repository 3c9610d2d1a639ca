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

// slowStore takes a while for each append, as a store does that is 60 times as slow
// as usual.
type slowStore struct {
	*memoryStore
	takes time.Duration
}

func (s slowStore) Append(ctx context.Context, a platform.Append) (platform.Offset, error) {
	select {
	case <-time.After(s.takes):
		return s.memoryStore.Append(ctx, a)
	case <-ctx.Done():
		return 0, platform.ErrUncertain
	}
}

// generousAdviser grants all executors after a while.
type generousAdviser struct{ takes time.Duration }

func (a generousAdviser) Advise(_ context.Context, _ work.StepKey, executors []string) ([]platform.Grant, time.Duration, error) {
	time.Sleep(a.takes)
	var grants []platform.Grant
	for _, id := range executors {
		grants = append(grants, platform.Grant{Executor: id, Ticket: "t"})
	}
	return grants, 2 * time.Second, nil
}

// advisedPlay is a cell whose queue takes advice and whose store is slow.
func advisedPlay(t *testing.T, appends time.Duration) *cellPlay {
	p := newCellPlay(t)
	p.log = slowStore{p.store, appends}
	p.helpers = assist.NewPeers("a", generousAdviser{15 * time.Millisecond}, nil)
	p.advice = &queue.Advice{DecisionTime: 10 * time.Millisecond, TimePerVM: time.Millisecond, TicketValidity: 2 * time.Second}
	p.register("ready")
	p.lead()
	time.Sleep(2 * time.Second)
	return p
}

// startedWithin returns how long it takes until so many runs are at work.
func (p *cellPlay) startedWithin(runs int) time.Duration {
	p.t.Helper()
	began := time.Now()
	for {
		if n, _ := p.executor.atWork(); n >= runs {
			return time.Since(began)
		}
		if time.Since(began) > 10*time.Second {
			p.t.Fatalf("%d runs are not at work", runs)
		}
		time.Sleep(time.Millisecond)
	}
}

// Users' checks ended late while the store was slow, a third of them. Order of
// events: a job was handed in while an append was under way; it stood in line until
// that was answered; then advice was asked for it, in the cycle that stored it; its
// start was stored by the next. Cause: a job was given to the cell by a cycle, so
// advice, which takes a tenth of an append, was waited for by a whole one. Here the
// job started after 892 ms, of which a repeated append was a part; now after 431.
func TestAdviceIsRequestedWhileSubmissionWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const appends = 240 * time.Millisecond
		p := advisedPlay(t, appends)
		p.submit(1)
		time.Sleep(60 * time.Millisecond) // its append is under way
		p.submit(2)
		// What is left of the first append, one with submission and start of the
		// second job, and the pace of cycles.
		took := p.startedWithin(2)
		if took > 2*appends {
			t.Errorf("the second job started after %v, appends take %v", took, appends)
		}
		p.stop()
	})
}

// A job whose submission could not be stored isn't planned, whenever advice was
// asked for it.
func TestUnstoredJobIsWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := advisedPlay(t, 5*time.Millisecond)
		p.store.stick(true)
		p.submit(1) // its append has no answer
		time.Sleep(100 * time.Millisecond)
		result := make(chan []assist.StoreResult, 1)
		record := p.record(2)
		go func() { result <- p.runner.Store(t.Context(), []platform.Record{record}) }()
		time.Sleep(2 * stuckAfter)
		select {
		case got := <-result:
			if got[0].Outcome != assist.NotStored {
				t.Errorf("outcome %v of a job that stands in line at a store that gives no answer", got[0].Outcome)
			}
		default:
			t.Error("the client waits on")
		}
		p.store.stick(false)
		time.Sleep(3 * time.Second)
		if runs, _ := p.executor.atWork(); runs != 1 {
			t.Errorf("%d runs are at work, want that of the job that was stored", runs)
		}
		p.stop()
	})
}
