package plan

import (
	"fmt"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/queue"
	"github.com/skylarklock/skylarklock/internal/work"
)

// newCellWithWaitingGangs returns a busy cell in which 100 gangs of 20 tasks wait for capacity,
// each with grants of three in ten executors of up to 300.
func newCellWithWaitingGangs(executors int) (*Cell, time.Time) {
	c, now := newBusyCell(executors)
	c.queueConfig.QueueNamed(testAdvisedQueue).Advice = &queue.Advice{DecisionTime: 442 * time.Millisecond, TimePerVM: 6370 * time.Microsecond, TicketValidity: 2 * time.Second}
	for _, v := range c.vms {
		for _, alloc := range v.allocations {
			alloc.task = nil // preemption would make room
		}
	}
	for _, s := range c.waitingSteps {
		c.Cancel(s.job.spec.ID)
	}
	for i := range 100 {
		j := &work.Job{ID: work.ID{4, byte(i)}, Queue: testAdvisedQueue, Service: testService, AcceptedMs: now.UnixMilli(), Steps: []work.Step{{
			TaskCount: 20, TaskResources: cpus(9), Estimate: 3400 * time.Millisecond, Gang: true,
		}}}
		c.AddJob(j, nil, now.UnixMilli(), now)
		var named []string
		for k := range min(executors, 300) {
			named = append(named, c.sortedVMs[(k+i*executors/100)%executors].Ref.ID)
		}
		var granted []platform.Grant
		for k := 0; k < len(named); k += 3 {
			granted = append(granted, platform.Grant{Executor: named[k], Ticket: "t"})
		}
		c.HandleGrants(AdviceCall{Step: work.StepKey{Job: j.ID}, Executors: named}, granted, 2*time.Second, now)
	}
	return c, now
}

// BenchmarkGathering measures one planning pass with 100 waiting gangs. A fleet of thousands has
// more room within the share for plans.
func BenchmarkGathering(b *testing.B) {
	for _, executors := range []int{350, 3000} {
		b.Run(fmt.Sprint(executors), func(b *testing.B) {
			c, now := newCellWithWaitingGangs(executors)
			c.Plan(now)
			for i := 0; b.Loop(); i++ {
				// The time stays within the age of the executors' reports.
				c.Plan(now.Add(time.Duration(i%10) * 40 * time.Millisecond))
			}
			b.ReportMetric(float64(len(c.gangs.(*gathering).steps)), "plans")
		})
	}
}
