package scheduler

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/skylarklock/skylarklock/api"
)

// harness is a State of equal VMs with a scheduler and a virtual clock. Every start is
// applied immediately.
type harness struct {
	*State
	scheduler *Scheduler
	now       time.Time
	running   map[api.TaskID]RunningTask
}

func newHarness(vms int, capacity api.Resources, cfg Config) *harness {
	h := &harness{State: NewState(), scheduler: New(cfg, rand.New(rand.NewPCG(7, 7))), now: time.Unix(0, 0), running: map[api.TaskID]RunningTask{}}
	for i := range vms {
		h.PutVM(VM{ID: api.VMID(fmt.Sprintf("vm-%d", i)), DataCentre: "dc", Rack: fmt.Sprintf("rack-%d", i/2), Capacity: capacity, Schedulable: true})
	}
	return h
}

func job(id string, class api.Class, tasks uint32, cpu int64) api.JobSpec {
	return api.JobSpec{ID: api.JobID(id), Team: "team-" + id[:1], Class: class, Priority: api.PriorityDefault, Tasks: tasks,
		Resources: api.Resources{MilliCPU: cpu, MemoryMB: cpu}, RunTime: 10 * time.Second, Checkpointable: class == api.ClassBatch}
}

func (h *harness) submit(spec api.JobSpec) {
	j := Job{Spec: spec, Submitted: h.now}
	for i := range spec.Tasks {
		j.Pending = append(j.Pending, i)
	}
	h.PutJob(j)
}

// cycle plans, applies the starts and returns the plan.
func (h *harness) cycle() Plan {
	p := h.scheduler.Cycle(h.State, h.now, 1000)
	for _, s := range p.Starts {
		spec := h.jobs[s.Task.Job].Spec
		r := RunningTask{Task: s.Task, VM: s.VM, Team: spec.Team, Class: spec.Class, Priority: spec.Priority, Resources: s.Resources,
			Checkpointable: spec.Checkpointable, Started: h.now, ExpectedEnd: h.now.Add(spec.RunTime)}
		h.running[s.Task] = r
		h.Occupy(r)
	}
	return p
}

// advance advances the clock by a second and ends the tasks that are due, in a
// deterministic order.
func (h *harness) advance() {
	h.now = h.now.Add(time.Second)
	var due []api.TaskID
	for id, r := range h.running {
		if !r.ExpectedEnd.After(h.now) {
			due = append(due, id)
		}
	}
	slices.SortFunc(due, func(x, y api.TaskID) int { return cmp.Or(cmp.Compare(x.Job, y.Job), cmp.Compare(x.Index, y.Index)) })
	for _, id := range due {
		h.end(id)
	}
}

func (h *harness) end(id api.TaskID) {
	delete(h.running, id)
	h.Vacate(id)
}

func started(p Plan) (ids []string) {
	for _, s := range p.Starts {
		ids = append(ids, fmt.Sprintf("%s/%d", s.Task.Job, s.Task.Index))
	}
	return ids
}

var small = api.Resources{MilliCPU: 4000, MemoryMB: 4000}

