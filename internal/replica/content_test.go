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

func TestReplicaWithoutContent(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	id, other := work.ID{1}, work.ID{2}
	running := []work.Summary{{ID: id, Queue: "q", State: work.Running}}
	Convey("Given a replica that has read everything", t, func() {
		r := New(time.Minute, logging.Nop())
		r.completeRestore(0)
		r.apply([]platform.Record{jobRecord(0, &work.Job{ID: id, Queue: "q"})}, 1, now)

		Convey("after its content is dropped it still answers clients' queries", func() {
			r.DropContent()
			e, known := r.Get(id)
			So(known, ShouldBeTrue)
			So(e.Job, ShouldBeNil)
			So(e.Submitted(), ShouldBeTrue)
			So(e.Queue(), ShouldEqual, "q")
			So(r.PendingJobs(ofQueue("q")), ShouldEqual, 1)
			So(r.HasContent(), ShouldBeFalse)
			So(r.NeedsContent(), ShouldBeFalse)

			Convey("records that are read later update it without content", func() {
				r.apply([]platform.Record{progressRecord(1, id, work.Running), jobRecord(2, &work.Job{ID: other, Queue: "q"})}, 3, now)
				e, _ := r.Get(id)
				So(e.State(), ShouldEqual, work.Running)
				So(e.Progress, ShouldBeNil)
				So(r.PendingJobs(ofQueue("q")), ShouldEqual, 1)
			})
			Convey("it accepts no listener", func() {
				So(r.SetListener(func([]Change) {}), ShouldBeFalse)
			})
			Convey("content is complete again once it is kept and the store was read", func() {
				r.KeepContent()
				So(r.HasContent(), ShouldBeFalse)
				So(r.NeedsContent(), ShouldBeTrue)
				So(r.SetListener(func([]Change) {}), ShouldBeFalse)
				before := r.beginRestore()
				r.apply([]platform.Record{jobRecord(0, &work.Job{ID: id, Queue: "q"})}, 0, now)
				r.completeRestore(1)
				r.completeContent(1, before)
				So(r.HasContent(), ShouldBeTrue)
				e, _ := r.Get(id)
				So(e.Job, ShouldNotBeNil)
				So(r.SetListener(func([]Change) {}), ShouldBeTrue)
			})
			Convey("a restore that began before content was kept doesn't complete it", func() {
				before := r.beginRestore()
				r.KeepContent()
				r.completeRestore(1)
				r.completeContent(1, before)
				So(r.HasContent(), ShouldBeFalse)
			})
			Convey("a restore during which content was dropped doesn't complete it", func() {
				r.KeepContent()
				before := r.beginRestore()
				r.DropContent()
				r.KeepContent()
				r.completeContent(1, before)
				So(r.HasContent(), ShouldBeFalse)
			})
		})
		Convey("content isn't dropped while a listener is set", func() {
			So(r.SetListener(func([]Change) {}), ShouldBeTrue)
			r.DropContent()
			So(r.HasContent(), ShouldBeTrue)
		})
		Convey("summaries are applied only if they follow its position", func() {
			So(r.ApplySummaries(Span{From: 2, To: 4}, running, now), ShouldEqual, 1)
			e, _ := r.Get(id)
			So(e.State(), ShouldEqual, work.Queued)
			So(r.ApplySummaries(Span{From: 0, To: 4}, running, now), ShouldEqual, 4)
			e, _ = r.Get(id)
			So(e.State(), ShouldEqual, work.Running)
		})
		Convey("a summary adds a job, and a later one deletes it", func() {
			r.ApplySummaries(Span{From: 1, To: 2}, []work.Summary{{ID: other, Queue: "q2", State: work.Queued, Cancelled: true}}, now)
			e, known := r.Get(other)
			So(known, ShouldBeTrue)
			So(e.State(), ShouldEqual, work.Cancelled)
			So(r.HasRequest(work.Key(work.KindCancellation, other)), ShouldBeTrue)
			r.ApplySummaries(Span{From: 2, To: 3}, []work.Summary{{ID: other, Queue: "q2", Deleted: true}}, now)
			_, known = r.Get(other)
			So(known, ShouldBeFalse)
		})
		Convey("content may lag behind the states and doesn't revert them", func() {
			r.ApplySummaries(Span{From: 1, To: 5}, []work.Summary{{ID: id, Queue: "q", State: work.Completed}}, now)
			at, hasContent := r.ContentPosition()
			So(at, ShouldEqual, 1)
			So(hasContent, ShouldBeTrue)
			So(r.SetListener(func([]Change) {}), ShouldBeFalse) // the content between 1 and 5 is missing
			r.ApplyContent(Span{From: 1, To: 3}, []platform.Record{progressRecord(2, id, work.Running)}, now)
			e, _ := r.Get(id)
			So(e.State(), ShouldEqual, work.Completed)
			So(e.Progress.State, ShouldEqual, work.Running)
			r.ApplyContent(Span{From: 3, To: 5}, []platform.Record{progressRecord(4, id, work.Completed)}, now)
			e, _ = r.Get(id)
			So(e.Progress.State, ShouldEqual, work.Completed)
			So(r.SetListener(func([]Change) {}), ShouldBeTrue)
		})
		Convey("content that leaves a gap is ignored", func() {
			r.ApplyContent(Span{From: 3, To: 5}, []platform.Record{progressRecord(4, id, work.Completed)}, now)
			at, _ := r.ContentPosition()
			So(at, ShouldEqual, 1)
			e, _ := r.Get(id)
			So(e.Progress, ShouldBeNil)
		})
	})
}

// Only records that change the answer to a client's query cause summary updates.
func TestSummaryUpdates(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	id := work.ID{1}
	r := New(time.Minute, logging.Nop())
	var updates []SummaryUpdate
	r.SetPublisher(func(a AppliedBatch) { updates = append(updates, a.Updates...) })
	outcome, err := work.EncodeOutcome(&work.Outcome{State: work.Completed, Queue: "q"})
	if err != nil {
		t.Fatal(err)
	}
	Convey("A job's records cause updates only where its summary changes", t, func() {
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
		So(updates, ShouldResemble, []SummaryUpdate{
			{Offset: 0, Summary: work.Summary{ID: id, Queue: "q", State: work.Queued}},
			{Offset: 2, Summary: work.Summary{ID: id, Queue: "q", State: work.Running}},
			{Offset: 4, Summary: work.Summary{ID: id, Queue: "q", State: work.Completed}},
			{Offset: 5, Summary: work.Summary{ID: id, Queue: "q", State: work.Completed}}, // an outcome
			{Offset: 8, Summary: work.Summary{ID: id, Queue: "q", Deleted: true}},
		})
	})
}

// A reader that is to keep content again reads it from the store by itself. Meanwhile it
// answers clients' queries from the summaries that the leader delivers.
func TestReaderRestoresNeededContent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newKeyedStore(3*pageKeys, 100*time.Millisecond)
		f := newReader(s)
		f.Leads = func() bool { return false }
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = f.Run(ctx) }()
		time.Sleep(2 * time.Second)
		f.DropContent()
		if _, hasContent := f.ContentPosition(); hasContent {
			t.Error("content is kept after it was dropped")
		}
		f.KeepContent()
		time.Sleep(10 * time.Second)
		if at, hasContent := f.ContentPosition(); !hasContent || at < 3*pageKeys {
			t.Errorf("content kept: %v, up to %d of %d", hasContent, at, 3*pageKeys)
		}
	})
}
