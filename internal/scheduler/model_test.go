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

// TestMain fixes the seed of the property tests, so that every run gives the
// same verdict.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// model is an independent ledger that plans are checked against.
type model struct {
	vms    map[api.VMID]VM
	quotas map[string]api.Resources
	jobs   map[api.JobID]Job
	held   map[api.TaskID]RunningTask
	told   map[api.TaskID]bool // pending, as far as the World was told
}

func newModel() *model {
	return &model{vms: map[api.VMID]VM{}, quotas: map[string]api.Resources{}, jobs: map[api.JobID]Job{}, held: map[api.TaskID]RunningTask{}, told: map[api.TaskID]bool{}}
}

func (m *model) use(of func(RunningTask) bool) (use api.Resources) {
	for _, r := range m.held {
		if of(r) {
			use = use.Add(r.Resources)
		}
	}
	return use
}

func (m *model) vmUse(id api.VMID) api.Resources {
	return m.use(func(r RunningTask) bool { return r.VM == id })
}

func (m *model) teamUse(team string) api.Resources {
	return m.use(func(r RunningTask) bool { return r.Team == team })
}

func (m *model) pending(j Job) (indexes []uint32) {
	for i := range j.Spec.Tasks {
		if _, has := m.held[api.TaskID{Job: j.Spec.ID, Index: i}]; !has {
			indexes = append(indexes, i)
			m.told[api.TaskID{Job: j.Spec.ID, Index: i}] = true
		}
	}
	return indexes
}

func (m *model) toldPending(j Job) (n int) {
	for i := range j.Spec.Tasks {
		if m.told[api.TaskID{Job: j.Spec.ID, Index: i}] {
			n++
		}
	}
	return n
}

// take checks a plan against the ledger and enters it.
func (m *model) take(p Plan, now time.Time) error {
	gangs := map[api.JobID]int{}
	for _, s := range p.Starts {
		j, vm := m.jobs[s.Task.Job], m.vms[s.VM]
		if j.Spec.ID == "" || !vm.Schedulable {
			return fmt.Errorf("start of %v on %+v: job unknown or VM closed", s.Task, vm)
		}
		if _, has := m.held[s.Task]; has {
			return fmt.Errorf("%v started twice", s.Task)
		}
		if vm.Quarantined && j.Spec.Class != api.ClassBatch || j.Avoid[s.VM] {
			return fmt.Errorf("%v started on refused VM %v", s.Task, s.VM)
		}
		if j.Spec.Class == api.ClassGang {
			if !s.Gang {
				return fmt.Errorf("%v not marked as a gang's", s.Task)
			}
			if gangs[j.Spec.ID] == 0 {
				gangs[j.Spec.ID] = m.toldPending(j)
			}
			gangs[j.Spec.ID]--
		}
		delete(m.told, s.Task)
		m.held[s.Task] = RunningTask{Task: s.Task, VM: s.VM, Team: j.Spec.Team, Class: j.Spec.Class, Priority: j.Spec.Priority,
			Resources: s.Resources, Checkpointable: j.Spec.Checkpointable, Started: now, ExpectedEnd: now.Add(j.Spec.RunTime)}
		if use := m.vmUse(s.VM); !use.Fits(vm.Capacity) {
			return fmt.Errorf("VM %v holds %v of %v", s.VM, use, vm.Capacity)
		}
		if max, has := m.quotas[j.Spec.Team]; has && !m.teamUse(j.Spec.Team).Fits(max) {
			return fmt.Errorf("team %v holds %v of %v", j.Spec.Team, m.teamUse(j.Spec.Team), max)
		}
		if limit := j.Spec.MaxPerRack; limit > 0 && m.inRack(j.Spec.ID, vm.Rack) > limit {
			return fmt.Errorf("job %v has more than %d in rack %v", j.Spec.ID, limit, vm.Rack)
		}
	}
	for id, missing := range gangs {
		if missing != 0 {
			return fmt.Errorf("gang %v lacks %d starts", id, missing)
		}
	}
	for _, p := range p.Preemptions {
		v, urgent := m.held[p.Task], m.jobs[p.Preemptor].Spec.Priority
		if !v.Checkpointable || v.Class != api.ClassBatch || v.Priority >= urgent {
			return fmt.Errorf("%+v preempted for priority %d", v, urgent)
		}
	}
	return nil
}