func TestOrder(t *testing.T) {
	Convey("Urgent jobs go first, then the team with the smallest weighted share, then the oldest job", t, func() {
		h := newHarness(1, api.Resources{MilliCPU: 7000, MemoryMB: 7000}, Config{})
		h.PutQuota(api.QuotaSpec{Team: "team-b", Max: small.Mul(9), Weight: 2})
		h.submit(job("a1", api.ClassBatch, 3, 1000))
		h.submit(job("b1", api.ClassBatch, 3, 1000))
		h.submit(job("a2", api.ClassBatch, 3, 1000))
		urgent := job("c1", api.ClassBatch, 1, 1000)
		urgent.Priority = api.PriorityUrgent
		h.submit(urgent)
		So(started(h.cycle()), ShouldResemble, []string{"c1/0", "a1/0", "b1/0", "b1/1", "a1/1", "b1/2", "a1/2"})
		w, waits := h.Explain("a2")
		So(waits, ShouldBeTrue)
		So(w.Reason, ShouldEqual, api.ReasonNoCapacity)
		So(w.Detail, ShouldContainSubstring, "no VM has the processors free")
	})
	Convey("A quota is a hard limit and does not block other teams", t, func() {
		h := newHarness(2, small, Config{})
		h.PutQuota(api.QuotaSpec{Team: "team-a", Max: api.Resources{MilliCPU: 2500, MemoryMB: 9000}, Weight: 1})
		h.submit(job("a1", api.ClassBatch, 3, 1000))
		h.submit(job("b1", api.ClassBatch, 1, 1000))
		p := h.cycle()
		So(len(p.Starts), ShouldEqual, 3)
		So(p.Waiting, ShouldResemble, []WaitingJob{{Job: "a1", Reason: api.ReasonQuota, Detail: "team team-a holds cpu=2000m memory=2000MB accelerators=0 of " +
			"cpu=2500m memory=9000MB accelerators=0 and needs cpu=1000m memory=1000MB accelerators=0 more"}})
		So(h.cycle(), ShouldResemble, Plan{})
		h.end(api.TaskID{Job: "a1"})
		So(started(h.cycle()), ShouldResemble, []string{"a1/2"})
	})
	Convey("Jobs that can never run are reported as infeasible and block no other job", t, func() {
		h := newHarness(3, small, Config{})
		h.PutQuota(api.QuotaSpec{Team: "team-q", Max: small, Weight: 1})
		h.submit(job("a1", api.ClassBatch, 1, 5000))
		h.submit(job("a2", api.ClassGang, 4, 3000))
		h.submit(job("q1", api.ClassGang, 2, 3000))
		h.submit(job("a3", api.ClassBatch, 1, 1000))
		p := h.cycle()
		So(started(p), ShouldResemble, []string{"a3/0"})
		So(p.Infeasible, ShouldResemble, []WaitingJob{
			{Job: "a1", Reason: api.ReasonNeverFits, Detail: "a task needs cpu=5000m memory=5000MB accelerators=0, the VMs it may use have at most cpu=4000m memory=4000MB accelerators=0"},
			{Job: "a2", Reason: api.ReasonNeverFits, Detail: "4 tasks of cpu=3000m memory=3000MB accelerators=0 at once, the VMs it may use have room for 3 when idle"},
			{Job: "q1", Reason: api.ReasonQuota, Detail: "needs cpu=6000m memory=6000MB accelerators=0 at once, the quota of team team-q is cpu=4000m memory=4000MB accelerators=0"}})
		h.PutVM(VM{ID: "large", DataCentre: "dc", Capacity: small.Mul(2), Schedulable: true})
		So(started(h.cycle()), ShouldResemble, []string{"a1/0", "a2/0", "a2/1", "a2/2", "a2/3"})
	})
	Convey("A temporarily shortened VM list makes no job infeasible", t, func() {
		h := newHarness(1, small, Config{})
		h.PutVM(VM{ID: "large", DataCentre: "dc", Capacity: small.Mul(2), Schedulable: true})
		h.RemoveVM("large")
		h.submit(job("a1", api.ClassBatch, 1, 5000))
		So(h.cycle().Infeasible, ShouldBeEmpty)
		h.now = h.now.Add(2 * DefaultCapacityRetention)
		So(h.cycle().Infeasible, ShouldHaveLength, 1)
	})
}

