package plan

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// capacityOfCPUs returns the capacity of an executor with n processors.
func capacityOfCPUs(n int64) api.Resources { return api.Resources{MilliCPU: n * 1000, MemoryMB: 64000} }

// setCapacity changes an executor's capacity in the registry.
func (env *testEnv) setCapacity(id string, capacity api.Resources) {
	e := *env.registry[id]
	e.Capacity = capacity
	registry := maps.Clone(env.registry)
	registry[id] = &e
	env.registry = registry
	env.cell.UpdateExecutors(registry, env.now)
}

// Between planning and sending, the leader may read that an executor's capacity has been
// reduced. Starts that no longer fit must not be sent.
func TestPlannedStartIsNotSentToShrunkExecutor(t *testing.T) {
	env := newTestEnv(t, 1)
	env.submitJob(1, testQueue, work.Step{TaskCount: 3, TaskResources: cpus(8), Estimate: time.Second})
	starts := env.cell.Plan(env.now)
	if len(starts) != 3 {
		t.Fatalf("%d starts planned, want 3", len(starts))
	}
	env.saveRecords()
	env.setCapacity("e0", capacityOfCPUs(17))
	if orders := env.cell.Confirm(starts, env.now); len(orders) != 2 {
		t.Errorf("%d starts are sent to an executor on which 2 fit", len(orders))
	}
}

func TestGangIsNotPartlySentToShrunkExecutor(t *testing.T) {
	env := newTestEnv(t, 1)
	env.submitJob(1, testQueue, work.Step{TaskCount: 3, TaskResources: cpus(8), Estimate: time.Second, Gang: true})
	starts := env.cell.Plan(env.now)
	env.saveRecords()
	env.setCapacity("e0", capacityOfCPUs(17))
	if orders := env.cell.Confirm(starts, env.now); len(orders) != 0 {
		t.Errorf("starts of %d members of a gang of 3 are sent", len(orders))
	}
}

// Steps are checked for due advice calls at intervals. When an executor's capacity grows, they
// must be checked at once.
func TestGrownCapacityTriggersAdviceCheck(t *testing.T) {
	env := newTestEnv(t, 2)
	for _, id := range []string{"e0", "e1"} {
		env.setCapacity(id, capacityOfCPUs(1))
	}
	env.submitJob(1, testAdvisedQueue, work.Step{TaskCount: 2, TaskResources: cpus(8), Estimate: time.Second})
	env.runCycle()
	dispatcher := acceptingDispatcher{}
	first := env.cell.AdviceCalls(env.now, dispatcher)
	for _, a := range first {
		env.cell.HandleGrants(a, grants(a.Executors...), 2*time.Second, env.now)
	}
	env.runCycle()
	env.cell.AdviceCalls(env.now, dispatcher)
	env.setCapacity("e0", capacityOfCPUs(32))
	env.runCycle()
	for _, s := range env.cell.waitingSteps {
		if env.now.Before(s.advice.nextCheck) {
			t.Errorf("step %v is not checked for an advice call for another %v", s.key(), s.advice.nextCheck.Sub(env.now))
		}
	}
}

// Capacities change, so a job whose tasks fit on no executor must wait and not fail.
func TestJobWaitsForLargeEnoughExecutor(t *testing.T) {
	sim := newCrashSimulation(t, 2, firstTaskCrashes())
	for _, id := range sim.liveIDs() {
		sim.setCapacity(id, capacityOfCPUs(4))
	}
	j := sim.submitJob(1, testQueue, work.Step{TaskCount: 2, TaskResources: cpus(9), Estimate: time.Second})
	sim.runFor(20 * time.Second)
	if state := sim.durableState(j.ID); state.Final() {
		t.Fatalf("the job is %v while it fits on no executor", state)
	}
	sim.setCapacity("e0", capacityOfCPUs(32))
	sim.runFor(3 * time.Second)
	if state := sim.durableState(j.ID); state != work.Completed {
		t.Errorf("the job is %v after an executor has become large enough", state)
	}
}

// Timing of changes of capacity.
const (
	capacityGracePeriod = 4500 * time.Millisecond // time after which a reduced capacity has to be respected
	maxReadDelay        = 3300 * time.Millisecond // longest time from a change until the leader reads the record
)

