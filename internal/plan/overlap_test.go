package plan

import (
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// maxStoredRecord is the platform's limit of a record, in bytes.
const maxStoredRecord = 256 << 10

// All occurrences of a job that are due when it is accepted were started at once, and the record of its
// progress grew beyond what the store takes.
func TestLateOccurrencesStartAsOthersEnd(t *testing.T) {
	const occurrences = 10_000
	env := newTestEnv(t, 8)
	step := work.Step{TaskCount: 2, TaskResources: cpus(0), Estimate: time.Second}
	second, third := step, step
	second.DependsOn, third.DependsOn = []int{0}, []int{1}
	j := &work.Job{
		ID: work.ID{1}, Queue: testQueue, Service: testService, AcceptedMs: env.now.UnixMilli(), Steps: []work.Step{step, second, third},
		Repetitions: occurrences, Interval: time.Second, FirstRunMs: env.now.Add(-2 * occurrences * time.Second).UnixMilli(),
	}
	env.submit(j)
	started := make(map[work.TaskKey]bool)
	newest, largest := -1, 0
	numbers := make(map[string]uint64)
	for cycles := 0; env.cell.jobs[j.ID] != nil && cycles < 1000; cycles++ {
		orders := env.runCycle()
		data, err := work.EncodeProgress(env.savedProgress[j.ID])
		if err != nil {
			t.Fatal(err)
		}
		largest = max(largest, len(data))
		ends := make(map[string][]platform.EndedRun)
		for _, o := range orders {
			task := o.Start.Run.Task
			if started[task] {
				t.Fatalf("task %v is started again", task)
			}
			started[task] = true
			if task.Step == 0 && task.Occurrence > newest+1 {
				t.Fatalf("occurrence %d starts after occurrence %d", task.Occurrence, newest)
			}
			newest = max(newest, task.Occurrence)
			id := o.Start.To.ID
			numbers[id]++
			ends[id] = append(ends[id], platform.EndedRun{Number: numbers[id], Run: o.Start.Run, Reason: platform.EndDone})
		}
		env.confirmStarts(orders)
		env.advance(200 * time.Millisecond)
		for id := range env.registry {
			env.report(id, nil, ends[id])
		}
	}
	if len(started) != 6*occurrences || env.savedProgress[j.ID] == nil {
		t.Errorf("%d tasks were started, want %d", len(started), 6*occurrences)
	}
	if largest > maxStoredRecord {
		t.Errorf("the record of progress has up to %d bytes, the store takes %d", largest, maxStoredRecord)
	}
	t.Logf("largest record: %d bytes", largest)
}
