package scheduler

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"reflect"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of the property tests, so that every run has the same result.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// model is an independent ledger against which plans are checked.
type model struct {
	vms          map[api.VMID]VM
	quotas       map[string]api.Resources
	jobs         map[api.JobID]Job
	running      map[api.TaskID]RunningTask
	knownPending map[api.TaskID]bool // pending tasks that were passed to the State
}

func newModel() *model {
	return &model{vms: map[api.VMID]VM{}, quotas: map[string]api.Resources{}, jobs: map[api.JobID]Job{}, running: map[api.TaskID]RunningTask{}, knownPending: map[api.TaskID]bool{}}
}

func (m *model) usage(matches func(RunningTask) bool) (usage api.Resources) {
	for _, r := range m.running {
		if matches(r) {
			usage = usage.Add(r.Resources)
		}
	}
	return usage
}

func (m *model) vmUsage(id api.VMID) api.Resources {
	return m.usage(func(r RunningTask) bool { return r.VM == id })
}

func (m *model) teamUsage(team string) api.Resources {
	return m.usage(func(r RunningTask) bool { return r.Team == team })
}

func (m *model) pendingTasks(j Job) (indexes []uint32) {
	for i := range j.Spec.Tasks {
		if _, has := m.running[api.TaskID{Job: j.Spec.ID, Index: i}]; !has {
			indexes = append(indexes, i)
			m.knownPending[api.TaskID{Job: j.Spec.ID, Index: i}] = true
		}
	}
	return indexes
}

func (m *model) countKnownPending(j Job) (n int) {
	for i := range j.Spec.Tasks {
		if m.knownPending[api.TaskID{Job: j.Spec.ID, Index: i}] {
			n++
		}
	}
	return n
}

// checkAndApply checks a plan against the ledger and applies it.
func (m *model) checkAndApply(p Plan, now time.Time) error {
	gangs := map[api.JobID]int{}
	for _, s := range p.Starts {
		j, vm := m.jobs[s.Task.Job], m.vms[s.VM]
		if j.Spec.ID == "" || !vm.Schedulable {
			return fmt.Errorf("start of %v on %+v: job is unknown or VM is not schedulable", s.Task, vm)
		}
		if _, has := m.running[s.Task]; has {
			return fmt.Errorf("%v started twice", s.Task)
		}
		if vm.Quarantined && j.Spec.Class != api.ClassBatch || j.Avoid[s.VM] {
			return fmt.Errorf("%v started on excluded VM %v", s.Task, s.VM)
		}
		if j.Spec.Class == api.ClassGang {
			if !s.Gang {
				return fmt.Errorf("start of %v is not marked as part of a gang", s.Task)
			}
			if gangs[j.Spec.ID] == 0 {
				gangs[j.Spec.ID] = m.countKnownPending(j)
			}
			gangs[j.Spec.ID]--
		}
		delete(m.knownPending, s.Task)
		m.running[s.Task] = RunningTask{Task: s.Task, VM: s.VM, Team: j.Spec.Team, Class: j.Spec.Class, Priority: j.Spec.Priority,
			Resources: s.Resources, Checkpointable: j.Spec.Checkpointable, Started: now, ExpectedEnd: now.Add(j.Spec.RunTime)}
		if usage := m.vmUsage(s.VM); !usage.Fits(vm.Capacity) {
			return fmt.Errorf("VM %v has %v allocated of %v", s.VM, usage, vm.Capacity)
		}
		if quota, has := m.quotas[j.Spec.Team]; has && !m.teamUsage(j.Spec.Team).Fits(quota) {
			return fmt.Errorf("team %v has %v allocated of %v", j.Spec.Team, m.teamUsage(j.Spec.Team), quota)
		}
		if limit := j.Spec.MaxPerRack; limit > 0 && m.tasksInRack(j.Spec.ID, vm.Rack) > limit {
			return fmt.Errorf("job %v has more than %d in rack %v", j.Spec.ID, limit, vm.Rack)
		}
	}
	for id, missing := range gangs {
		if missing != 0 {
			return fmt.Errorf("gang %v: %d starts are missing", id, missing)
		}
	}
	for _, p := range p.Preemptions {
		v, urgent := m.running[p.Task], m.jobs[p.Preemptor].Spec.Priority
		if !v.Checkpointable || v.Class != api.ClassBatch || v.Priority >= urgent {
			return fmt.Errorf("%+v preempted for priority %d", v, urgent)
		}
	}
	return nil
}

