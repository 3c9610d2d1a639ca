package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/skylarklock/skylarklock/internal/assist"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// Guards against a job that is accepted and never planned, since the leader can't decode what a machine of another build submits.
func TestUnreadableSubmissionIsNotStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestCell(t)
		p.register("ready")
		p.takeOver()
		unreadable := platform.Record{Key: work.Key(work.KindJob, work.ID{1}), Value: []byte("of another build")}
		results := p.runner.Store(t.Context(), []platform.Record{unreadable, p.record(2)})
		if results[0].Outcome != assist.NotStored || results[1].Outcome != assist.Stored {
			t.Errorf("outcomes %v", results)
		}
		if results := p.runner.Store(t.Context(), []platform.Record{unreadable}); results[0].Outcome != assist.NotStored {
			t.Errorf("outcome alone %v", results)
		}
		for _, r := range p.store.partitions[jobsPartition.Topic] {
			if r.Key == unreadable.Key {
				t.Error("the job is stored")
			}
		}
		p.stop()
	})
}

// Guards against a job that is accepted and never planned, since the leader can decode what a machine of another build submits and can't
// plan it.
func TestUnplannableSubmissionIsNotStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestCell(t)
		p.register("ready")
		p.takeOver()
		unplannable := p.recordOf(1, work.Step{TaskCount: 1, DependsOn: []int{1}, Estimate: time.Minute})
		results := p.runner.Store(t.Context(), []platform.Record{unplannable, p.record(2)})
		if results[0].Outcome != assist.NotStored || results[1].Outcome != assist.Stored {
			t.Errorf("outcomes %v", results)
		}
		if e, known := p.replica.Get(work.ID{1}); known {
			t.Errorf("the job is stored: %+v", e)
		}
		p.stop()
	})
}
