package dispatch

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/assist"
	"github.com/skylarklock/skylarklock/internal/logging"
	"github.com/skylarklock/skylarklock/internal/plan"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// limitedStore refuses records and appends above its limits, as the platform's store does.
type limitedStore struct {
	*memoryStore
	maxRecord, maxAppend int // bytes
}

func (s limitedStore) Append(ctx context.Context, a platform.Append) (platform.Offset, error) {
	size := 0
	for _, r := range a.Records {
		n := len(r.Key) + len(r.Value)
		if n > s.maxRecord {
			return 0, platform.ErrTooLarge
		}
		size += n
	}
	if size > s.maxAppend {
		return 0, platform.ErrTooLarge
	}
	return s.memoryStore.Append(ctx, a)
}

// A job whose progress the store doesn't take ended each leader in turn, and with it the planning of all jobs.
func TestUnrecordableJobCostsNoOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestCell(t)
		p.maxRecordBytes = 600
		p.log = limitedStore{p.store, p.maxRecordBytes, 1 << 21}
		p.register("ready")
		p.takeOver()
		large := work.ID{1}
		record := p.recordOf(1, work.Step{TaskCount: 700, TaskResources: api.Resources{MilliCPU: 10}, Estimate: time.Minute})
		go p.runner.Store(t.Context(), []platform.Record{record})
		time.Sleep(time.Second)
		p.submit(2)
		time.Sleep(time.Second)
		p.requireOneRun()
		if e, _ := p.replica.Get(large); e.State() != work.Failed {
			t.Errorf("the large job is %v", e.State())
		}
		p.stop()
	})
}

// The submissions of one cycle that were larger together than an append may be ended the leader.
func TestManyLargeSubmissionsAreStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestCell(t)
		p.log = limitedStore{p.store, 1 << 18, 1 << 21}
		p.register("ready")
		p.takeOver()
		const jobs = 30
		results := make(chan assist.StoreResult, jobs)
		p.store.setStalled(true) // submissions collect meanwhile
		p.submit(250)
		time.Sleep(20 * time.Millisecond)
		for n := range jobs {
			job := &work.Job{ID: work.ID{byte(n + 1)}, Queue: "q", Service: "svc", Specification: strings.Repeat("x", 200_000), AcceptedMs: time.Now().UnixMilli(),
				Steps: []work.Step{{TaskCount: 1, TaskResources: api.Resources{MilliCPU: 10}, Estimate: time.Millisecond}}}
			value, err := work.EncodeJob(job)
			if err != nil {
				t.Fatal(err)
			}
			go func() {
				results <- p.runner.Store(t.Context(), []platform.Record{{Key: work.Key(work.KindJob, job.ID), Value: value}})[0]
			}()
		}
		time.Sleep(100 * time.Millisecond)
		p.store.setStalled(false)
		for range jobs {
			if r := <-results; r.Outcome != assist.Stored {
				t.Errorf("a submission has the outcome %v", r.Outcome)
			}
		}
		for n := range jobs {
			if e, _ := p.replica.Get(work.ID{byte(n + 1)}); !e.Submitted() {
				t.Errorf("job %d is not stored", n+1)
			}
		}
		p.stop()
	})
}

// Checkpoints are what a record can do without: the tasks then begin anew under the next leader.
func TestLargeRecordLacksCheckpoints(t *testing.T) {
	e := newProgressEncoder(Config{MaxRecordBytes: 1000, Logger: logging.Nop()})
	tasks := make([]work.TaskProgress, 100)
	for i := range tasks {
		tasks[i] = work.TaskProgress{Phase: work.Started, Run: 1, Checkpoint: strings.Repeat("c", 20)}
	}
	progress := &work.Progress{State: work.Running, Occurrences: []work.Occurrence{{Steps: [][]work.TaskProgress{tasks}}}, Executors: []work.ExecutorIncarnation{{ID: "e"}}}
	records, failed, err := e.encode([]plan.ProgressRecord{{Job: work.ID{1}, Progress: progress}})
	if err != nil || len(failed) != 0 || len(records) != 1 {
		t.Fatalf("%d records, %d failed, %v", len(records), len(failed), err)
	}
	decoded, err := work.DecodeProgress(records[0].Value)
	if err != nil {
		t.Fatal(err)
	}
	row := decoded.Occurrences[0].Steps[0][99]
	if row.Phase != work.Started || row.Run != 1 || row.Checkpoint != "" {
		t.Errorf("a task is recorded as %+v", row)
	}
	if tasks[99].Checkpoint == "" {
		t.Error("the planner's checkpoint was changed")
	}
}