func TestClasses(t *testing.T) {
	Convey("Services are spread over racks, batch tasks are packed", t, func() {
		h := newHarness(8, small, Config{})
		spec := job("s1", api.ClassService, 5, 1000)
		spec.MaxPerRack = 1
		h.submit(spec)
		p := h.cycle()
		So(len(p.Starts), ShouldEqual, 4)
		So(p.Waiting[0].Reason, ShouldEqual, api.ReasonSpread)
		h.submit(job("a1", api.ClassBatch, 12, 1000))
		used := map[api.VMID]bool{}
		for _, s := range h.cycle().Starts {
			used[s.VM] = true
		}
		So(len(used), ShouldEqual, 4)
	})
	Convey("VMs with accelerators keep headroom for work that needs accelerators", t, func() {
		h := newHarness(1, small, Config{})
		h.PutVM(VM{ID: "accelerated", DataCentre: "dc", Capacity: api.Resources{MilliCPU: 4000, MemoryMB: 4000, Accelerators: 2}, Schedulable: true})
		for range 200 { // so that the average need per accelerator is learned
			spec := job("a0", api.ClassBatch, 1, 1000)
			spec.Resources.Accelerators = 1
			h.submit(spec)
			h.RemoveJob("a0")
		}
		h.submit(job("a0", api.ClassBatch, 4, 1000))
		So(len(h.cycle().Starts), ShouldEqual, 4)
		h.submit(job("a1", api.ClassBatch, 4, 1000))
		So(len(h.cycle().Starts), ShouldEqual, 2)
		spec := job("a2", api.ClassBatch, 2, 1000)
		spec.Resources.Accelerators = 1
		h.submit(spec)
		So(len(h.cycle().Starts), ShouldEqual, 2)
	})
	Convey("A quarantined VM gets one probe at a time, and no task of a job with only one attempt", t, func() {
		h := newHarness(0, small, Config{})
		h.PutVM(VM{ID: "bad", DataCentre: "dc", Capacity: small, Schedulable: true, Quarantined: true})
		once := job("b1", api.ClassBatch, 1, 1000)
		once.MaxAttempts = 1
		h.submit(once)
		p := h.cycle()
		So(p.Waiting[0].Reason, ShouldEqual, api.ReasonQuarantine)
		h.submit(job("a1", api.ClassBatch, 3, 1000))
		So(started(h.cycle()), ShouldResemble, []string{"a1/0"})
		h.now = h.now.Add(DefaultProbeInterval)
		So(h.cycle().Starts, ShouldBeEmpty)
		h.end(api.TaskID{Job: "a1"})
		So(started(h.cycle()), ShouldResemble, []string{"a1/1"})
	})
}

func TestGangs(t *testing.T) {
	Convey("Smaller tasks are backfilled before a waiting gang only if they end in time", t, func() {
		h := newHarness(2, small, Config{})
		h.submit(job("a1", api.ClassBatch, 1, 3000))
		h.cycle()
		h.submit(job("g1", api.ClassGang, 2, 4000))
		p := h.cycle()
		So(p.Waiting[0].Reason, ShouldEqual, api.ReasonGangWaiting)
		So(p.Waiting[0].Detail, ShouldEqual, "1 of 2 tasks of cpu=4000m memory=4000MB accelerators=0 have room; 2 VMs are held, expected free in 10s")
		long, short := job("l1", api.ClassBatch, 1, 1000), job("s1", api.ClassBatch, 1, 1000)
		long.RunTime = 11 * time.Second
		h.submit(long)
		h.submit(short)
		p = h.cycle()
		So(started(p), ShouldResemble, []string{"s1/0"})
		So(p.Waiting[0].Reason, ShouldEqual, api.ReasonBehindGang)
		for range 10 {
			h.advance()
		}
		So(started(h.cycle()), ShouldResemble, []string{"g1/0", "g1/1"})
	})
	Convey("Two gangs that each need more than half of the fleet do not deadlock", t, func() {
		h := newHarness(4, small, Config{})
		h.submit(job("g1", api.ClassGang, 3, 4000))
		h.submit(job("h1", api.ClassGang, 3, 4000))
		done := 0
		for range 21 {
			done += len(h.cycle().Starts)
			h.advance()
		}
		So(done, ShouldEqual, 6)
	})
}

// floodUntilStarted keeps the harness full of small tasks of one team. It returns after
// how many seconds the wanted job started, or limit if it did not.
func (h *harness) floodUntilStarted(priority int, wanted api.JobID, limit int) int {
	for second := range limit {
		for i := range 40 {
			spec := job(fmt.Sprintf("f%d-%d", second, i), api.ClassBatch, 1, 1000)
			spec.Priority = priority
			spec.RunTime = time.Duration(5+i%7) * time.Second
			h.submit(spec)
		}
		for _, s := range h.cycle().Starts {
			if s.Task.Job == wanted {
				return second
			}
		}
		h.advance()
	}
	return limit
}

