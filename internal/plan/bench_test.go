package plan

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/fleet"
	"github.com/skylarklock/skylarklock/internal/logging"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/queue"
	"github.com/skylarklock/skylarklock/internal/work"
)

// benchTable has a queue with the advice of one of the users' queues, and one whose runs
// yield to its gangs.
func benchTable() *queue.Configuration {
	return &queue.Configuration{
		Queues: []queue.Queue{{Name: testAdvised, Service: testService, MaxAttempts: 2, Stretch: 2, TargetLatency: time.Second,
			Advice: &queue.Advice{DecisionTime: 182 * time.Millisecond, TimePerVM: 2600 * time.Microsecond, TicketValidity: 2 * time.Second}},
			{Name: testQueue, Service: testService, Priority: 1, MaxAttempts: 2, Stretch: 40, TargetLatency: time.Second}},
		Services: map[string]queue.Service{testService: {Name: testService}},
	}
}

// fullCell returns a cell of which five sixths of the processors are in use, by
// tasks of 5.5 processors that end over the next 3 s, and as many waiting steps of
// 16 such tasks as it has executors, with some grants each. A third of the tasks at work
// would yield to a gang.
func fullCell(executors int) (*Cell, time.Time) {
	random := rand.New(rand.NewPCG(1, 2))
	now := testStart
	c := NewCell(DefaultConfig(), func(work.ID) *work.Job { return nil }, logging.Silent(), now.Add(-time.Minute))
	c.Configure(benchTable())
	listed := make(map[string]*fleet.Executor)
	for i := range executors {
		id := fmt.Sprintf("i-%010x", i)
		listed[id] = &fleet.Executor{
			Ref: platform.ExecutorRef{ID: id, Address: "10.0.0.1:1"}, Service: testService, Labels: []string{"a", fmt.Sprintf("r%d", i/12)},
			Capacity: api.Resources{MilliCPU: 32000, MemoryMB: 65536},
		}
	}
	c.UpdateExecutors(listed, now)
	c.AddJob(&work.Job{ID: work.ID{3}, Queue: testQueue, Service: testService, Steps: []work.Step{{
		TaskCount: 6 * executors, TaskResources: api.Resources{MilliCPU: 5500, MemoryMB: 7900}, Estimate: 3 * time.Second, SavesCheckpoints: true,
	}}}, nil, now.UnixMilli(), now)
	rosters := c.jobs[work.ID{3}].activeOccurrences[0].steps[0]
	c.waitingSteps = nil // all of it is at work
	for i, v := range c.sortedVMs {
		c.HandleReport(Hold{To: v.Ref, Order: platform.HoldOrder{FencingToken: c.fencingToken(v)}}, platform.ExecutorReport{Clock: 1}, now, now)
		for k := range 4 + random.IntN(2) {
			run := platform.Run{Task: work.TaskKey{StepKey: work.StepKey{Job: work.ID{1, byte(i), byte(i >> 8)}}, Index: k}, Number: 1}
			cl := &allocation{run: run, resources: api.Resources{MilliCPU: 5500, MemoryMB: 7900}, state: stateRunning, runningSince: now.Add(-time.Second), expectedEnd: now.Add(time.Duration(random.IntN(3000)) * time.Millisecond)}
			if k < 2 {
				cl.task = rosters.tasks[6*i+k]
			}
			v.addAllocation(cl)
		}
	}
	for i := range executors {
		j := &work.Job{ID: work.ID{2, byte(i), byte(i >> 8)}, Queue: testAdvised, Service: testService, Steps: []work.Step{{
			TaskCount: 16, TaskResources: api.Resources{MilliCPU: 5500, MemoryMB: 7900}, Estimate: 3 * time.Second, Gang: i%3 == 0,
		}}}
		c.AddJob(j, nil, now.UnixMilli(), now)
		var named []string
		var grants []platform.Grant
		for range 60 {
			id := c.sortedVMs[random.IntN(executors)].Ref.ID
			named = append(named, id)
			if random.IntN(10) < 4 {
				grants = append(grants, platform.Grant{Executor: id, Ticket: "t"})
			}
		}
		c.HandleGrants(AdviceCall{Step: work.StepKey{Job: j.ID}, Executors: named}, grants, 2*time.Second, now)
	}
	c.orderSteps(now)
	return c, now
}

// nobody has time for a call when it comes to it, so that asking changes nothing.
type nobody struct{}

func (nobody) Free(queue.CallTime) bool { return true }
func (nobody) Take(queue.CallTime) bool { return false }

// One look at all steps that wait, whether a call for advice is due. With 540
// executors and steps it took 52 ms when each step worked out anew what room is
// expected where, and looked its grants up by name, and 14 when that is shared by
// all steps (one machine, 20 rounds). With 350, executors without room are passed over
// before what is known of them is looked up: 7.9 ms before, 5.0 now.
func BenchmarkAdviceCalls(b *testing.B) {
	for _, executors := range []int{48, 350, 540} {
		b.Run(fmt.Sprint(executors), func(b *testing.B) {
			c, now := fullCell(executors)
			c.Plan(now) // uses the answers
			for b.Loop() {
				now = now.Add(time.Microsecond)
				c.resetCallChecks()
				c.AdviceCalls(now, nobody{})
			}
		})
	}
}

// One round of placing all steps that wait, of which none finds room. Gangs look for runs
// that would yield: with 350 executors each time 0.78 ms, with a pause after each that was
// in vain 0.19.
func BenchmarkPlan(b *testing.B) {
	for _, executors := range []int{48, 350, 540} {
		b.Run(fmt.Sprint(executors), func(b *testing.B) {
			c, now := fullCell(executors)
			c.Plan(now) // takes what room there is
			for b.Loop() {
				c.Plan(now)
			}
		})
	}
}
