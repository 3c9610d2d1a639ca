package plan

import (
	"encoding/binary"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/queue"
	"github.com/skylarklock/skylarklock/internal/work"
)

// unlikeFleet drives a cell whose executors run at speeds that only their reports tell.
type unlikeFleet struct {
	*testEnv
	rand       *rand.Rand
	speeds     map[string]float64
	runs       map[platform.Run]*simulatedRun
	reported   map[string]uint64 // number of the newest end, by executor
	jobs       map[work.ID]*fleetJob
	created    uint32
	inTime     map[string]int // by queue
	ended      map[string]int
	startTimes map[string]int64 // of the incarnations; nil: not reported
	used       []float64        // share of the processors in use, at each tick
}

// simulatedRun is a run on an executor of such a fleet.
type simulatedRun struct {
	executor  string
	from, end time.Time
}

// fleetJob is a job that has not ended.
type fleetJob struct {
	queue     string
	objective time.Time
	factor    float64 // by how many times its tasks take longer than estimated at speed 1
	counted   bool
}

// Work of the three kinds that load B has, for a fleet of 24 executors.
var unlikeKinds = map[string]struct {
	perSecond float64
	step      work.Step
}{
	"urgent": {9.6, work.Step{TaskCount: 3, TaskResources: cpus(5), Estimate: 680 * time.Millisecond}},
	"gangs":  {1.62, work.Step{TaskCount: 6, TaskResources: cpus(9), Estimate: 3400 * time.Millisecond, Gang: true}},
	"batch":  {1.34, work.Step{TaskCount: 15, TaskResources: cpus(3), Estimate: 2300 * time.Millisecond}},
}

func newUnlikeFleet(t *testing.T, executors int, seed uint64) *unlikeFleet {
	f := &unlikeFleet{
		testEnv: newTestEnv(t, 0), rand: rand.New(rand.NewPCG(seed, 1)),
		speeds: make(map[string]float64), runs: make(map[platform.Run]*simulatedRun), reported: make(map[string]uint64),
		jobs: make(map[work.ID]*fleetJob), inTime: make(map[string]int), ended: make(map[string]int),
	}
	f.configure = func() *queue.Configuration {
		return &queue.Configuration{
			Queues: []queue.Queue{
				{Name: "urgent", Service: testService, MaxAttempts: 2, Stretch: 1.5, TargetLatency: 300 * time.Millisecond},
				{Name: "gangs", Priority: 1, Service: testService, MaxAttempts: 2, Stretch: 2.2, TargetLatency: time.Second},
				{Name: "batch", Priority: 2, Service: testService, MaxAttempts: 2, Stretch: 4, TargetLatency: 3 * time.Second},
			},
			Services: map[string]queue.Service{testService: {Name: testService}},
		}
	}
	f.takeOver()
	for i := range executors {
		id := fmt.Sprintf("e%02d", i)
		f.speeds[id] = 1.2
		if i%4 == 0 {
			f.speeds[id] = 0.55
		}
		f.addExecutor(id)
	}
	return f
}

// submitKind submits a job of a kind. Its tasks take up to half less or more than estimated.
func (f *unlikeFleet) submitKind(name string) {
	f.created++
	var id work.ID
	binary.BigEndian.PutUint32(id[:], f.created)
	kind := unlikeKinds[name]
	j := &work.Job{ID: id, Queue: name, Service: testService, AcceptedMs: f.now.UnixMilli(), Steps: []work.Step{kind.step}}
	f.submit(j)
	objective := f.cell.queueConfig.QueueNamed(name).LatencyObjective(kind.step.Estimate)
	f.jobs[id] = &fleetJob{queue: name, objective: f.now.Add(objective), factor: 0.5 + f.rand.Float64()}
}

