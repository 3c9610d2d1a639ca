package plan

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/assist"
	"github.com/skylarklock/skylarklock/internal/fleet"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/queue"
	"github.com/skylarklock/skylarklock/internal/work"
)

// burstKind is one kind of jobs of the load that the burst test plays.
type burstKind struct {
	queue        queue.Queue
	jobsPerSec   float64
	grantedShare float64
	step         func(random *rand.Rand) work.Step
}

func advised(decision, perVM time.Duration) *queue.Advice {
	return &queue.Advice{DecisionTime: decision, TimePerVM: perVM, TicketValidity: 2 * time.Second}
}

// burstLoad is a load with the work, objectives and advice times of docs/overload.md, load A.
var burstLoad = []burstKind{
	{queue.Queue{Name: "urgent", Service: testService, Priority: 0, MaxAttempts: 2, Stretch: 1.5, TargetLatency: 250 * time.Millisecond,
		Advice: advised(11700*time.Microsecond, 169*time.Microsecond)}, 82.6, 0.7,
		func(random *rand.Rand) work.Step {
			return work.Step{TaskCount: 1 + random.IntN(5), TaskResources: cpus(10), Estimate: 800 * time.Millisecond}
		}},
	{queue.Queue{Name: "gangs", Service: testService, Priority: 1, MaxAttempts: 2, Stretch: 2.2, TargetLatency: time.Second,
		Advice: advised(559*time.Millisecond, 8060*time.Microsecond)}, 3.58, 0.3,
		func(random *rand.Rand) work.Step {
			return work.Step{TaskCount: 5 + random.IntN(31), TaskResources: cpus(18), Estimate: 5 * time.Second, Gang: true}
		}},
	{queue.Queue{Name: "batches", Service: testService, Priority: 2, MaxAttempts: 2, Stretch: 4, TargetLatency: 3 * time.Second,
		Advice: advised(130*time.Millisecond, 1820*time.Microsecond)}, 12.8, 0.45,
		func(random *rand.Rand) work.Step {
			return work.Step{TaskCount: 5 + random.IntN(41), TaskResources: cpus(7), Estimate: 2700 * time.Millisecond, SavesCheckpoints: true}
		}},
}

const (
	burstExecutors = 350
	burstMachines  = 39
	burstBegin     = 4 * time.Second
	burstEnd       = 12 * time.Second
	burstFactor    = 2.5
	burstTick      = 10 * time.Millisecond
)

// burstPlay plays the load against a cell on a simulated clock. Each calling machine makes one call at
// a time. It keeps no records of its own but those of jobs, calls and runs under way.
type burstPlay struct {
	*testEnv
	random    *rand.Rand // for the jobs
	runTimes  *rand.Rand
	policy    bool // the cell sees how busy the calling machines are
	peers     *assist.Peers
	machines  map[string]time.Time // when each machine ends its last call
	calls     []burstCall
	runs      map[string]map[platform.Run]time.Time // ends of the runs on each executor
	numbers   map[string]uint64
	kinds     map[work.ID]int
	arrivals  map[work.ID]time.Duration // of jobs that have no answer yet
	waits     [][]time.Duration         // for the first answers, by kind, of jobs that arrived in the burst
	completed []int                     // jobs that ended within their objective, by kind
	seen      []int                     // jobs that arrived in the burst, by kind
	named     []int
	made      []int
}

type burstCall struct {
	call AdviceCall
	slot *assist.Slot
	ends time.Time
}

// blindRound hides how busy the machines are, which leaves the calls unrestricted.
type blindRound struct{ round *assist.Round }

func (b blindRound) Free(call queue.CallTime) bool { return b.round.Free(call) }
func (b blindRound) Take(call queue.CallTime) bool { return b.round.Take(call) }

