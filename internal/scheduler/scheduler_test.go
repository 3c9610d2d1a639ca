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

// bench is a World of equal VMs with a scheduler and a virtual clock, in
// which every start applies at once.
type bench struct {
	*State
	s    *Scheduler
	now  time.Time
	runs map[api.TaskID]RunningTask
}

func newBench(vms int, capacity api.Resources, cfg Config) *bench {
	b := &bench{State: NewState(), s: New(cfg, rand.New(rand.NewPCG(7, 7))), now: time.Unix(0, 0), runs: map[api.TaskID]RunningTask{}}
	for i := range vms {
		b.PutVM(VM{ID: api.VMID(fmt.Sprintf("vm-%d", i)), DataCentre: "dc", Rack: fmt.Sprintf("rack-%d", i/2), Capacity: capacity, Schedulable: true})
	}
	return b
}

func job(id string, class api.Class, tasks uint32, cpu int64) api.JobSpec {
	return api.JobSpec{ID: api.JobID(id), Team: "team-" + id[:1], Class: class, Priority: api.PriorityDefault, Tasks: tasks,
		Resources: api.Resources{MilliCPU: cpu, MemoryMB: cpu}, RunTime: 10 * time.Second, Checkpointable: class == api.ClassBatch}
}

func (b *bench) submit(spec api.JobSpec) {
	j := Job{Spec: spec, Submitted: b.now}
	for i := range spec.Tasks {
		j.Pending = append(j.Pending, i)
	}
	b.PutJob(j)
}

// cycle plans and applies, and returns the plan.
func (b *bench) cycle() Plan {
	p := b.s.Cycle(b.State, b.now, 1000)
	for _, s := range p.Starts {
		spec := b.jobs[s.Task.Job].Spec
		r := RunningTask{Task: s.Task, VM: s.VM, Team: spec.Team, Class: spec.Class, Priority: spec.Priority, Resources: s.Resources,
			Checkpointable: spec.Checkpointable, Started: b.now, ExpectedEnd: b.now.Add(spec.RunTime)}
		b.runs[s.Task] = r
		b.Occupy(r)
	}
	return p
}

// advance lets a second pass and ends what is due, in a fixed order.
func (b *bench) advance() {
	b.now = b.now.Add(time.Second)
	var due []api.TaskID
	for id, r := range b.runs {
		if !r.ExpectedEnd.After(b.now) {
			due = append(due, id)
		}
	}
	slices.SortFunc(due, func(x, y api.TaskID) int { return cmp.Or(cmp.Compare(x.Job, y.Job), cmp.Compare(x.Index, y.Index)) })
	for _, id := range due {
		b.end(id)
	}
}

func (b *bench) end(id api.TaskID) {
	delete(b.runs, id)
	b.Vacate(id)
}

func started(p Plan) (ids []string) {
	for _, s := range p.Starts {
		ids = append(ids, fmt.Sprintf("%s/%d", s.Task.Job, s.Task.Index))
	}
	return ids
}

var small = api.Resources{MilliCPU: 4000, MemoryMB: 4000}