func (m *model) inRack(job api.JobID, rack string) (n uint32) {
	for id, r := range m.held {
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

// TestPlansKeepTheRules drives two equal worlds with random changes. Every
// plan must respect capacities, quotas and gangs, both worlds must plan the
// same, and the World's sums must agree with the ledger's.
func TestPlansKeepTheRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		worlds := [2]*State{NewState(), NewState()}
		policy := Config{Policy: api.PolicySpec{MaxPreemptions: 3}}
		schedulers := [2]*Scheduler{New(policy, rand.New(rand.NewPCG(1, 2))), New(policy, rand.New(rand.NewPCG(1, 2)))}
		each := func(do func(*State)) {
			do(worlds[0])
			do(worlds[1])
		}
		now := time.Unix(1_000_000, 0)
		nextJob := 0
		heldTask := func(t *rapid.T) RunningTask {
			held := sortedHeld(m)
			if len(held) == 0 {
				t.Skip("nothing runs")
			}
			return rapid.SampledFrom(held).Draw(t, "task")
		}
		t.Repeat(map[string]func(*rapid.T){
			"put VM": func(t *rapid.T) {
				n := rapid.IntRange(0, 7).Draw(t, "vm")
				vm := VM{ID: api.VMID(fmt.Sprintf("vm-%d", n)), DataCentre: api.DataCentre(fmt.Sprintf("dc-%d", n%2)), Rack: fmt.Sprintf("rack-%d", n/2),
					Capacity:    api.Resources{MilliCPU: 8000, MemoryMB: 16000, Accelerators: int64(n%4) / 3 * 2},
					Schedulable: rapid.IntRange(0, 4).Draw(t, "open") > 0,
					Quarantined: rapid.IntRange(0, 6).Draw(t, "quarantine") == 0}
				m.vms[vm.ID] = vm
				each(func(w *State) { w.PutVM(vm) })
			},
			"remove VM": func(t *rapid.T) {
				id := api.VMID(fmt.Sprintf("vm-%d", rapid.IntRange(0, 7).Draw(t, "vm")))
				delete(m.vms, id)
				each(func(w *State) { w.RemoveVM(id) })
			},
			"put job": func(t *rapid.T) {
				nextJob++
				j := drawJob(t, nextJob%12)
				j.Submitted = now
				for i := range uint32(6) {
					delete(m.told, api.TaskID{Job: j.Spec.ID, Index: i})
				}
				m.jobs[j.Spec.ID] = j
				j.Pending = m.pending(j)
				each(func(w *State) { w.PutJob(j) })
			},
			"remove job": func(t *rapid.T) {
				id := api.JobID(fmt.Sprintf("job-%d", rapid.IntRange(0, 11).Draw(t, "job")))
				delete(m.jobs, id)
				each(func(w *State) { w.RemoveJob(id) })
			},
			"quota": func(t *rapid.T) {
				q := api.QuotaSpec{Team: "red", Weight: 2, Max: api.Resources{MilliCPU: rapid.Int64Range(1, 20).Draw(t, "cpu") * 1000, MemoryMB: 30000, Accelerators: 1}}
				m.quotas[q.Team] = q.Max
				each(func(w *State) { w.PutQuota(q) })
			},
			"end task": func(t *rapid.T) {
				r := heldTask(t)
				delete(m.held, r.Task)
				again := rapid.Bool().Draw(t, "again")
				j, has := m.jobs[r.Task.Job]
				if has && again {
					j.Pending = m.pending(j)
				}
				each(func(w *State) {
					w.Vacate(r.Task)
					if has && again {
						w.PutJob(j)
					}
				})
			},
			"cycle": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "seconds")) * time.Second)
				limit := rapid.IntRange(1, 20).Draw(t, "limit")
				plan := schedulers[0].Cycle(worlds[0], now, limit)
				if other := schedulers[1].Cycle(worlds[1], now, limit); !reflect.DeepEqual(plan, other) {
					t.Fatalf("plans differ:\n%+v\n%+v", plan, other)
				}
				if err := m.take(plan, now); err != nil {
					t.Fatal(err)
				}
				if len(plan.Starts) < limit {
					checkNothingOverlooked(t, worlds[0])
				}
				reject := rapid.IntRange(0, 3).Draw(t, "reject") == 0
				for _, s := range plan.Starts {
					r := m.held[s.Task]
					if reject {
						delete(m.held, s.Task)
						m.told[s.Task] = true
					}
					if reject {
						each(func(w *State) { w.Release(s.Task) })
					} else {
						each(func(w *State) { w.Occupy(r) })
					}
				}
			},
			"": func(t *rapid.T) {
				for id := range m.vms {
					want := m.vms[id].Capacity.Sub(m.vmUse(id))
					if free, _ := worlds[0].Free(id); free != want {
						t.Fatalf("VM %v: free %v, want %v", id, free, want)
					}
				}
				for _, team := range []string{"red", "blue", "green"} {
					if use := worlds[0].TeamUsage(team); use != m.teamUse(team) {
						t.Fatalf("team %v: use %v, want %v", team, use, m.teamUse(team))
					}
				}
				checkIndexes(t, worlds[0])
			},
		})
	})
}

