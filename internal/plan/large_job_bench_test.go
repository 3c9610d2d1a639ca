package plan

import (
	"fmt"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/internal/logging"
	"github.com/skylarklock/skylarklock/internal/work"
)

// BenchmarkAddJob adds jobs of many steps and dependencies to a cell.
func BenchmarkAddJob(b *testing.B) {
	for _, c := range []struct{ steps, dependencies int }{{10, 1}, {100, 1}, {1000, 1}, {10_000, 1}, {100, 100}, {2000, 50}} {
		b.Run(fmt.Sprintf("steps=%d/dependencies=%d", c.steps, c.dependencies), func(b *testing.B) {
			j := &work.Job{ID: work.ID{1}, Queue: testQueue, Service: testService}
			for i := range c.steps {
				s := work.Step{TaskCount: 1, TaskResources: cpus(1), Estimate: time.Second}
				for before := max(0, i-c.dependencies); before < i; before++ {
					s.DependsOn = append(s.DependsOn, before)
				}
				j.Steps = append(j.Steps, s)
			}
			for b.Loop() {
				cell := NewCell(DefaultConfig(), func(work.ID) *work.Job { return nil }, logging.Nop(), testStart)
				cell.Configure(testQueueConfig())
				cell.AddJob(j, nil, 0, testStart)
				cell.Plan(testStart)
			}
		})
	}
}