func TestNothingStarves(t *testing.T) {
	cfg := Config{AgeStep: time.Minute, StarveAfter: 2 * time.Minute}
	flooded := func() *harness {
		h := newHarness(5, small, cfg)
		h.floodUntilStarted(api.PriorityDefault, "", 20)
		return h
	}
	Convey("Under a flood of small tasks", t, func() {
		Convey("a gang that needs most of the fleet starts when the earlier tasks have ended", func() {
			h := flooded()
			h.submit(job("g1", api.ClassGang, 4, 4000))
			So(h.floodUntilStarted(api.PriorityDefault, "g1", 60), ShouldBeLessThanOrEqualTo, 12)
		})
		Convey("a task as large as a VM starts soon after StarveAfter", func() {
			h := flooded()
			h.submit(job("a1", api.ClassBatch, 1, 4000))
			So(h.floodUntilStarted(api.PriorityDefault, "a1", 300), ShouldBeBetween, 110, 150)
		})
		Convey("a job of the lowest priority is promoted to the highest non-urgent band and gets its fair share there", func() {
			h := flooded()
			spec := job("a1", api.ClassBatch, 1, 1000)
			spec.Priority = api.PriorityLowest
			h.submit(spec)
			So(h.floodUntilStarted(api.PriorityDefault+200, "a1", 600), ShouldBeBetween, 475, 500)
		})
	})
}

func TestPreemption(t *testing.T) {
	urgent := job("u1", api.ClassBatch, 1, 4000)
	urgent.Priority = api.PriorityUrgent
	Convey("Urgent work preempts the cheapest victims and waits until they have stopped", t, func() {
		h := newHarness(3, small, Config{})
		expensive, cheap, notCheckpointable := job("d1", api.ClassBatch, 4, 1000), job("c1", api.ClassBatch, 2, 2000), job("f1", api.ClassBatch, 1, 4000)
		expensive.Priority = 500
		notCheckpointable.Checkpointable = false
		for _, spec := range []api.JobSpec{expensive, cheap, notCheckpointable} {
			h.submit(spec)
			h.cycle()
		}
		h.submit(urgent)
		p := h.cycle()
		So(p.Preemptions, ShouldHaveLength, 2)
		So(p.Preemptions[0].Task.Job, ShouldEqual, api.JobID("c1"))
		So(p.Starts, ShouldBeEmpty)
		h.end(p.Preemptions[0].Task)
		h.submit(job("x1", api.ClassBatch, 1, 1000))
		So(h.cycle().Starts, ShouldBeEmpty) // the freed capacity is nominated
		h.end(p.Preemptions[1].Task)
		So(started(h.cycle()), ShouldResemble, []string{"u1/0"})
		So(h.nominations, ShouldBeEmpty)
	})
	Convey("Preemptions per cycle are bounded and continue in the next cycle", t, func() {
		h := newHarness(3, small, Config{Policy: api.PolicySpec{MaxPreemptions: 2}})
		h.submit(job("a1", api.ClassBatch, 3, 4000))
		h.cycle()
		wave := urgent
		wave.Tasks = 3
		h.submit(wave)
		So(h.cycle().Preemptions, ShouldHaveLength, 2)
		So(h.cycle().Preemptions, ShouldHaveLength, 1)
		So(h.cycle().Preemptions, ShouldBeEmpty)
	})
	Convey("An urgent gang preempts for all of its tasks or for none", t, func() {
		gang := urgent
		gang.Class, gang.Tasks = api.ClassGang, 3
		for maxPreemptions, preempted := range map[int]int{1: 0, 2: 2} {
			h := newHarness(3, small, Config{Policy: api.PolicySpec{MaxPreemptions: maxPreemptions}})
			h.submit(job("a1", api.ClassBatch, 2, 4000))
			h.cycle()
			h.submit(gang)
			p := h.cycle()
			So(p.Preemptions, ShouldHaveLength, preempted)
			for i, v := range p.Preemptions {
				h.submit(job("x1", api.ClassBatch, 1, 1000))
				So(h.cycle().Starts, ShouldBeEmpty)
				h.end(v.Task)
				So(len(h.cycle().Starts), ShouldEqual, i*3)
			}
		}
	})
	Convey("A nomination whose victims do not stop expires and is made again", t, func() {
		h := newHarness(1, small, Config{})
		h.submit(job("a1", api.ClassBatch, 1, 4000))
		h.cycle()
		h.submit(urgent)
		So(h.cycle().Preemptions, ShouldHaveLength, 1)
		h.now = h.now.Add(DefaultNominationTimeout)
		So(h.cycle().Preemptions, ShouldHaveLength, 1)
		h.RemoveJob("u1")
		So(h.nominations, ShouldBeEmpty)
	})
}

