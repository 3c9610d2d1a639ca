package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/skylarklock/skylarklock/internal/assist"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// hookedLog calls a function before each append of a producer that has records. The append fails with its error.
type hookedLog struct {
	*memoryStore
	beforeAppend func(records []platform.Record) error
}

func (l *hookedLog) Append(ctx context.Context, a platform.Append) (platform.Offset, error) {
	if len(a.Records) > 0 {
		if err := l.beforeAppend(a.Records); err != nil {
			return 0, err
		}
	}
	return l.memoryStore.Append(ctx, a)
}

// appendElsewhere stores a record as another machine does and returns when the leader has read it.
func (p *testCell) appendElsewhere(r platform.Record) {
	p.t.Helper()
	p.store.put(jobsPartition, r.Key, string(r.Value))
	if err := p.reader.Sync(p.t.Context()); err != nil {
		p.t.Fatal(err)
	}
}

// Guards against accepted jobs that the leader never plans: another machine's append of a job is read while the job's submission
// waits behind an append without an answer, and the submission is abandoned.
func TestStoredJobStaysWhenItsSubmissionIsAbandoned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestCell(t)
		p.register("ready")
		p.takeOver()
		p.store.setStalled(true)
		p.submit(1) // its append is in flight
		time.Sleep(100 * time.Millisecond)
		record, unstored := p.record(2), p.record(3)
		results := make(chan []assist.StoreResult, 1)
		go func() { results <- p.runner.Store(t.Context(), []platform.Record{record, unstored}) }()
		time.Sleep(100 * time.Millisecond)
		p.appendElsewhere(record)
		got := <-results
		if got[0].Outcome != assist.Stored || got[1].Outcome != assist.NotStored {
			t.Errorf("outcomes %v, want Stored and NotStored", got)
		}
		p.store.setStalled(false)
		time.Sleep(time.Second)
		if runs, _ := p.executor.runsAndHolds(); runs != 2 {
			t.Errorf("%d runs are running, want those of the two stored jobs", runs)
		}
		p.stop()
	})
}

// Guards against the same where the store refuses the append of the submission, and against a start of a job that stays whose
// record isn't stored: the next leader would start the task again.
func TestStoredJobStaysWhenItsSubmissionIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestCell(t)
		record, unstored := p.record(1), p.record(2)
		refused := false
		p.log = &hookedLog{memoryStore: p.store, beforeAppend: func([]platform.Record) error {
			if refused {
				return nil
			}
			refused = true
			p.appendElsewhere(record)
			return platform.ErrUnavailable
		}}
		p.executor.onStart = func(run platform.Run) {
			if !p.store.recordsStart(run) {
				t.Errorf("run %d of %s is ordered, and no record says so", run.Number, run.Task)
			}
		}
		p.register("ready")
		p.takeOver()
		time.Sleep(time.Second) // the executor has reported
		got := p.runner.Store(t.Context(), []platform.Record{record, unstored})
		if got[0].Outcome != assist.Stored || got[1].Outcome != assist.NotStored {
			t.Errorf("outcomes %v, want Stored and NotStored", got)
		}
		time.Sleep(time.Second)
		p.requireOneRun()
		p.takeOver()
		time.Sleep(time.Minute)
		p.requireOneRun()
		p.stop()
	})
}

// Guards against telling a client that its job isn't stored while it is: a submission that is repeated while the store gives no
// answer needs no append.
func TestRepeatedSubmissionOfStoredJobIsConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestCell(t)
		p.register("ready")
		p.takeOver()
		record := p.record(1)
		p.appendElsewhere(record)
		p.store.setStalled(true)
		p.submit(2)
		time.Sleep(minAppendWaitLimit + 100*time.Millisecond)
		if got := p.runner.Store(t.Context(), []platform.Record{record, p.record(3)}); got[0].Outcome != assist.Stored || got[1].Outcome != assist.NotStored {
			t.Errorf("outcomes %v, want Stored and NotStored", got)
		}
		p.store.setStalled(false)
		time.Sleep(time.Second)
		p.stop()
	})
}

// Guards against telling a client that its stored job is not stored as its leader ends: the submission waits behind an append without an
// answer, and another machine's append of the job has been read. The next leader runs it once.
func TestLeaderThatEndsConfirmsStoredJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestCell(t)
		p.register("ready")
		p.takeOver()
		p.store.setStalled(true)
		p.submit(1) // its append is in flight
		time.Sleep(100 * time.Millisecond)
		record, unstored := p.record(2), p.record(3)
		results := make(chan []assist.StoreResult, 1)
		go func() { results <- p.runner.Store(t.Context(), []platform.Record{record, unstored}) }()
		time.Sleep(100 * time.Millisecond)
		p.appendElsewhere(record)
		p.stop()
		if got := <-results; got[0].Outcome != assist.Stored || got[1].Outcome != assist.NotStored {
			t.Errorf("outcomes %v, want Stored and NotStored", got)
		}
		p.store.setStalled(false)
		p.takeOver()
		time.Sleep(time.Second)
		p.requireOneRun()
		p.stop()
	})
}