func TestOrder(t *testing.T) {
	Convey("Urgent goes first, then the team with the least weighted share, then the oldest", t, func() {
		b := newBench(1, api.Resources{MilliCPU: 7000, MemoryMB: 7000}, Config{})
		b.PutQuota(api.QuotaSpec{Team: "team-b", Max: small.Times(9), Weight: 2})
		b.submit(job("a1", api.ClassBatch, 3, 1000))
		b.submit(job("b1", api.ClassBatch, 3, 1000))
		b.submit(job("a2", api.ClassBatch, 3, 1000))
		urgent := job("c1", api.ClassBatch, 1, 1000)
		urgent.Priority = api.PriorityUrgent
		b.submit(urgent)
		So(started(b.cycle()), ShouldResemble, []string{"c1/0", "a1/0", "b1/0", "b1/1", "a1/1", "b1/2", "a1/2"})
		w, waits := b.Explain("a2")
		So(waits, ShouldBeTrue)
		So(w.Reason, ShouldEqual, api.ReasonNoCapacity)
		So(w.Detail, ShouldContainSubstring, "no VM has the processors free")
	})
	Convey("A quota is a hard bound, and the rest goes on", t, func() {
		b := newBench(2, small, Config{})
		b.PutQuota(api.QuotaSpec{Team: "team-a", Max: api.Resources{MilliCPU: 2500, MemoryMB: 9000}, Weight: 1})
		b.submit(job("a1", api.ClassBatch, 3, 1000))
		b.submit(job("b1", api.ClassBatch, 1, 1000))
		p := b.cycle()
		So(len(p.Starts), ShouldEqual, 3)
		So(p.Waiting, ShouldResemble, []WaitingJob{{Job: "a1", Reason: api.ReasonQuota, Detail: "team team-a holds cpu=2000m memory=2000MB accelerators=0 of " +
			"cpu=2500m memory=9000MB accelerators=0 and needs cpu=1000m memory=1000MB accelerators=0 more"}})
		So(b.cycle(), ShouldResemble, Plan{})
		b.end(api.TaskID{Job: "a1"})
		So(started(b.cycle()), ShouldResemble, []string{"a1/2"})
	})
	Convey("Jobs that can never run are told apart and block nothing", t, func() {
		b := newBench(3, small, Config{})
		b.PutQuota(api.QuotaSpec{Team: "team-q", Max: small, Weight: 1})
		b.submit(job("a1", api.ClassBatch, 1, 5000))
		b.submit(job("a2", api.ClassGang, 4, 3000))
		b.submit(job("q1", api.ClassGang, 2, 3000))
		b.submit(job("a3", api.ClassBatch, 1, 1000))
		p := b.cycle()
		So(started(p), ShouldResemble, []string{"a3/0"})
		So(p.Infeasible, ShouldResemble, []WaitingJob{
			{Job: "a1", Reason: api.ReasonNeverFits, Detail: "a task needs cpu=5000m memory=5000MB accelerators=0, the VMs it may use have at most cpu=4000m memory=4000MB accelerators=0"},
			{Job: "a2", Reason: api.ReasonNeverFits, Detail: "4 tasks of cpu=3000m memory=3000MB accelerators=0 at once, the VMs it may use have room for 3 when idle"},
			{Job: "q1", Reason: api.ReasonQuota, Detail: "needs cpu=6000m memory=6000MB accelerators=0 at once, the quota of team team-q is cpu=4000m memory=4000MB accelerators=0"}})
		b.PutVM(VM{ID: "large", DataCentre: "dc", Capacity: small.Times(2), Schedulable: true})
		So(started(b.cycle()), ShouldResemble, []string{"a1/0", "a2/0", "a2/1", "a2/2", "a2/3"})
	})
	Convey("A VM list that shrinks for a moment condemns nothing", t, func() {
		b := newBench(1, small, Config{})
		b.PutVM(VM{ID: "large", DataCentre: "dc", Capacity: small.Times(2), Schedulable: true})
		b.RemoveVM("large")
		b.submit(job("a1", api.ClassBatch, 1, 5000))
		So(b.cycle().Infeasible, ShouldBeEmpty)
		b.now = b.now.Add(2 * DefaultCapacityRetention)
		So(b.cycle().Infeasible, ShouldHaveLength, 1)
	})
}

func TestClasses(t *testing.T) {
	Convey("Services spread over racks, batch is packed", t, func() {
		b := newBench(8, small, Config{})
		spec := job("s1", api.ClassService, 5, 1000)
		spec.MaxPerRack = 1
		b.submit(spec)
		p := b.cycle()
		So(len(p.Starts), ShouldEqual, 4)
		So(p.Waiting[0].Reason, ShouldEqual, api.ReasonSpread)
		b.submit(job("a1", api.ClassBatch, 12, 1000))
		used := map[api.VMID]bool{}
		for _, s := range b.cycle().Starts {
			used[s.VM] = true
		}
		So(len(used), ShouldEqual, 4)
	})
	Convey("VMs with accelerators keep room for work that needs them", t, func() {
		b := newBench(1, small, Config{})
		b.PutVM(VM{ID: "accelerated", DataCentre: "dc", Capacity: api.Resources{MilliCPU: 4000, MemoryMB: 4000, Accelerators: 2}, Schedulable: true})
		for range 200 { // learn what such work needs
			spec := job("a0", api.ClassBatch, 1, 1000)
			spec.Resources.Accelerators = 1
			b.submit(spec)
			b.RemoveJob("a0")
		}
		b.submit(job("a0", api.ClassBatch, 4, 1000))
		So(len(b.cycle().Starts), ShouldEqual, 4)
		b.submit(job("a1", api.ClassBatch, 4, 1000))
		So(len(b.cycle().Starts), ShouldEqual, 2)
		spec := job("a2", api.ClassBatch, 2, 1000)
		spec.Resources.Accelerators = 1
		b.submit(spec)
		So(len(b.cycle().Starts), ShouldEqual, 2)
	})
	Convey("A quarantined VM takes one probe at a time, and none that may not fail", t, func() {
		b := newBench(0, small, Config{})
		b.PutVM(VM{ID: "bad", DataCentre: "dc", Capacity: small, Schedulable: true, Quarantined: true})
		once := job("b1", api.ClassBatch, 1, 1000)
		once.MaxAttempts = 1
		b.submit(once)
		p := b.cycle()
		So(p.Waiting[0].Reason, ShouldEqual, api.ReasonQuarantine)
		b.submit(job("a1", api.ClassBatch, 3, 1000))
		So(started(b.cycle()), ShouldResemble, []string{"a1/0"})
		b.now = b.now.Add(DefaultProbeInterval)
		So(b.cycle().Starts, ShouldBeEmpty)
		b.end(api.TaskID{Job: "a1"})
		So(started(b.cycle()), ShouldResemble, []string{"a1/1"})
	})
}

