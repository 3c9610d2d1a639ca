package plan

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/gather"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/queue"
	"github.com/skylarklock/skylarklock/internal/work"
)

// wholeExecutorReservations is the former way of holding capacity for gangs: each pass reserves
// whole executors anew for the first two gangs that don't fit, and other tasks use them if they
// should end before the gang's start by their plain estimate.
type wholeExecutorReservations struct {
	cell    *Cell
	gangs   int
	holding []*vm
}

func (r *wholeExecutorReservations) begin(time.Time) {
	for _, v := range r.holding {
		v.held = nil
	}
	r.holding, r.gangs = nil, 0
}

func (r *wholeExecutorReservations) gather(s *step, tasks int, now time.Time) {
	if r.gangs == 2 {
		return
	}
	for _, ahead := range []time.Duration{250, 500, 1000, 2000, 4000, 8000} {
		ahead *= time.Millisecond
		vms := r.withCapacityAt(s, tasks, now.Add(ahead), now)
		if vms == nil {
			continue
		}
		for _, v := range vms {
			if len(v.held) == 0 {
				// The margin on estimates is cancelled out.
				startsIn := time.Duration(backfillMargin * float64(ahead))
				v.held = []heldSlots{{gang: s, resources: v.Capacity, startsIn: startsIn}}
				r.holding = append(r.holding, v)
			}
		}
		r.gangs++
		return
	}
}

func (r *wholeExecutorReservations) withCapacityAt(s *step, n int, at, now time.Time) []*vm {
	q := r.cell.queueOf(s.job)
	type offer struct {
		vm    *vm
		slots int
	}
	var offers []offer
	for _, v := range r.cell.permittedVMs(s, q) {
		if slots := v.slotsAt(s, at, now); slots > 0 && r.cell.suitable(s, q, v, now) {
			offers = append(offers, offer{v, slots})
		}
	}
	slices.SortStableFunc(offers, func(a, b offer) int { return b.slots - a.slots })
	var chosen []*vm
	for _, o := range offers {
		chosen = append(chosen, o.vm)
		if n -= o.slots; n <= 0 {
			return chosen
		}
	}
	return nil
}

func (r *wholeExecutorReservations) drop(*step, gather.Cause)         {}
func (r *wholeExecutorReservations) planOf(*step) *gather.Reservation { return nil }
func (r *wholeExecutorReservations) addSummary(logrus.Fields)         {}

// loadKind is one kind of jobs of a simulated load.
type loadKind struct {
	queue     string
	perSecond float64
	meanTasks float64
	maxTasks  int
	work      time.Duration // mean run time
	milliCPU  int64
	gang      bool
	due       float64 // number of jobs that are due, less the part of the time to the next
}

// fullCell simulates a cell that is full of jobs, with advice calls that take time.
type fullCell struct {
	*testEnv
	arrivals *rand.Rand
	random   *rand.Rand
	kinds    []loadKind
	ids      []string // executors
	jobs     map[work.ID]*loadJob
	nextID   uint32
	runs     map[string]map[platform.Run]*loadRun // by executor
	reported map[string]uint64
	calls    []*loadCall
	machines int
}

type loadJob struct {
	kind     *loadKind
	tasks    int
	arrived  time.Time
	started  time.Time // when all tasks had started
	left     int
	overhead time.Duration
	inTimeBy time.Time // latest start in time
}

type loadRun struct{ startedAt, endsAt time.Time }

type loadCall struct {
	call AdviceCall
	at   time.Time
}

// Free implements AdviceDispatcher.
func (f *fullCell) Free(queue.CallTime) bool { return len(f.calls) < f.machines }

// Take implements AdviceDispatcher.
func (f *fullCell) Take(queue.CallTime) bool {
	if len(f.calls) >= f.machines {
		return false
	}
	f.calls = append(f.calls, nil)
	return true
}

