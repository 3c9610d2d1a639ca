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

// uniformlySlowStore is a store whose reads take as long as its appends.
type uniformlySlowStore struct{ slowStore }

func (s uniformlySlowStore) Read(ctx context.Context, p platform.Partition, from platform.Offset, wait time.Duration) (platform.RecordBatch, error) {
	select {
	case <-time.After(s.latency):
		return s.memoryStore.Read(ctx, p, from, wait)
	case <-ctx.Done():
		return platform.RecordBatch{}, platform.ErrUnavailable
	}
}

// takeoverDuration returns how long a new leader takes to start planning when each call of the
// store takes the given time.
func takeoverDuration(t *testing.T, latency time.Duration) time.Duration {
	p := newTestCell(t)
	defer func() { p.stop() }()
	slow := uniformlySlowStore{slowStore{p.store, latency}}
	p.log, p.reader.Log = slow, slow
	start := time.Now()
	p.takeOver()
	for time.Since(start) < 10*time.Second {
		p.runner.mu.Lock()
		planning := p.runner.cell != nil
		p.runner.mu.Unlock()
		if planning {
			break
		}
		time.Sleep(time.Millisecond)
	}
	return time.Since(start)
}

// A new leader reads the jobs while its fence is in flight. If it read them only afterwards, planning
// would start after two calls of the store instead of one.
func TestNewLeaderReadsWhileFencingFormerLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const latency = 100 * time.Millisecond // of each call
		if took := takeoverDuration(t, latency); took > latency+latency/2 {
			t.Errorf("planning started after %v; each call takes %v", took, latency)
		}
	})
}

// slowAppendStore is a store whose appends are slow and whose reads are not.
type slowAppendStore struct {
	slowStore
	duringAppend func() // called halfway through the first append
}

func (s *slowAppendStore) Append(ctx context.Context, a platform.Append) (platform.Offset, error) {
	if duringAppend := s.duringAppend; duringAppend != nil {
		s.duringAppend = nil
		time.AfterFunc(s.latency/2, duringAppend)
	}
	return s.slowStore.Append(ctx, a)
}

// The former leader stores a record and delivers the job's summary while the new leader's fence
// is in progress. The new leader then knows the state of the job but has not read its content. It
// must read the content, or the job does not start.
func TestNewLeaderReadsContentOfJobsKnownBySummary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestCell(t)
		defer func() { p.stop() }()
		record := p.record(1)
		slow := &slowAppendStore{slowStore: slowStore{p.store, 100 * time.Millisecond}}
		slow.duringAppend = func() {
			from := p.replica.Position()
			p.store.put(jobsPartition, record.Key, string(record.Value))
			p.replica.ApplySummaries(replica.Span{From: from, To: from + 1}, []work.Summary{{ID: work.ID{1}, Queue: "q", State: work.Queued}}, time.Now())
		}
		p.register("ready")
		p.log, p.reader.Log = slow, p.store
		p.takeOver()
		time.Sleep(time.Second)
		if runs, _ := p.executor.runsAndHolds(); runs != 1 {
			t.Errorf("%d runs are running one second after the takeover, want 1", runs)
		}
	})
}
