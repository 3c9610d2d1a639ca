package plan

import (
	"math"
	"testing"

	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// misfitProgress returns progress that no leader has recorded for a job with one step of two tasks.
func misfitProgress() map[string]*work.Progress {
	rows := func(tasks ...work.TaskProgress) []work.Occurrence {
		return []work.Occurrence{{Steps: [][]work.TaskProgress{tasks}}}
	}
	return map[string]*work.Progress{
		"more tasks":           {Occurrences: rows(work.TaskProgress{}, work.TaskProgress{}, work.TaskProgress{})},
		"more steps":           {Occurrences: []work.Occurrence{{Steps: make([][]work.TaskProgress, 2)}}},
		"unknown executor":     {Occurrences: rows(work.TaskProgress{Phase: work.Started, Run: 1})},
		"negative executor":    {Executors: []work.ExecutorIncarnation{{ID: "e0"}}, Occurrences: rows(work.TaskProgress{Phase: work.Started, Run: 1, ExecutorIndex: -1})},
		"unknown phase":        {Occurrences: rows(work.TaskProgress{Phase: 9})},
		"unknown state":        {State: 9},
		"negative occurrence":  {Occurrences: []work.Occurrence{{Number: math.MinInt64}}},
		"further occurrence":   {Occurrences: []work.Occurrence{{Number: math.MaxInt64}}},
		"ended beyond the job": {FinishedBelow: math.MaxInt64, FinishedOutOfOrder: []int{-1}},
	}
}

// Guards against a record that ends each leader in turn: one of its own format that doesn't fit the job's submission, as a damaged
// one or one of another build may be.
func TestMisfitRecordsEndNoLeader(t *testing.T) {
	step := oneTaskStep(1)
	step.TaskCount = 2
	huge, cyclic := oneTaskStep(1), oneTaskStep(1)
	huge.TaskCount, cyclic.DependsOn = math.MaxInt64, []int{0}
	specs := map[string]*work.Job{
		"no steps": {ID: work.ID{1}}, "too many tasks": {ID: work.ID{1}, Steps: []work.Step{huge}}, "a step that depends on itself": {ID: work.ID{1}, Steps: []work.Step{cyclic}},
	}
	play := func(name string, spec *work.Job, p *work.Progress) {
		env := newTestEnv(t, 1)
		env.submitJob(2, testQueue, oneTaskStep(1))
		spec.Queue, spec.Service = testQueue, testService
		if env.cell.AddJob(spec, p, env.now.UnixMilli(), env.now) {
			t.Errorf("%s: the job is planned", name)
		}
		if starts := env.cell.Plan(env.now); len(starts) != 1 {
			t.Errorf("%s: %d starts, want that of the other job", name, len(starts))
		}
	}
	for name, spec := range specs {
		play(name, spec, nil)
	}
	for name, p := range misfitProgress() {
		play(name, &work.Job{ID: work.ID{1}, Steps: []work.Step{step}}, p)
	}
}

func FuzzRestoredJob(f *testing.F) {
	for _, p := range misfitProgress() {
		data, err := work.EncodeProgress(p)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	step := oneTaskStep(1)
	step.TaskCount = 2
	f.Fuzz(func(t *testing.T, data []byte) {
		p, err := work.DecodeProgress(data)
		if err != nil {
			return
		}
		env := newTestEnv(t, 1)
		env.cell.AddJob(&work.Job{ID: work.ID{1}, Queue: testQueue, Service: testService, Steps: []work.Step{step}}, p, env.now.UnixMilli(), env.now)
		env.report("e0", nil, []platform.EndedRun{{Number: 1, Run: platform.Run{Task: work.TaskKey{StepKey: work.StepKey{Job: work.ID{1}}}, Number: 1}, Reason: platform.EndDone}})
		env.cell.DropExpired(env.now)
		env.cell.Plan(env.now) // must not panic
		env.cell.TakeDirtyRecords()
	})
}