func newBurstPlay(t *testing.T, policy bool) *burstPlay {
	env := &testEnv{
		t: t, now: testStart, submittedJobs: make(map[work.ID]*work.Job), savedProgress: make(map[work.ID]*work.Progress),
		registry: make(map[string]*fleet.Executor), executorClock: 1000,
	}
	env.configure = func() *queue.Configuration {
		cfg := &queue.Configuration{Services: map[string]queue.Service{testService: {Name: testService}}}
		for _, k := range burstLoad {
			cfg.Queues = append(cfg.Queues, k.queue)
		}
		return cfg
	}
	env.takeOver()
	p := &burstPlay{
		testEnv: env, random: rand.New(rand.NewPCG(7, 11)), runTimes: rand.New(rand.NewPCG(8, 12)), policy: policy, machines: make(map[string]time.Time),
		runs: make(map[string]map[platform.Run]time.Time), numbers: make(map[string]uint64), kinds: make(map[work.ID]int),
		arrivals: make(map[work.ID]time.Duration), waits: make([][]time.Duration, len(burstLoad)),
		completed: make([]int, len(burstLoad)), seen: make([]int, len(burstLoad)), named: make([]int, len(burstLoad)), made: make([]int, len(burstLoad)),
	}
	p.peers = assist.NewPeers("leader", answered{}, answered{})
	for i := range burstExecutors {
		id := fmt.Sprintf("e%03d", i)
		env.registry[id] = &fleet.Executor{
			Ref: platform.ExecutorRef{ID: id, Address: "10.0.0.1:" + id}, Service: testService,
			Labels: []string{"a", fmt.Sprintf("r%d", i/12)}, Capacity: api.Resources{MilliCPU: 64000, MemoryMB: 64000},
		}
		p.runs[id] = make(map[platform.Run]time.Time)
	}
	env.cell.UpdateExecutors(env.registry, env.now)
	env.reportAll()
	return p
}

// answered is an advice service whose answers the play computes itself.
type answered struct{}

func (answered) Call(context.Context, string, string, any, any) error { return nil }
func (answered) Advise(context.Context, work.StepKey, []string) ([]platform.Grant, time.Duration, error) {
	return nil, 0, nil
}

// play plays the load until the last jobs of the burst have had their answers or are late.
func (p *burstPlay) play() {
	for p.elapsed() < burstEnd+4*time.Second {
		p.advance(burstTick)
		p.attachMachines()
		p.submitJobs()
		p.answerCalls()
		p.endRuns()
		p.startRuns()
		p.makeCalls()
	}
}

func (p *burstPlay) elapsed() time.Duration { return p.now.Sub(testStart) }

func (p *burstPlay) inBurst(at time.Duration) bool { return at >= burstBegin && at < burstEnd }

func (p *burstPlay) attachMachines() {
	for i := range burstMachines - 1 {
		p.peers.HandleAttachment(assist.Attachment{Node: api.NodeID(fmt.Sprintf("m%02d", i)), Address: fmt.Sprintf("m%02d", i)}, p.now)
	}
}

func (p *burstPlay) submitJobs() {
	for i, k := range burstLoad {
		rate := k.jobsPerSec * burstTick.Seconds()
		if p.inBurst(p.elapsed()) {
			rate *= burstFactor
		}
		for ; p.random.Float64() < rate; rate-- {
			n := len(p.kinds) + 1
			j := &work.Job{ID: work.ID{byte(n), byte(n >> 8)}, Queue: k.queue.Name, Service: testService, AcceptedMs: p.now.UnixMilli(), Steps: []work.Step{k.step(p.random)}}
			p.kinds[j.ID] = i
			p.arrivals[j.ID] = p.elapsed()
			if p.inBurst(p.elapsed()) {
				p.seen[i]++
			}
			p.submit(j)
		}
	}
}

func (p *burstPlay) makeCalls() {
	round := p.peers.Round(p.now)
	var dispatcher AdviceDispatcher = round
	if !p.policy {
		dispatcher = blindRound{round}
	}
	for i, call := range p.cell.AdviceCalls(p.now, dispatcher) {
		slot := round.Slots()[i]
		begin := p.machines[slot.Address()]
		if begin.Before(p.now) {
			begin = p.now
		}
		p.machines[slot.Address()] = begin.Add(call.Cost)
		p.calls = append(p.calls, burstCall{call, slot, begin.Add(call.Cost)})
		k := p.kinds[call.Step.Job]
		p.made[k]++
		p.named[k] += len(call.Executors)
	}
}

func (p *burstPlay) answerCalls() {
	p.calls = slices.DeleteFunc(p.calls, func(c burstCall) bool {
		if c.ends.After(p.now) {
			return false
		}
		_, _, _ = p.peers.Advise(context.Background(), c.slot, c.call.Step, nil) // frees the slot
		id := c.call.Step.Job
		kind := p.kinds[id]
		var granted []string
		for _, executor := range c.call.Executors {
			if permitted(id, executor, burstLoad[kind].grantedShare) {
				granted = append(granted, executor)
			}
		}
		p.cell.HandleGrants(c.call, grants(granted...), 2*time.Second, p.now)
		if at, waits := p.arrivals[id]; waits {
			delete(p.arrivals, id)
			if p.inBurst(at) {
				p.waits[kind] = append(p.waits[kind], p.elapsed()-at)
			}
		}
		return true
	})
}