func TestGangs(t *testing.T) {
	Convey("Smaller work fills in before a waiting gang only if it ends in time", t, func() {
		b := newBench(2, small, Config{})
		b.submit(job("a1", api.ClassBatch, 1, 3000))
		b.cycle()
		b.submit(job("g1", api.ClassGang, 2, 4000))
		p := b.cycle()
		So(p.Waiting[0].Reason, ShouldEqual, api.ReasonGangWaiting)
		So(p.Waiting[0].Detail, ShouldEqual, "1 of 2 tasks of cpu=4000m memory=4000MB accelerators=0 have room; 2 VMs are held, expected free in 10s")
		long, short := job("l1", api.ClassBatch, 1, 1000), job("s1", api.ClassBatch, 1, 1000)
		long.RunTime = 11 * time.Second
		b.submit(long)
		b.submit(short)
		p = b.cycle()
		So(started(p), ShouldResemble, []string{"s1/0"})
		So(p.Waiting[0].Reason, ShouldEqual, api.ReasonBehindGang)
		for range 10 {
			b.advance()
		}
		So(started(b.cycle()), ShouldResemble, []string{"g1/0", "g1/1"})
	})
	Convey("Two gangs that each need more than half never hold half each", t, func() {
		b := newBench(4, small, Config{})
		b.submit(job("g1", api.ClassGang, 3, 4000))
		b.submit(job("h1", api.ClassGang, 3, 4000))
		done := 0
		for range 21 {
			done += len(b.cycle().Starts)
			b.advance()
		}
		So(done, ShouldEqual, 6)
	})
}

// flood keeps the bench full of small tasks of one team, and reports after
// how many seconds the wanted job started.
func (b *bench) flood(priority int, wanted api.JobID, most int) int {
	for second := range most {
		for i := range 40 {
			spec := job(fmt.Sprintf("f%d-%d", second, i), api.ClassBatch, 1, 1000)
			spec.Priority = priority
			spec.RunTime = time.Duration(5+i%7) * time.Second
			b.submit(spec)
		}
		for _, s := range b.cycle().Starts {
			if s.Task.Job == wanted {
				return second
			}
		}
		b.advance()
	}
	return most
}

func TestNothingStarves(t *testing.T) {
	cfg := Config{AgeStep: time.Minute, StarveAfter: 2 * time.Minute}
	flooded := func() *bench {
		b := newBench(5, small, cfg)
		b.flood(api.PriorityDefault, "", 20)
		return b
	}
	Convey("Under a flood of small tasks", t, func() {
		Convey("a gang over most of the fleet starts when what ran has ended", func() {
			b := flooded()
			b.submit(job("g1", api.ClassGang, 4, 4000))
			So(b.flood(api.PriorityDefault, "g1", 60), ShouldBeLessThanOrEqualTo, 12)
		})
		Convey("a task as large as a VM starts soon after it counts as starved", func() {
			b := flooded()
			b.submit(job("a1", api.ClassBatch, 1, 4000))
			So(b.flood(api.PriorityDefault, "a1", 300), ShouldBeBetween, 110, 150)
		})
		Convey("a job of the lowest priority rises to the top band, and has its fair share there", func() {
			b := flooded()
			spec := job("a1", api.ClassBatch, 1, 1000)
			spec.Priority = api.PriorityLowest
			b.submit(spec)
			So(b.flood(api.PriorityDefault+200, "a1", 600), ShouldBeBetween, 475, 500)
		})
	})
}

