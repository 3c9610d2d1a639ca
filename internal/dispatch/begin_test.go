package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/replica"
	"github.com/skylarklock/skylarklock/internal/work"
)

// slowCalls is a store whose reads take as long as its appends.
type slowCalls struct{ slowStore }

func (s slowCalls) Read(ctx context.Context, p platform.Partition, from platform.Offset, wait time.Duration) (platform.RecordBatch, error) {
	select {
	case <-time.After(s.takes):
		return s.memoryStore.Read(ctx, p, from, wait)
	case <-ctx.Done():
		return platform.RecordBatch{}, platform.ErrUnavailable
	}
}

// begins returns after what time a new leader plans at such a store. Its partition has a
// record that was written while it claimed the cell.
func begins(t *testing.T, takes time.Duration) time.Duration {
	p := newCellPlay(t)
	defer func() { p.stop() }()
	slow := slowCalls{slowStore{p.store, takes}}
	p.log, p.reader.Log = slow, slow
	began := time.Now()
	p.lead()
	for time.Since(began) < 10*time.Second {
		p.runner.mu.Lock()
		plans := p.runner.cell != nil
		p.runner.mu.Unlock()
		if plans {
			break
		}
		time.Sleep(time.Millisecond)
	}
	return time.Since(began)
}

func TestNewLeaderReadsWhileFencingFormerLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const takes = 100 * time.Millisecond // a call
		if took := begins(t, takes); took > takes+takes/2 {
			t.Errorf("it plans after %v, a call takes %v", took, takes)
		}
	})
}

// quickReads is a store whose appends take long.
type quickReads struct {
	slowStore
	during func() // called in the midst of the first append
}

func (s *quickReads) Append(ctx context.Context, a platform.Append) (platform.Offset, error) {
	if during := s.during; during != nil {
		s.during = nil
		time.AfterFunc(s.takes/2, during)
	}
	return s.slowStore.Append(ctx, a)
}

// While the fence is under way the former leader writes and tells of the job's state, whose
// content isn't read yet.
func TestNewLeaderReadsContentOfJobsKnownBySummary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newCellPlay(t)
		defer func() { p.stop() }()
		record := p.record(1)
		slow := &quickReads{slowStore: slowStore{p.store, 100 * time.Millisecond}}
		slow.during = func() {
			from := p.replica.Position()
			p.store.put(playJobs, record.Key, string(record.Value))
			p.replica.ApplySummaries(replica.Span{From: from, To: from + 1}, []work.Summary{{ID: work.ID{1}, Queue: "q", State: work.Queued}}, time.Now())
		}
		p.register("ready")
		p.log, p.reader.Log = slow, p.store
		p.lead()
		time.Sleep(time.Second)
		if runs, _ := p.executor.atWork(); runs != 1 {
			t.Errorf("%d runs are at work a second after the leader began, want 1", runs)
		}
	})
}