// checkIndexes compares the World's indexes with what they index.
func checkIndexes(t *rapid.T, w *State) {
	for id, v := range w.vms {
		indexed := v.open() && v.hold == nil && !v.spare().Negative()
		if (v.part != nil) != indexed {
			t.Fatalf("VM %v: indexed %v, want %v", id, v.part != nil, indexed)
		}
		if v.part != nil && v.part.rows[v.at.accelerators][v.at.milliCPU].buckets[v.at.memory][v.pos] != v {
			t.Fatalf("VM %v is not where it says", id)
		}
		var nominated api.Resources
		for _, n := range w.nominations {
			if n.vm == v {
				nominated = nominated.Add(n.need)
			}
		}
		if nominated != v.nominated {
			t.Fatalf("VM %v: nominated %v, want %v", id, v.nominated, nominated)
		}
	}
	tasks := 0
	for id, j := range w.jobs {
		tasks += len(j.pending)
		if queued := len(j.pending) > 0 && !j.condemned; queued != (j.queue != nil) {
			t.Fatalf("job %v: %d pending, queued %v", id, len(j.pending), j.queue != nil)
		}
	}
	if tasks != w.queue.tasks {
		t.Fatalf("%d pending tasks counted, want %d", w.queue.tasks, tasks)
	}
}

// checkNothingOverlooked expects that no batch task was left waiting while a
// VM without accelerators had room for it, whatever was cached or skipped.
// What the cycle itself freed (a hold given up) is for the next one.
func checkNothingOverlooked(t *rapid.T, w *State) {
	for id, j := range w.jobs {
		if len(w.freed) > 0 || !j.isBatch() || j.queue == nil || !j.team.allows(j.need()) {
			continue
		}
		for _, v := range w.vms {
			if v.open() && v.hold == nil && v.Capacity.Accelerators == 0 && j.need().Fits(v.spare()) {
				t.Fatalf("job %v (%v) waits, VM %v has %v: %+v", id, j.need(), v.ID, v.spare(), j.verdict)
			}
		}
	}
}

func sortedHeld(m *model) []RunningTask {
	var held []RunningTask
	for n := range 12 {
		for i := range uint32(6) {
			if r, has := m.held[api.TaskID{Job: api.JobID(fmt.Sprintf("job-%d", n)), Index: i}]; has {
				held = append(held, r)
			}
		}
	}
	return held
}

// TestPlantedFaultsAreCaught spoils right plans and expects the ledger to
// object to each.
func TestPlantedFaultsAreCaught(t *testing.T) {
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
	for name, spoil := range faults {
		m, w := newModel(), NewState()
		for i := range 3 {
			vm := VM{ID: api.VMID(fmt.Sprintf("vm-%d", i)), Capacity: api.Resources{MilliCPU: 8000, MemoryMB: 16000}, Schedulable: true}
			m.vms[vm.ID] = vm
			w.PutVM(vm)
		}
		m.quotas["red"] = api.Resources{MilliCPU: 99000, MemoryMB: 24000}
		w.PutQuota(api.QuotaSpec{Team: "red", Max: m.quotas["red"]})
		job := Job{Spec: api.JobSpec{ID: "job-0", Team: "red", Class: api.ClassGang, Tasks: 3,
			Resources: api.Resources{MilliCPU: 5000, MemoryMB: 8000}}, Pending: []uint32{0, 1, 2}}
		m.jobs[job.Spec.ID] = job
		m.pending(job)
		w.PutJob(job)
		plan := New(Config{}, rand.New(rand.NewPCG(1, 1))).Cycle(w, time.Unix(0, 0), 10)
		if len(plan.Starts) != 3 {
			t.Fatalf("%s: gang not placed: %+v", name, plan)
		}
		spoil(&plan)
		if m.take(plan, time.Unix(0, 0)) == nil {
			t.Errorf("%s: not caught", name)
		}
	}
}