func TestPreemption(t *testing.T) {
	urgent := job("u1", api.ClassBatch, 1, 4000)
	urgent.Priority = api.PriorityUrgent
	Convey("Urgent work stops the cheapest victims and waits until they are gone", t, func() {
		b := newBench(3, small, Config{})
		dear, cheap, fixed := job("d1", api.ClassBatch, 4, 1000), job("c1", api.ClassBatch, 2, 2000), job("f1", api.ClassBatch, 1, 4000)
		dear.Priority = 500
		fixed.Checkpointable = false
		for _, spec := range []api.JobSpec{dear, cheap, fixed} {
			b.submit(spec)
			b.cycle()
		}
		b.submit(urgent)
		p := b.cycle()
		So(p.Preemptions, ShouldHaveLength, 2)
		So(p.Preemptions[0].Task.Job, ShouldEqual, api.JobID("c1"))
		So(p.Starts, ShouldBeEmpty)
		b.end(p.Preemptions[0].Task)
		b.submit(job("x1", api.ClassBatch, 1, 1000))
		So(b.cycle().Starts, ShouldBeEmpty) // the room is nominated
		b.end(p.Preemptions[1].Task)
		So(started(b.cycle()), ShouldResemble, []string{"u1/0"})
		So(b.nominations, ShouldBeEmpty)
	})
	Convey("Preemptions in a cycle are bounded, and go on in the next", t, func() {
		b := newBench(3, small, Config{Policy: api.PolicySpec{MaxPreemptions: 2}})
		b.submit(job("a1", api.ClassBatch, 3, 4000))
		b.cycle()
		wave := urgent
		wave.Tasks = 3
		b.submit(wave)
		So(b.cycle().Preemptions, ShouldHaveLength, 2)
		So(b.cycle().Preemptions, ShouldHaveLength, 1)
		So(b.cycle().Preemptions, ShouldBeEmpty)
	})
	Convey("An urgent gang has room made for all its tasks, or for none", t, func() {
		gang := urgent
		gang.Class, gang.Tasks = api.ClassGang, 3
		for most, stopped := range map[int]int{1: 0, 2: 2} {
			b := newBench(3, small, Config{Policy: api.PolicySpec{MaxPreemptions: most}})
			b.submit(job("a1", api.ClassBatch, 2, 4000))
			b.cycle()
			b.submit(gang)
			p := b.cycle()
			So(p.Preemptions, ShouldHaveLength, stopped)
			for i, v := range p.Preemptions {
				b.submit(job("x1", api.ClassBatch, 1, 1000))
				So(b.cycle().Starts, ShouldBeEmpty)
				b.end(v.Task)
				So(len(b.cycle().Starts), ShouldEqual, i*3)
			}
		}
	})
	Convey("A nomination whose victims do not stop is given up and made again", t, func() {
		b := newBench(1, small, Config{})
		b.submit(job("a1", api.ClassBatch, 1, 4000))
		b.cycle()
		b.submit(urgent)
		So(b.cycle().Preemptions, ShouldHaveLength, 1)
		b.now = b.now.Add(DefaultNominationTimeout)
		So(b.cycle().Preemptions, ShouldHaveLength, 1)
		b.RemoveJob("u1")
		So(b.nominations, ShouldBeEmpty)
	})
}

func TestNoWakeUpIsLost(t *testing.T) {
	Convey("A job that waits is tried again", t, func() {
		b := newBench(1, small, Config{})
		Convey("when a quarantined VM is due for a probe, with nothing freed", func() {
			b.PutVM(VM{ID: "bad", DataCentre: "dc", Capacity: small.Times(2), Schedulable: true, Quarantined: true})
			b.submit(job("a1", api.ClassBatch, 2, 5000))
			So(started(b.cycle()), ShouldResemble, []string{"a1/0"})
			b.end(api.TaskID{Job: "a1"})
			b.cycle()
			b.now = b.now.Add(DefaultProbeInterval)
			So(started(b.cycle()), ShouldResemble, []string{"a1/1"})
		})
		Convey("when its own limits allow more, or its task left a closed VM", func() {
			spec := job("s1", api.ClassService, 3, 1000)
			spec.MaxPerRack = 1
			b.submit(spec)
			So(b.cycle().Starts, ShouldHaveLength, 1)
			b.PutVM(VM{ID: "vm-9", DataCentre: "dc", Rack: "rack-0", Capacity: small, Schedulable: true})
			b.PutVM(VM{ID: "vm-0", DataCentre: "dc", Rack: "rack-0", Capacity: small})
			So(b.cycle().Starts, ShouldBeEmpty)
			b.end(api.TaskID{Job: "s1"})
			So(started(b.cycle()), ShouldResemble, []string{"s1/1"})
			spec.MaxPerRack = 2
			b.PutJob(Job{Spec: spec, Submitted: b.now, Pending: []uint32{2}})
			So(started(b.cycle()), ShouldResemble, []string{"s1/2"})
		})
		Convey("when a task that runs is reported to hold less", func() {
			b.submit(job("a1", api.ClassBatch, 1, 4000))
			b.cycle()
			b.submit(job("a2", api.ClassBatch, 1, 2000))
			So(b.cycle().Starts, ShouldBeEmpty)
			r := b.runs[api.TaskID{Job: "a1"}]
			r.Resources = api.Resources{MilliCPU: 2000, MemoryMB: 2000}
			b.Occupy(r)
			So(started(b.cycle()), ShouldResemble, []string{"a2/0"})
		})
	})
}