// run runs the fleet for a time with a share of the usual load.
func (f *unlikeFleet) run(d, load float64) {
	const tick = 50 * time.Millisecond
	for n := range int(d / tick.Seconds()) {
		f.advance(tick)
		for _, name := range []string{"batch", "gangs", "urgent"} {
			for arrivals := unlikeKinds[name].perSecond * load * tick.Seconds(); f.rand.Float64() < arrivals; arrivals-- {
				f.submitKind(name)
			}
		}
		for i, id := range slices.Sorted(maps.Keys(f.speeds)) {
			f.reportRuns(id, (n+i)%10 == 0)
		}
		f.startAll(f.runCycle())
		f.cell.TakeStops(f.now)
		f.countEnded()
		f.used = append(f.used, f.usedShare())
	}
}

// usedShare returns the share of the processors that is allocated.
func (f *unlikeFleet) usedShare() float64 {
	var used, capacity int64
	for _, v := range f.cell.vms {
		used, capacity = used+v.used.MilliCPU, capacity+v.Capacity.MilliCPU
	}
	return float64(used) / float64(capacity)
}

// startAll carries out orders. The members of a gang end with the slowest of them.
func (f *unlikeFleet) startAll(orders []ConfirmedStart) {
	slowest := make(map[work.StepKey]float64)
	for _, o := range orders {
		key, speed := o.Order.Run.Task.StepKey, f.speeds[o.Start.To.ID]
		if known, ok := slowest[key]; !ok || speed < known {
			slowest[key] = speed
		}
	}
	f.confirmStarts(orders)
	for _, o := range orders {
		key, id := o.Order.Run.Task.StepKey, o.Start.To.ID
		spec, speed := f.submittedJobs[key.Job].Steps[0], f.speeds[id]
		if spec.Gang {
			speed = slowest[key]
		}
		duration := seconds(spec.Estimate.Seconds() * f.jobs[key.Job].factor * (0.9 + 0.2*f.rand.Float64()) / speed)
		if spec.Gang {
			duration = seconds(spec.Estimate.Seconds() * f.jobs[key.Job].factor / speed)
		}
		f.runs[o.Order.Run] = &simulatedRun{executor: id, from: f.now, end: f.now.Add(duration)}
	}
}

// reportRuns has an executor report if a run has ended there or if always is set.
func (f *unlikeFleet) reportRuns(id string, always bool) {
	var rows []platform.RunningTask
	var ends []platform.EndedRun
	for run, r := range f.runs {
		switch {
		case r.executor != id:
		case f.now.Before(r.end):
			rows = append(rows, platform.RunningTask{Run: run, ProgressPercent: int(100 * f.now.Sub(r.from) / r.end.Sub(r.from))})
		default:
			f.reported[id]++
			ends = append(ends, platform.EndedRun{Number: f.reported[id], Run: run, Reason: platform.EndDone})
			delete(f.runs, run)
		}
	}
	if always || len(ends) > 0 {
		h, _ := f.cell.NextHold(id, HoldTerms{})
		f.cell.HandleReport(h, platform.ExecutorReport{StartTimeMs: f.startTimes[id], Clock: f.executorClock, Running: rows, Ended: ends}, f.now, f.now)
	}
}

// countEnded counts the jobs that have ended, and by whether they did so in time.
func (f *unlikeFleet) countEnded() {
	for id, j := range f.jobs {
		if j.counted || f.cell.jobs[id] != nil {
			continue
		}
		j.counted = true
		f.ended[j.queue]++
		if !f.now.After(j.objective) {
			f.inTime[j.queue]++
		}
	}
}

// shareInTime returns the share of the jobs of a queue that ended in time. Jobs that have not
// ended by their objective count as late.
func (f *unlikeFleet) shareInTime(queueName string) float64 {
	total := f.ended[queueName]
	for _, j := range f.jobs {
		if j.queue == queueName && !j.counted && f.now.After(j.objective) {
			total++
		}
	}
	return float64(f.inTime[queueName]) / float64(total)
}

func (f *unlikeFleet) forgetCounts() {
	f.used = nil
	clear(f.inTime)
	clear(f.ended)
	for _, j := range f.jobs {
		j.counted = true // arrivals from before are not measured
	}
}

// slowIDs returns the executors that are certainly slow.
func (f *unlikeFleet) slowIDs() []string {
	var ids []string
	for id, v := range f.cell.vms {
		if v.certainlySlow {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