func fullCellConfig() *queue.Configuration {
	advice := func(decisionMs, perVMMs float64) *queue.Advice {
		return &queue.Advice{DecisionTime: time.Duration(decisionMs * float64(time.Millisecond)), TimePerVM: time.Duration(perVMMs * float64(time.Millisecond)), TicketValidity: 2 * time.Second}
	}
	return &queue.Configuration{
		Queues: []queue.Queue{
			{Name: "urgent", Service: testService, Priority: 0, MaxAttempts: 2, Stretch: 1.5, TargetLatency: 300 * time.Millisecond, Advice: advice(11.7, 0.169)},
			{Name: "gangs", Service: testService, Priority: 1, MaxAttempts: 2, Stretch: 2.2, TargetLatency: time.Second, Advice: advice(442, 6.37)},
			{Name: "batches", Service: testService, Priority: 2, MaxAttempts: 2, Stretch: 4, TargetLatency: 3 * time.Second, Advice: advice(130, 1.82)},
		},
		Services: map[string]queue.Service{testService: {Name: testService}},
	}
}

// newFullCell returns a cell with load B of docs/overload.md, scaled to its executors and by a
// factor.
func newFullCell(t *testing.T, executors int, factor float64, seed uint64) *fullCell {
	scale := factor * float64(executors) / 350
	f := &fullCell{
		testEnv: newTestEnv(t, 0), arrivals: rand.New(rand.NewPCG(seed, 1)), random: rand.New(rand.NewPCG(seed, 2)), jobs: make(map[work.ID]*loadJob),
		runs: make(map[string]map[platform.Run]*loadRun), reported: make(map[string]uint64), machines: 43 * executors / 350,
		kinds: []loadKind{
			{queue: "gangs", perSecond: 5.25 * scale, meanTasks: 20, maxTasks: 60, work: 3400 * time.Millisecond, milliCPU: 9000, gang: true},
			{queue: "batches", perSecond: 8.68 * scale, meanTasks: 25, maxTasks: 100, work: 2300 * time.Millisecond, milliCPU: 3500},
			{queue: "urgent", perSecond: 96.8 * scale, meanTasks: 3.2, maxTasks: 10, work: 680 * time.Millisecond, milliCPU: 5000},
		},
	}
	f.configure = fullCellConfig
	f.cell.Configure(fullCellConfig())
	for i := range executors {
		id := fmt.Sprintf("e%03d", i)
		f.addExecutor(id)
		f.ids = append(f.ids, id)
		f.runs[id] = make(map[platform.Run]*loadRun)
	}
	f.advance(2 * time.Second)
	return f
}

// submitLoad submits the jobs that arrive within a time.
func (f *fullCell) submitLoad(d time.Duration) {
	for i := range f.kinds {
		kind := &f.kinds[i]
		kind.due += kind.perSecond * d.Seconds()
		for ; kind.due > 0; kind.due -= f.arrivals.ExpFloat64() {
			f.nextID++
			id := work.ID{byte(f.nextID), byte(f.nextID >> 8), byte(f.nextID >> 16), 1}
			tasks := min(kind.maxTasks, 1+int(f.arrivals.ExpFloat64()*(kind.meanTasks-1)))
			if kind.gang {
				tasks = max(4, tasks)
			}
			actual := time.Duration(float64(kind.work) * (0.4 + 1.2*f.arrivals.Float64()))
			estimate := time.Duration(float64(actual) / (0.5 + f.arrivals.Float64())) // off by up to 50 percent
			j := &work.Job{ID: id, Queue: kind.queue, Service: testService, AcceptedMs: f.now.UnixMilli(), Steps: []work.Step{{
				TaskCount: tasks, TaskResources: api.Resources{MilliCPU: kind.milliCPU, MemoryMB: 100}, Estimate: estimate, Gang: kind.gang,
			}}}
			latest := f.now.Add(f.cell.queueConfig.QueueNamed(kind.queue).LatencyObjective(estimate) - estimate)
			f.jobs[id] = &loadJob{kind: kind, tasks: tasks, arrived: f.now, left: tasks, overhead: actual, inTimeBy: latest}
			f.submit(j)
		}
	}
}

// mayRunOn reports whether the advice service lets a job run on an executor.
func mayRunOn(id work.ID, executor string, share float64) bool {
	h := fnv.New64a()
	_, _ = h.Write(id[:])
	_, _ = h.Write([]byte(executor))
	_, _ = h.Write([]byte{1, 2, 3, 4})
	return float64(h.Sum64()>>11)/float64(1<<53) < share
}

var grantSharesByQueue = map[string]float64{"gangs": 0.3, "batches": 0.45, "urgent": 0.7}