// resizeSimulation is a simulation in which the capacities of executors change. Executors
// carry out starts that exceed their capacity.
type resizeSimulation struct {
	*crashSimulation
	rand       *rand.Rand
	capacities map[string][]capacitySince
	lastRead   map[string]time.Time // when the newest capacity that the leader has read was set
	checked    map[platform.Run]bool
}

// capacitySince is the capacity of an executor from a time on.
type capacitySince struct {
	since    time.Time
	capacity api.Resources
}

// changeCapacity gives an executor another capacity, which the leader reads later.
func (r *resizeSimulation) changeCapacity(id string) {
	capacity := capacityOfCPUs(4 + r.rand.Int64N(29))
	r.capacities[id] = append(r.capacities[id], capacitySince{r.now, capacity})
	changedAt := r.now
	r.after(time.Duration(r.rand.Int64N(int64(maxReadDelay))), func() {
		if changedAt.After(r.lastRead[id]) {
			r.lastRead[id] = changedAt
			r.setCapacity(id, capacity)
		}
	})
}

// maxAllowedMilliCPU returns the largest capacity that the leader may still assume of the
// executor.
func (r *resizeSimulation) maxAllowedMilliCPU(id string) int64 {
	allowed := int64(0)
	for i, period := range r.capacities[id] {
		until := r.now
		if i+1 < len(r.capacities[id]) {
			until = r.capacities[id][i+1].since
		}
		if i+1 == len(r.capacities[id]) || r.now.Sub(until) <= capacityGracePeriod {
			allowed = max(allowed, period.capacity.MilliCPU)
		}
	}
	return allowed
}

// findOverfilled describes an executor that a new run has brought over its capacity, or
// returns "" if there is none.
func (r *resizeSimulation) findOverfilled() string {
	for _, id := range r.liveIDs() {
		used, hasNewRun := int64(0), false
		for run := range r.executors[id].running {
			used += r.submittedJobs[run.Task.Job].Steps[run.Task.Step].TaskResources.MilliCPU
			hasNewRun = hasNewRun || !r.checked[run]
			r.checked[run] = true
		}
		if hasNewRun && used > r.maxAllowedMilliCPU(id) {
			return fmt.Sprintf("a start brings %s to %d of %d thousandths of a processor", id, used, r.maxAllowedMilliCPU(id))
		}
	}
	return ""
}

// The leader reads changes of capacity late. Once it must know of one, no start may bring an
// executor over its capacity.
func TestStartsNeverOverfillResizedExecutors(t *testing.T) {
	t.Parallel()
	const seeds = 30
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := &resizeSimulation{
				crashSimulation: newCrashSimulation(t, 6, func(k work.TaskKey) behaviour {
					return behaviour{runTime: time.Duration(300+200*(k.Index%9)) * time.Millisecond}
				}),
				rand:       rand.New(rand.NewPCG(seed, 1)),
				capacities: make(map[string][]capacitySince),
				lastRead:   make(map[string]time.Time),
				checked:    make(map[platform.Run]bool),
			}
			for _, id := range r.liveIDs() {
				r.capacities[id] = []capacitySince{{r.now, r.registry[id].Capacity}}
			}
			startedAt, nextChange, n := r.now, r.now, byte(0)
			for r.now.Sub(startedAt) < 40*time.Second {
				if !r.now.Before(nextChange) && r.now.Sub(startedAt) < 25*time.Second {
					n++
					r.submitJob(n, testQueue, work.Step{TaskCount: 1 + r.rand.IntN(12), TaskResources: cpus(1 + r.rand.Int64N(9)), Estimate: time.Second, Gang: r.rand.IntN(4) == 0})
					r.changeCapacity(r.liveIDs()[r.rand.IntN(len(r.liveIDs()))])
					nextChange = r.now.Add(time.Duration(100+r.rand.Int64N(400)) * time.Millisecond)
				}
				r.runFor(simulationStep)
				if violation := r.findOverfilled(); violation != "" {
					t.Fatalf("after %v: %s", r.now.Sub(startedAt), violation)
				}
			}
		})
	}
}
