package replica

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/skylarklock/skylarklock/internal/logging"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// A replica that gets the states of all jobs from another one answers as that one does, keeps no content, and
// follows the deliveries from then on.
func TestStateImport(t *testing.T) {
	Convey("A replica imports the states of all jobs", t, func() { testStateImport(t) })
}

func testStateImport(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	from := New(time.Minute, logging.Nop())
	from.completeRestore(0)
	var records []platform.Record
	const jobs = 40
	for i := range jobs {
		id := work.ID{7: byte(i)}
		records = append(records, jobRecord(platform.Offset(2*i), &work.Job{ID: id, Queue: "q"}), progressRecord(platform.Offset(2*i+1), id, work.Running))
	}
	from.apply(records, 2*jobs, now)

	to := New(time.Minute, logging.Nop())
	states := to.NewStateImport()
	for part := range StateParts {
		position, summaries, complete := from.States(part)
		if !complete || position != 2*jobs {
			t.Fatalf("part %d: complete %v up to %d", part, complete, position)
		}
		if part == 0 {
			position -= 10 // the first part is older
		}
		states.Add(position, summaries)
		if to.Synced() {
			t.Fatal("synced before the import is complete")
		}
	}
	if !states.Complete(now) || states.Complete(now) {
		t.Fatal("the import is not completed once")
	}
	if !to.Synced() || to.HasContent() || to.NeedsContent() || to.Position() != 2*jobs-10 {
		t.Fatalf("synced %v, content %v, needed %v, position %d", to.Synced(), to.HasContent(), to.NeedsContent(), to.Position())
	}
	last := work.ID{7: jobs - 1}
	for i := range jobs {
		if e, known := to.Get(work.ID{7: byte(i)}); !known || !e.Submitted() || e.State() != work.Running || e.Queue() != "q" {
			t.Fatalf("job %d: known %v, state %v", i, known, e.State())
		}
	}
	to.ApplySummaries(Span{From: 2*jobs - 10, To: 2*jobs - 1}, []work.Summary{{ID: last, Queue: "q", State: work.Queued}}, now)
	if e, _ := to.Get(last); e.State() != work.Running {
		t.Errorf("a delivery of what was known before made the state %v", e.State())
	}
	to.ApplySummaries(Span{From: 2*jobs - 1, To: 2*jobs + 1}, []work.Summary{{ID: last, Queue: "q", State: work.Completed}}, now)
	if e, _ := to.Get(last); e.State() != work.Completed {
		t.Errorf("a delivery of a newer state left the state %v", e.State())
	}
}

func TestStatesOfUnsyncedReplicaAreNotGiven(t *testing.T) {
	r := New(time.Minute, logging.Nop())
	if _, _, complete := r.States(0); complete {
		t.Error("states are given before everything has been read")
	}
}

// A process that reads the store gives up as soon as another machine provides the states of jobs: while hundreds
// of machines read, the store takes seconds for what the leader asks.
func TestStoreReadEndsOnceStatesAreProvided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		r := New(time.Minute, logging.Nop())
		f := &Reader{Replica: r, Log: stalledLog{}, Timing: DefaultTiming(), Leads: func() bool { return false }}
		f.FetchStates = func(context.Context) (fetched, pending bool) {
			if time.Since(started) < time.Second {
				return false, false // nobody leads yet
			}
			states := r.NewStateImport()
			for range StateParts {
				states.Add(5, nil)
			}
			return states.Complete(time.Now()), false
		}
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = f.Run(ctx) }()
		time.Sleep(1500 * time.Millisecond)
		if !r.Synced() || r.Position() != 5 {
			t.Errorf("synced %v up to %d, half a second after another machine provides the states", r.Synced(), r.Position())
		}
		cancel()
		synctest.Wait()
	})
}

// stalledLog answers no read.
type stalledLog struct{ platform.PartitionLog }

func (stalledLog) Newest(ctx context.Context, _ platform.Partition, _ string) (platform.NewestPage, error) {
	<-ctx.Done()
	return platform.NewestPage{}, platform.ErrUnavailable
}

func (stalledLog) Read(ctx context.Context, _ platform.Partition, _ platform.Offset, _ time.Duration) (platform.RecordBatch, error) {
	<-ctx.Done()
	return platform.RecordBatch{}, platform.ErrUnavailable
}
