package replica

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/skylarklock/skylarklock/internal/logging"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// ofQueue returns a function that selects the jobs of a queue with a name.
func ofQueue(name string) func(string, work.PathID) bool {
	return func(queue string, _ work.PathID) bool { return queue == name }
}

func jobRecord(at platform.Offset, j *work.Job) platform.Record {
	value, err := work.EncodeJob(j)
	So(err, ShouldBeNil)
	return platform.Record{Offset: at, Key: work.Key(work.KindJob, j.ID), Value: value}
}

func progressRecord(at platform.Offset, id work.ID, s work.State) platform.Record {
	value, err := work.EncodeProgress(&work.Progress{State: s})
	So(err, ShouldBeNil)
	return platform.Record{Offset: at, Key: work.Key(work.KindProgress, id), Value: value}
}

func TestReplica(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	id := work.ID{1}
	Convey("Given a replica with a listener", t, func() {
		r := New(time.Minute, logging.Nop())
		var seen []Change
		r.SetListener(func(changes []Change) { seen = append(seen, changes...) })
		first := &work.Job{ID: id, Queue: "q", Specification: "first"}
		r.apply([]platform.Record{jobRecord(0, first)}, 1, now)

		Convey("a job counts as pending until it has started", func() {
			So(r.PendingJobs(ofQueue("q")), ShouldEqual, 1)
			r.apply([]platform.Record{progressRecord(1, id, work.Running)}, 2, now)
			So(r.PendingJobs(ofQueue("q")), ShouldEqual, 0)
		})
		Convey("a second submission of the same ID changes nothing and isn't passed to the listener", func() {
			second := &work.Job{ID: id, Queue: "q", Specification: "second"}
			r.apply([]platform.Record{jobRecord(1, second)}, 2, now)
			e, known := r.Get(id)
			So(known, ShouldBeTrue)
			So(e.Job.Specification, ShouldEqual, "first")
			So(seen, ShouldHaveLength, 1)
		})
		Convey("an older progress record from a page doesn't replace a newer one", func() {
			r.apply([]platform.Record{progressRecord(5, id, work.Completed)}, 6, now)
			r.apply([]platform.Record{progressRecord(3, id, work.Running)}, 0, now)
			e, _ := r.Get(id)
			So(e.State(), ShouldEqual, work.Completed)
		})
		Convey("a cancelled job counts as completed if the leader recorded that it completed", func() {
			r.apply([]platform.Record{{Offset: 1, Key: work.Key(work.KindCancellation, id), Value: work.CancellationValue}}, 2, now)
			e, _ := r.Get(id)
			So(e.State(), ShouldEqual, work.Cancelled)
			r.apply([]platform.Record{progressRecord(2, id, work.Completed)}, 3, now)
			e, _ = r.Get(id)
			So(e.State(), ShouldEqual, work.Completed)
		})
		Convey("a job is dropped when its key is deleted", func() {
			r.apply([]platform.Record{{Offset: 1, Key: work.Key(work.KindJob, id)}}, 2, now)
			_, known := r.Get(id)
			So(known, ShouldBeFalse)
		})
		Convey("an outcome replaces all other records, in any order", func() {
			outcome, err := work.EncodeOutcome(&work.Outcome{State: work.Completed, Queue: "q"})
			So(err, ShouldBeNil)
			r.apply([]platform.Record{progressRecord(1, id, work.Completed)}, 2, now)
			later := now.Add(6 * time.Second)
			So(r.EndedJobs(later, 5*time.Second, 10), ShouldResemble, []EndedJob{{ID: id, Outcome: work.Outcome{State: work.Completed, Queue: "q"}}})
			r.apply([]platform.Record{
				{Offset: 2, Key: work.Key(work.KindOutcome, id), Value: outcome},
				{Offset: 3, Key: work.Key(work.KindJob, id)},
				{Offset: 4, Key: work.Key(work.KindProgress, id)},
				jobRecord(5, first),
				{Offset: 6, Key: work.Key(work.KindCancellation, id), Value: work.CancellationValue},
			}, 7, later)
			e, known := r.Get(id)
			So(known, ShouldBeTrue)
			So(e.State(), ShouldEqual, work.Completed)
			So(e.Queue(), ShouldEqual, "q")
			So(e.Job, ShouldBeNil)
			So(r.EndedJobs(later.Add(time.Hour), 5*time.Second, 10), ShouldBeEmpty)
			So(r.ExpiredJobs(now.Add(time.Minute+time.Second), 10), ShouldHaveLength, 1)
			r.apply([]platform.Record{{Offset: 7, Key: work.Key(work.KindOutcome, id)}}, 8, later)
			_, known = r.Get(id)
			So(known, ShouldBeFalse)
		})
		Convey("a job expires some time after its end", func() {
			r.apply([]platform.Record{progressRecord(1, id, work.Failed)}, 2, now)
			So(r.ExpiredJobs(now.Add(time.Minute), 10), ShouldBeEmpty)
			So(r.ExpiredJobs(now.Add(time.Minute+time.Second), 10), ShouldHaveLength, 1)
		})
	})
}

// A machine that applies less than is written has recent contact with the store but a
// growing lag.
func TestLag(t *testing.T) {
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	r := New(time.Minute, logging.Nop())
	r.completeRestore(0)
	r.MarkCurrent(start)
	reader := &Reader{Replica: r, Timing: DefaultTiming()}
	later := start.Add(3 * time.Second)
	record := platform.Record{Key: work.Key(work.KindCancellation, work.ID{1}), Value: work.CancellationValue}
	r.ApplyRecords(0, []platform.Record{record}, later)
	if r.SinceContact(later) != 0 || r.Lag(later) != 3*time.Second {
		t.Errorf("after one of several records: last contact %v ago, lag %v", r.SinceContact(later), r.Lag(later))
	}
	cancelled := []work.Summary{{ID: work.ID{1}, Queue: "q", State: work.Cancelled, Cancelled: true}}
	reader.Deliver(Span{From: 1, To: 2}, cancelled, 3)
	if r.Lag(later) != 3*time.Second {
		t.Error("an incomplete delivery counts as complete")
	}
	reader.Deliver(Span{From: 2, To: 3}, cancelled, 3)
	if r.Lag(time.Now()) > time.Minute {
		t.Error("a delivery up to the end doesn't count as complete")
	}
}