func (m *model) tasksInRack(job api.JobID, rack string) (n uint32) {
	for id, r := range m.running {
		if id.Job == job && id.Index < m.jobs[job].Spec.Tasks && m.vms[r.VM].Rack == rack {
			n++
		}
	}
	return n
}

func drawJob(t *rapid.T, id int) Job {
	class := rapid.SampledFrom([]api.Class{api.ClassBatch, api.ClassBatch, api.ClassService, api.ClassGang}).Draw(t, "class")
	spec := api.JobSpec{
		ID: api.JobID(fmt.Sprintf("job-%d", id)), Class: class,
		Team:     rapid.SampledFrom([]string{"red", "blue", "green"}).Draw(t, "team"),
		Priority: rapid.SampledFrom([]int{0, 100, 100, 300, 950}).Draw(t, "priority"),
		Tasks:    rapid.Uint32Range(1, 6).Draw(t, "tasks"),
		Resources: api.Resources{MilliCPU: rapid.SampledFrom([]int64{250, 1000, 3000, 7000, 20000}).Draw(t, "cpu"),
			MemoryMB: rapid.SampledFrom([]int64{256, 2000, 9000}).Draw(t, "memory"), Accelerators: rapid.SampledFrom([]int64{0, 0, 0, 1, 2}).Draw(t, "accelerators")},
		Checkpointable: class == api.ClassBatch && rapid.Bool().Draw(t, "checkpointable"),
	}
	if class == api.ClassService {
		spec.MaxPerRack = rapid.Uint32Range(0, 2).Draw(t, "per rack")
	} else {
		spec.RunTime = time.Duration(rapid.IntRange(0, 600).Draw(t, "seconds")) * time.Second
	}
	return Job{Spec: spec}
}

