package entry

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/config"
	"github.com/skylarklock/skylarklock/internal/journal"
	"github.com/skylarklock/skylarklock/internal/scheduler"
)

// applyingProposer applies proposed entries immediately.
type applyingProposer struct{ machine journal.StateMachine }

func (a applyingProposer) Propose(_ context.Context, e journal.Entry) error {
	return a.machine.Apply(journal.Position{}, e)
}

// TestQuotaChangeAppliesToNextCycle checks that a quota that is published or
// deleted while this node places tasks is in force from the next cycle on.
func TestQuotaChangeAppliesToNextCycle(t *testing.T) {
	configs := config.NewStateMachine()
	publisher := config.NewPublisher(configs, applyingProposer{configs})
	s := (&Node{streams: &streams{configState: configs}}).newSchedulerState()
	now := time.Now()
	s.PutVM(scheduler.VM{ID: "v", Schedulable: true, Capacity: api.Resources{MilliCPU: 10, MemoryMB: 10}})
	one := api.Resources{MilliCPU: 1, MemoryMB: 1}
	spec := api.JobSpec{ID: "j", Team: "t", Class: api.ClassBatch, Tasks: 4, Resources: one, RunTime: time.Minute}
	s.PutJob(scheduler.Job{Spec: spec, Submitted: now, Pending: []uint32{0, 1, 2, 3}, Estimate: one})

	publish := func(basedOn api.Revision, deleted bool) api.Revision {
		t.Helper()
		rec := api.Record{Kind: api.KindQuota, Name: "t", SchemaVersion: 1, BasedOn: basedOn, Deleted: deleted}
		if !deleted {
			rec.Spec = json.RawMessage(`{"team":"t","weight":1,"max":{"milli_cpu":2,"memory_mb":2}}`)
		}
		revision, err := publisher.Publish(t.Context(), rec)
		if err != nil {
			t.Fatal(err)
		}
		return revision
	}
	revision := publish(0, false)
	if n := len(s.Cycle(now, 10).Starts); n != 2 {
		t.Fatalf("%d starts under the new quota, want 2", n)
	}
	publish(revision, true)
	if n := len(s.Cycle(now.Add(time.Second), 10).Starts); n != 2 {
		t.Fatalf("%d starts after the quota was deleted, want the other 2", n)
	}
}
