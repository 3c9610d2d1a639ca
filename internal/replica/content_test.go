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

func TestStatesWithoutContent(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	id, other := work.ID{1}, work.ID{2}
	running := []work.Summary{{ID: id, Queue: "q", State: work.Running}}
	Convey("Given a replica that has read everything", t, func() {
		r := New(time.Minute, logging.Silent())
		r.restored(0)
		r.apply([]platform.Record{jobRecord(0, &work.Job{ID: id, Queue: "q"})}, 1, now)

		Convey("dropping the content leaves what clients ask for", func() {
			r.DropContent()
			e, known := r.Get(id)
			So(known, ShouldBeTrue)
			So(e.Job, ShouldBeNil)
			So(e.Submitted(), ShouldBeTrue)
			So(e.Queue(), ShouldEqual, "q")
			So(r.PendingJobs("q"), ShouldEqual, 1)
			So(r.HasContent(), ShouldBeFalse)
			So(r.NeedsContent(), ShouldBeFalse)

			Convey("and records that are read later add to that, without content", func() {
				r.apply([]platform.Record{progressRecord(1, id, work.Running), jobRecord(2, &work.Job{ID: other, Queue: "q"})}, 3, now)
				e, _ := r.Get(id)
				So(e.State(), ShouldEqual, work.Running)
				So(e.Progress, ShouldBeNil)
				So(r.PendingJobs("q"), ShouldEqual, 1)
			})
			Convey("and nobody may plan from it", func() {
				So(r.SetListener(func([]Change) {}), ShouldBeFalse)
			})
			Convey("until it is kept again and the store was read", func() {
				r.KeepContent()
				So(r.HasContent(), ShouldBeFalse)
				So(r.NeedsContent(), ShouldBeTrue)
				So(r.SetListener(func([]Change) {}), ShouldBeFalse)
				kept := r.restoring()
				r.apply([]platform.Record{jobRecord(0, &work.Job{ID: id, Queue: "q"})}, 0, now)
				r.restored(1)
				r.gathered(1, kept)
				So(r.HasContent(), ShouldBeTrue)
				e, _ := r.Get(id)
				So(e.Job, ShouldNotBeNil)
				So(r.SetListener(func([]Change) {}), ShouldBeTrue)
			})
			Convey("and a reading that began before content was kept doesn't count", func() {
				kept := r.restoring()
				r.KeepContent()
				r.restored(1)
				r.gathered(1, kept)
				So(r.HasContent(), ShouldBeFalse)
			})
			Convey("and one during which it was dropped doesn't either", func() {
				r.KeepContent()
				kept := r.restoring()
				r.DropContent()
				r.KeepContent()
				r.gathered(1, kept)
				So(r.HasContent(), ShouldBeFalse)
			})
		})
		Convey("content isn't dropped while it is planned from", func() {
			So(r.SetListener(func([]Change) {}), ShouldBeTrue)
			r.DropContent()
			So(r.HasContent(), ShouldBeTrue)
		})
		Convey("summaries count where they follow on what is known", func() {
			So(r.ApplySummaries(Span{From: 2, To: 4}, running, now), ShouldEqual, 1)
			e, _ := r.Get(id)
			So(e.State(), ShouldEqual, work.Queued)
			So(r.ApplySummaries(Span{From: 0, To: 4}, running, now), ShouldEqual, 4)
			e, _ = r.Get(id)
			So(e.State(), ShouldEqual, work.Running)
		})
		Convey("a summary makes a job known, and a later one gone", func() {
			r.ApplySummaries(Span{From: 1, To: 2}, []work.Summary{{ID: other, Queue: "q2", State: work.Queued, Cancelled: true}}, now)
			e, known := r.Get(other)
			So(known, ShouldBeTrue)
			So(e.State(), ShouldEqual, work.Cancelled)
			So(r.HasRequest(work.Key(work.KindCancellation, other)), ShouldBeTrue)
			r.ApplySummaries(Span{From: 2, To: 3}, []work.Summary{{ID: other, Queue: "q2", Deleted: true}}, now)
			_, known = r.Get(other)
			So(known, ShouldBeFalse)
		})
		Convey("content follows behind the states, and doesn't take them back", func() {
			r.ApplySummaries(Span{From: 1, To: 5}, []work.Summary{{ID: id, Queue: "q", State: work.Completed}}, now)
			at, whole := r.ContentPosition()
			So(at, ShouldEqual, 1)
			So(whole, ShouldBeTrue)
			So(r.SetListener(func([]Change) {}), ShouldBeFalse) // what is between would be missing
			r.ApplyContent(Span{From: 1, To: 3}, []platform.Record{progressRecord(2, id, work.Running)}, now)
			e, _ := r.Get(id)
			So(e.State(), ShouldEqual, work.Completed)
			So(e.Progress.State, ShouldEqual, work.Running)
			r.ApplyContent(Span{From: 3, To: 5}, []platform.Record{progressRecord(4, id, work.Completed)}, now)
			e, _ = r.Get(id)
			So(e.Progress.State, ShouldEqual, work.Completed)
			So(r.SetListener(func([]Change) {}), ShouldBeTrue)
		})
		Convey("content that doesn't follow on what is kept is not taken", func() {
			r.ApplyContent(Span{From: 3, To: 5}, []platform.Record{progressRecord(4, id, work.Completed)}, now)
			at, _ := r.ContentPosition()
			So(at, ShouldEqual, 1)
			e, _ := r.Get(id)
			So(e.Progress, ShouldBeNil)
		})
	})
}