// TestPlansKeepTheRules applies the same random changes to two equal states. Every plan
// must respect capacities, quotas and gangs, the plans of both states must be equal, and
// the totals of the first state must agree with the ledger.
func TestPlansKeepTheRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		states := [2]*State{NewState(), NewState()}
		policy := Config{Policy: api.PolicySpec{MaxPreemptions: 3}}
		schedulers := [2]*Scheduler{New(policy, rand.New(rand.NewPCG(1, 2))), New(policy, rand.New(rand.NewPCG(1, 2)))}
		each := func(do func(*State)) {
			do(states[0])
			do(states[1])
		}
		now := time.Unix(1_000_000, 0)
		nextJob := 0
		runningTask := func(t *rapid.T) RunningTask {
			running := sortedRunning(m)
			if len(running) == 0 {
				t.Skip("nothing runs")
			}
			return rapid.SampledFrom(running).Draw(t, "task")
		}
		t.Repeat(map[string]func(*rapid.T){
			"put VM": func(t *rapid.T) {
				n := rapid.IntRange(0, 7).Draw(t, "vm")
				vm := VM{ID: api.VMID(fmt.Sprintf("vm-%d", n)), DataCentre: api.DataCentre(fmt.Sprintf("dc-%d", n%2)), Rack: fmt.Sprintf("rack-%d", n/2),
					Capacity:    api.Resources{MilliCPU: 8000, MemoryMB: 16000, Accelerators: int64(n%4) / 3 * 2},
					Schedulable: rapid.IntRange(0, 4).Draw(t, "open") > 0,
					Quarantined: rapid.IntRange(0, 6).Draw(t, "quarantine") == 0}
				m.vms[vm.ID] = vm
				each(func(st *State) { st.PutVM(vm) })
			},
			"remove VM": func(t *rapid.T) {
				id := api.VMID(fmt.Sprintf("vm-%d", rapid.IntRange(0, 7).Draw(t, "vm")))
				delete(m.vms, id)
				each(func(st *State) { st.RemoveVM(id) })
			},
			"put job": func(t *rapid.T) {
				nextJob++
				j := drawJob(t, nextJob%12)
				j.Submitted = now
				for i := range uint32(6) {
					delete(m.knownPending, api.TaskID{Job: j.Spec.ID, Index: i})
				}
				m.jobs[j.Spec.ID] = j
				j.Pending = m.pendingTasks(j)
				each(func(st *State) { st.PutJob(j) })
			},
			"remove job": func(t *rapid.T) {
				id := api.JobID(fmt.Sprintf("job-%d", rapid.IntRange(0, 11).Draw(t, "job")))
				delete(m.jobs, id)
				each(func(st *State) { st.RemoveJob(id) })
			},
			"quota": func(t *rapid.T) {
				q := api.QuotaSpec{Team: "red", Weight: 2, Max: api.Resources{MilliCPU: rapid.Int64Range(1, 20).Draw(t, "cpu") * 1000, MemoryMB: 30000, Accelerators: 1}}
				m.quotas[q.Team] = q.Max
				each(func(st *State) { st.PutQuota(q) })
			},
			"end task": func(t *rapid.T) {
				r := runningTask(t)
				delete(m.running, r.Task)
				again := rapid.Bool().Draw(t, "again")
				j, has := m.jobs[r.Task.Job]
				if has && again {
					j.Pending = m.pendingTasks(j)
				}
				each(func(st *State) {
					st.Vacate(r.Task)
					if has && again {
						st.PutJob(j)
					}
				})
			},
			"cycle": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "seconds")) * time.Second)
				limit := rapid.IntRange(1, 20).Draw(t, "limit")
				plan := schedulers[0].Cycle(states[0], now, limit)
				if other := schedulers[1].Cycle(states[1], now, limit); !reflect.DeepEqual(plan, other) {
					t.Fatalf("plans differ:\n%+v\n%+v", plan, other)
				}
				if err := m.checkAndApply(plan, now); err != nil {
					t.Fatal(err)
				}
				if len(plan.Starts) < limit {
					checkNothingOverlooked(t, states[0])
				}
				reject := rapid.IntRange(0, 3).Draw(t, "reject") == 0
				for _, s := range plan.Starts {
					r := m.running[s.Task]
					if reject {
						delete(m.running, s.Task)
						m.knownPending[s.Task] = true
					}
					if reject {
						each(func(st *State) { st.Release(s.Task) })
					} else {
						each(func(st *State) { st.Occupy(r) })
					}
				}
			},
			"": func(t *rapid.T) {
				for id := range m.vms {
					want := m.vms[id].Capacity.Sub(m.vmUsage(id))
					if free, _ := states[0].Free(id); free != want {
						t.Fatalf("VM %v: free %v, want %v", id, free, want)
					}
				}
				for _, team := range []string{"red", "blue", "green"} {
					if usage := states[0].TeamUsage(team); usage != m.teamUsage(team) {
						t.Fatalf("team %v: usage %v, want %v", team, usage, m.teamUsage(team))
					}
				}
				checkIndexes(t, states[0])
			},
		})
	})
}

// checkIndexes compares the indexes of the State with the indexed values.
func checkIndexes(t *rapid.T, st *State) {
	for id, v := range st.vms {
		indexed := v.acceptsWork() && v.hold == nil && !v.available().HasNegative()
		if (v.indexPartition != nil) != indexed {
			t.Fatalf("VM %v: indexed %v, want %v", id, v.indexPartition != nil, indexed)
		}
		if v.indexPartition != nil && v.indexPartition.rows[v.bucketAt.accelerators][v.bucketAt.milliCPU].buckets[v.bucketAt.memory][v.bucketPos] != v {
			t.Fatalf("VM %v is not at its recorded index position", id)
		}
		var nominated api.Resources
		for _, n := range st.nominations {
			if n.vm == v {
				nominated = nominated.Add(n.need)
			}
		}
		if nominated != v.nominated {
			t.Fatalf("VM %v: nominated %v, want %v", id, v.nominated, nominated)
		}
	}
	tasks := 0
	for id, j := range st.jobs {
		tasks += len(j.pending)
		if queued := len(j.pending) > 0 && !j.infeasible; queued != (j.queue != nil) {
			t.Fatalf("job %v: %d pending, queued %v", id, len(j.pending), j.queue != nil)
		}
	}
	if tasks != st.queue.tasks {
		t.Fatalf("%d pending tasks counted, want %d", st.queue.tasks, tasks)
	}
}