// permitted reports whether a job may run on an executor, for a share of them.
func permitted(id work.ID, executor string, share float64) bool {
	h := fnv.New32a()
	_, _ = h.Write(id[:])
	_, _ = h.Write([]byte(executor))
	return float64(h.Sum32()%1000) < 1000*share
}

// endRuns reports the runs that have ended, and the others of each executor every 500 ms.
func (p *burstPlay) endRuns() {
	for i := range burstExecutors {
		id := fmt.Sprintf("e%03d", i)
		var left []platform.Run
		var rows []platform.EndedRun
		for run, end := range p.runs[id] {
			if end.After(p.now) {
				left = append(left, run)
				continue
			}
			delete(p.runs[id], run)
			p.numbers[id]++
			rows = append(rows, platform.EndedRun{Number: p.numbers[id], Run: run, Reason: platform.EndDone})
		}
		if len(rows) > 0 || (int(p.elapsed()/burstTick)+i)%50 == 0 {
			p.report(id, running(left...), rows)
		}
	}
}

func (p *burstPlay) startRuns() {
	for _, stop := range p.cell.TakeStops(p.now) {
		if _, exists := p.runs[stop.To.ID][stop.Run]; exists {
			p.numbers[stop.To.ID]++
			delete(p.runs[stop.To.ID], stop.Run)
			var left []platform.Run
			for run := range p.runs[stop.To.ID] {
				left = append(left, run)
			}
			p.report(stop.To.ID, running(left...), []platform.EndedRun{{Number: p.numbers[stop.To.ID], Run: stop.Run, Reason: platform.EndStopped}})
		}
	}
	orders := p.runCycle()
	p.confirmStarts(orders)
	for _, o := range orders {
		estimate := p.submittedJobs[o.Order.Run.Task.Job].Steps[0].Estimate
		p.runs[o.Start.To.ID][o.Order.Run] = p.now.Add(time.Duration((0.6 + 0.8*p.runTimes.Float64()) * float64(estimate)))
	}
	for id, progress := range p.savedProgress {
		if progress.State != work.Completed {
			continue
		}
		j := p.submittedJobs[id]
		kind := p.kinds[id]
		at := time.UnixMilli(j.AcceptedMs)
		if p.inBurst(at.Sub(testStart)) && p.now.Sub(at) <= objectiveFor(j, &burstLoad[kind].queue) {
			p.completed[kind]++
		}
		delete(p.savedProgress, id)
	}
}

// percentile returns a percentile of the waits; jobs without an answer count as having waited until the
// end of the play.
func (p *burstPlay) percentile(kind int, share float64) time.Duration {
	waits := slices.Clone(p.waits[kind])
	for id, at := range p.arrivals {
		if p.kinds[id] == kind && p.inBurst(at) {
			waits = append(waits, p.elapsed()-at)
		}
	}
	slices.Sort(waits)
	return waits[int(share*float64(len(waits)-1))]
}

// In a burst of load A all calling machines are busy for seconds. Urgent steps must not wait for the
// calls of batches, nor gangs for what batches ask about without need.
func TestAdviceWaitsInBurst(t *testing.T) {
	t.Parallel()
	if testing.Short() {
		t.Skip("plays a large cell twice")
	}
	const maxUrgentWait, maxGangWait = 100 * time.Millisecond, 3 * time.Second
	unrestricted, restricted := newBurstPlay(t, false), newBurstPlay(t, true)
	var plays sync.WaitGroup
	for _, p := range []*burstPlay{unrestricted, restricted} {
		plays.Go(p.play)
	}
	plays.Wait()
	for _, p := range []*burstPlay{unrestricted, restricted} {
		for i, k := range burstLoad {
			t.Logf("restricted %v: %-7s %4d jobs, %4d in time, first answer after %v (median), %v (95th percentile); %d calls name %d executors",
				p.policy, k.queue.Name, p.seen[i], p.completed[i], p.percentile(i, 0.5), p.percentile(i, 0.95), p.made[i], p.named[i])
		}
	}
	const urgent, gangs = 0, 1
	if wait := restricted.percentile(urgent, 0.95); wait > maxUrgentWait {
		t.Errorf("urgent steps wait %v for their first answer, want at most %v", wait, maxUrgentWait)
	}
	wait, before := restricted.percentile(gangs, 0.95), unrestricted.percentile(gangs, 0.95)
	if wait > maxGangWait || wait >= before {
		t.Errorf("gangs wait %v for their first answer, want at most %v and less than the %v without restrictions", wait, maxGangWait, before)
	}
}
