package jobs

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/cell"
	"github.com/skylarklock/skylarklock/internal/config"
	"github.com/skylarklock/skylarklock/internal/counter"
	"github.com/skylarklock/skylarklock/internal/journal"
)

// directProposer applies each entry immediately.
type directProposer struct{ machines []journal.StateMachine }

func (d directProposer) Propose(_ context.Context, e journal.Entry) error {
	for _, m := range d.machines {
		for _, t := range m.Types() {
			if t == e.Type {
				return m.Apply(journal.Position{}, e)
			}
		}
	}
	return journal.ErrNotWritten
}

// fixedAuthority always holds the cell at epoch 1.
type fixedAuthority struct{}

func (fixedAuthority) Cell(time.Time) (api.Epoch, bool, time.Time) { return 1, true, time.Time{} }
func (fixedAuthority) CellEpoch() api.Epoch                        { return 1 }

func TestPublishedJobIsAddedOnceInItsHome(t *testing.T) {
	records, tasks, counters := config.NewStateMachine(), cell.New(fixedAuthority{}, counter.NewSet()), counter.NewSet()
	publisher := config.NewPublisher(records, directProposer{[]journal.StateMachine{records}})
	home := func(id string, _ []api.DataCentre) api.DataCentre { return api.DataCentre(id[:1]) }
	c := New(Config{DataCentre: "a", SelectHome: home}, records, tasks, directProposer{[]journal.StateMachine{tasks}}, publisher, fixedAuthority{}, counters, time.Now)

	publish := func(rec api.Record) api.Revision {
		t.Helper()
		rec.Kind, rec.SchemaVersion = api.KindBatchJob, 1
		revision, err := publisher.Publish(t.Context(), rec)
		if err != nil {
			t.Fatal(err)
		}
		return revision
	}
	spec := func(id string) json.RawMessage {
		return json.RawMessage(`{"id":"` + id + `","team":"t","tasks":2,"resources":{"milli_cpu":1,"memory_mb":1},"run_time_ns":1000000000}`)
	}
	first := publish(api.Record{Name: "a1", Spec: spec("a1")})
	publish(api.Record{Name: "b1", Spec: spec("b1")})
	c.Step(t.Context())
	if _, ok := tasks.Job("a1"); !ok {
		t.Fatal("the job of this data centre was not added")
	}
	if _, ok := tasks.Job("b1"); ok {
		t.Fatal("the job of another data centre was added")
	}
	if due := c.DueJobs(tasks.PublishedRevision()); len(due) != 0 {
		t.Fatalf("jobs still due: %v", due)
	}

	// A restored cell still knows the applied revision.
	data, err := tasks.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if err := tasks.Restore(data); err != nil || tasks.PublishedRevision() != first {
		t.Fatalf("got revision %d after a restore, error %v", tasks.PublishedRevision(), err)
	}

	publish(api.Record{Name: "a1", BasedOn: first, Deleted: true})
	c.Step(t.Context())
	if job, _ := tasks.Job("a1"); !job.Cancelled {
		t.Fatal("the deleted job was not cancelled")
	}

	// The record of an ended job is removed, but not that of another data centre's job.
	second := publish(api.Record{Name: "a2", Spec: spec("a2")})
	c.Step(t.Context())
	if _, ok := records.Job("a2"); !ok {
		t.Fatal("the record of a job that has not ended was removed")
	}
	if err := tasks.Apply(journal.Position{}, cell.CancelEntry([]api.JobID{"a2"}, 0)); err != nil {
		t.Fatal(err)
	}
	c.Step(t.Context())
	if _, ok := records.Job("a2"); ok {
		t.Fatalf("the record of revision %d was not removed after its job ended", second)
	}
	if _, ok := records.Job("b1"); !ok {
		t.Fatal("the record of another data centre's job was removed")
	}
}