// stepLoad advances the simulation by a planning cycle.
func (f *fullCell) stepLoad(d time.Duration) {
	f.advance(d)
	f.submitLoad(d)
	for _, id := range f.ids {
		f.reportRuns(id, f.now.UnixMilli()/500 != f.now.Add(-d).UnixMilli()/500)
	}
	var inFlight []*loadCall
	for _, c := range f.calls {
		if f.now.Before(c.at) {
			inFlight = append(inFlight, c)
			continue
		}
		if j := f.jobs[c.call.Step.Job]; j != nil {
			var granted []string
			for _, id := range c.call.Executors {
				if mayRunOn(c.call.Step.Job, id, grantSharesByQueue[j.kind.queue]) {
					granted = append(granted, id)
				}
			}
			f.cell.HandleGrants(c.call, grants(granted...), 2*time.Second-(f.now.Sub(c.at)), f.now)
		}
	}
	f.calls = inFlight
	orders := f.runCycle()
	f.cell.TakeStops(f.now)
	for _, o := range orders {
		j := f.jobs[o.Start.Run.Task.Job]
		duration := time.Duration(float64(j.overhead) * (0.9 + 0.2*f.random.Float64()))
		f.runs[o.Start.To.ID][o.Start.Run] = &loadRun{startedAt: f.now, endsAt: f.now.Add(duration)}
		if j.left--; j.left == 0 {
			j.started = f.now
		}
	}
	f.confirmStarts(orders)
	before := len(f.calls)
	issued := f.cell.AdviceCalls(f.now, f)
	f.calls = f.calls[:before]
	for _, call := range issued {
		f.calls = append(f.calls, &loadCall{call: call, at: f.now.Add(call.Cost)})
	}
}

// reportRuns has an executor report if a run has ended, or in any case if always is set.
func (f *fullCell) reportRuns(id string, always bool) {
	var rows []platform.RunningTask
	var over []platform.EndedRun
	number := f.reported[id]
	for _, run := range slices.SortedFunc(maps.Keys(f.runs[id]), compareRuns) {
		r := f.runs[id][run]
		if f.now.Before(r.endsAt) {
			percent := int(100 * f.now.Sub(r.startedAt) / r.endsAt.Sub(r.startedAt))
			rows = append(rows, platform.RunningTask{Run: run, ProgressPercent: min(99, percent)})
			continue
		}
		number++
		over = append(over, platform.EndedRun{Number: number, Run: run, Reason: platform.EndDone})
		delete(f.runs[id], run)
	}
	if !always && len(over) == 0 {
		return
	}
	f.reported[id] = number
	f.report(id, rows, over)
}

func compareRuns(a, b platform.Run) int {
	return cmp.Or(slices.Compare(a.Task.Job[:], b.Task.Job[:]), cmp.Compare(a.Task.Index, b.Task.Index), cmp.Compare(a.Number, b.Number))
}

// loadResult is how the jobs of one kind fared.
type loadResult struct {
	jobs, inTime int
	meanWait     time.Duration // until all tasks have started; jobs that haven't count up to the end
}

func (r loadResult) share() float64 { return float64(r.inTime) / math.Max(1, float64(r.jobs)) }

func (r loadResult) String() string {
	return fmt.Sprintf("%d jobs, %.3f in time, mean wait %v", r.jobs, r.share(), r.meanWait.Round(time.Millisecond))
}

// result returns how the jobs of a queue fared that have at least so many tasks.
func (f *fullCell) result(queueName string, minTasks int) loadResult {
	var r loadResult
	var wait time.Duration
	for _, j := range f.jobs {
		if j.kind.queue != queueName || j.tasks < minTasks {
			continue
		}
		r.jobs++
		started := j.started
		if started.IsZero() {
			started = f.now
		} else if !started.After(j.inTimeBy) {
			r.inTime++
		}
		wait += started.Sub(j.arrived)
	}
	if r.jobs > 0 {
		r.meanWait = wait / time.Duration(r.jobs)
	}
	return r
}

// largestTenth returns the number of tasks from which a gang is among the largest tenth.
func (f *fullCell) largestTenth() int {
	var widths []int
	for _, j := range f.jobs {
		if j.kind.gang {
			widths = append(widths, j.tasks)
		}
	}
	slices.Sort(widths)
	return widths[len(widths)*9/10]
}