func TestNoWakeUpIsLost(t *testing.T) {
	Convey("A waiting job is retried", t, func() {
		h := newHarness(1, small, Config{})
		Convey("when a quarantined VM is due for a probe, although no capacity was freed", func() {
			h.PutVM(VM{ID: "bad", DataCentre: "dc", Capacity: small.Mul(2), Schedulable: true, Quarantined: true})
			h.submit(job("a1", api.ClassBatch, 2, 5000))
			So(started(h.cycle()), ShouldResemble, []string{"a1/0"})
			h.end(api.TaskID{Job: "a1"})
			h.cycle()
			h.now = h.now.Add(DefaultProbeInterval)
			So(started(h.cycle()), ShouldResemble, []string{"a1/1"})
		})
		Convey("when its own limits are raised, or its task left an unschedulable VM", func() {
			spec := job("s1", api.ClassService, 3, 1000)
			spec.MaxPerRack = 1
			h.submit(spec)
			So(h.cycle().Starts, ShouldHaveLength, 1)
			h.PutVM(VM{ID: "vm-9", DataCentre: "dc", Rack: "rack-0", Capacity: small, Schedulable: true})
			h.PutVM(VM{ID: "vm-0", DataCentre: "dc", Rack: "rack-0", Capacity: small})
			So(h.cycle().Starts, ShouldBeEmpty)
			h.end(api.TaskID{Job: "s1"})
			So(started(h.cycle()), ShouldResemble, []string{"s1/1"})
			spec.MaxPerRack = 2
			h.PutJob(Job{Spec: spec, Submitted: h.now, Pending: []uint32{2}})
			So(started(h.cycle()), ShouldResemble, []string{"s1/2"})
		})
		Convey("when a running task is reported to use less", func() {
			h.submit(job("a1", api.ClassBatch, 1, 4000))
			h.cycle()
			h.submit(job("a2", api.ClassBatch, 1, 2000))
			So(h.cycle().Starts, ShouldBeEmpty)
			r := h.running[api.TaskID{Job: "a1"}]
			r.Resources = api.Resources{MilliCPU: 2000, MemoryMB: 2000}
			h.Occupy(r)
			So(started(h.cycle()), ShouldResemble, []string{"a2/0"})
		})
	})
}

func TestHoldIsKeptUntilItsReplacementIsCertain(t *testing.T) {
	Convey("A job that can't get a hold displaces none", t, func() {
		h := newHarness(4, small, Config{MaxHolds: 2, HoldShare: 1})
		h.submit(job("a1", api.ClassBatch, 4, 4000))
		h.cycle()
		for _, id := range []string{"g1", "g2"} {
			h.submit(job(id, api.ClassGang, 2, 4000))
			h.cycle()
		}
		first, second := h.jobs["g1"].hold, h.jobs["g2"].hold
		So(first, ShouldNotBeNil)
		So(second, ShouldNotBeNil)
		wide := job("h1", api.ClassGang, 3, 4000) // the VMs of one hold are too few for it
		wide.Priority = api.PriorityUrgent - 1
		h.submit(wide)
		h.cycle()
		So(h.jobs["h1"].hold, ShouldBeNil)
		So(h.holds, ShouldResemble, []*hold{first, second})
		for _, p := range second.placements {
			So(p.vm.hold, ShouldEqual, second)
			So(p.vm.indexPartition, ShouldBeNil)
		}
		Convey("and one that can displaces the newest hold of the lowest band", func() {
			narrow := wide
			narrow.ID, narrow.Tasks = "h2", 2
			h.submit(narrow)
			h.cycle()
			So(h.jobs["h2"].hold, ShouldNotBeNil)
			So(h.jobs["g1"].hold, ShouldEqual, first)
			So(h.jobs["g2"].hold, ShouldBeNil)
		})
	})
}