// checkNothingOverlooked checks that no batch task waits while it fits a VM without
// accelerators, regardless of cached statuses and skipped searches. Capacity that the
// cycle itself freed, by dropping a hold, is considered in the next cycle.
func checkNothingOverlooked(t *rapid.T, st *State) {
	for id, j := range st.jobs {
		if len(st.freed) > 0 || !j.isBatch() || j.queue == nil || !j.team.allows(j.need()) {
			continue
		}
		for _, v := range st.vms {
			if v.acceptsWork() && v.hold == nil && v.Capacity.Accelerators == 0 && j.need().Fits(v.available()) {
				t.Fatalf("job %v (%v) waits although VM %v has %v available: %+v", id, j.need(), v.ID, v.available(), j.status)
			}
		}
	}
}

func sortedRunning(m *model) []RunningTask {
	var running []RunningTask
	for n := range 12 {
		for i := range uint32(6) {
			if r, has := m.running[api.TaskID{Job: api.JobID(fmt.Sprintf("job-%d", n)), Index: i}]; has {
				running = append(running, r)
			}
		}
	}
	return running
}

// TestInjectedFaultsAreDetected modifies correct plans and expects the model to reject each
// of them.
func TestInjectedFaultsAreDetected(t *testing.T) {
	faults := map[string]func(*Plan){
		"half a gang":   func(p *Plan) { p.Starts = p.Starts[1:] },
		"gang unmarked": func(p *Plan) { p.Starts[0].Gang = false },
		"over capacity": func(p *Plan) { p.Starts[0].VM = p.Starts[1].VM },
		"twice":         func(p *Plan) { p.Starts[1].Task = p.Starts[0].Task },
		"over quota":    func(p *Plan) { p.Starts[0].Resources.MemoryMB += 5000 },
		"unknown VM":    func(p *Plan) { p.Starts[0].VM = "vm-9" },
		"service stopped": func(p *Plan) {
			p.Preemptions = append(p.Preemptions, Preemption{Task: p.Starts[0].Task, Preemptor: "job-0"})
		},
	}
	for name, modify := range faults {
		m, st := newModel(), NewState()
		for i := range 3 {
			vm := VM{ID: api.VMID(fmt.Sprintf("vm-%d", i)), Capacity: api.Resources{MilliCPU: 8000, MemoryMB: 16000}, Schedulable: true}
			m.vms[vm.ID] = vm
			st.PutVM(vm)
		}
		m.quotas["red"] = api.Resources{MilliCPU: 99000, MemoryMB: 24000}
		st.PutQuota(api.QuotaSpec{Team: "red", Max: m.quotas["red"]})
		job := Job{Spec: api.JobSpec{ID: "job-0", Team: "red", Class: api.ClassGang, Tasks: 3,
			Resources: api.Resources{MilliCPU: 5000, MemoryMB: 8000}}, Pending: []uint32{0, 1, 2}}
		m.jobs[job.Spec.ID] = job
		m.pendingTasks(job)
		st.PutJob(job)
		plan := New(Config{}, rand.New(rand.NewPCG(1, 1))).Cycle(st, time.Unix(0, 0), 10)
		if len(plan.Starts) != 3 {
			t.Fatalf("%s: gang not placed: %+v", name, plan)
		}
		modify(&plan)
		if m.checkAndApply(plan, time.Unix(0, 0)) == nil {
			t.Errorf("%s: not detected", name)
		}
	}
}