// The news of records are what changes the answer to a client, and no more.
func TestNewsOfRecords(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	id := work.ID{1}
	r := New(time.Minute, logging.Silent())
	var news []SummaryUpdate
	r.SetPublisher(func(a AppliedBatch) { news = append(news, a.Updates...) })
	outcome, err := work.EncodeOutcome(&work.Outcome{State: work.Completed, Queue: "q"})
	if err != nil {
		t.Fatal(err)
	}
	Convey("A job's records", t, func() {
		r.apply([]platform.Record{
			jobRecord(0, &work.Job{ID: id, Queue: "q"}),
			progressRecord(1, id, work.Queued), // a start was planned
			progressRecord(2, id, work.Running),
			progressRecord(3, id, work.Running), // a task has ended
			progressRecord(4, id, work.Completed),
			{Offset: 5, Key: work.Key(work.KindOutcome, id), Value: outcome},
			{Offset: 6, Key: work.Key(work.KindJob, id)},
			{Offset: 7, Key: work.Key(work.KindProgress, id)},
			{Offset: 8, Key: work.Key(work.KindOutcome, id)},
		}, 9, now)
		So(news, ShouldResemble, []SummaryUpdate{
			{Offset: 0, Summary: work.Summary{ID: id, Queue: "q", State: work.Queued}},
			{Offset: 2, Summary: work.Summary{ID: id, Queue: "q", State: work.Running}},
			{Offset: 4, Summary: work.Summary{ID: id, Queue: "q", State: work.Completed}},
			{Offset: 5, Summary: work.Summary{ID: id, Queue: "q", State: work.Completed}}, // an outcome
			{Offset: 8, Summary: work.Summary{ID: id, Queue: "q", Deleted: true}},
		})
	})
}

// A machine that is to keep content again reads the store by itself, while it
// answers clients from what it is told.
func TestReaderGathersContentThatIsWanted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newKeyedStore(3*pageKeys, 100*time.Millisecond)
		f := newReader(s)
		f.Leads = func() bool { return false }
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = f.Run(ctx) }()
		time.Sleep(2 * time.Second)
		f.DropContent()
		if _, whole := f.ContentPosition(); whole {
			t.Error("content is still kept")
		}
		f.KeepContent()
		time.Sleep(10 * time.Second)
		if at, whole := f.ContentPosition(); !whole || at < 3*pageKeys {
			t.Errorf("content kept: %v, up to %d of %d", whole, at, 3*pageKeys)
		}
	})
}
