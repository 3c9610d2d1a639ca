package lease_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/lease"
	"github.com/skylarklock/skylarklock/internal/platform"
	standin "github.com/skylarklock/skylarklock/internal/standin/worker"
)

const (
	simLease = 10 * time.Second
	simHold  = 3 * time.Second
	simDrift = 0.05
	simTime  = 20 * time.Minute
)

// fault is a rule that the simulated holder violates.
type fault int

const (
	noFault         fault = iota
	missingAtOnce         // treats an attempt as ended as soon as a report lacks it
	expiresTooEarly       // ignores the drift and half of the lease
	noTakeoverWait        // treats attempts of earlier holders as ended at takeover
)

// sim runs one task on two VMs in virtual time. Exchanges are delayed, duplicated,
// reordered and lost, holders pause and take over from each other, VMs restart, and
// all clocks run at different rates.
type sim struct {
	rng          *rand.Rand
	injected     fault
	now          time.Duration
	queue        events
	vms          [2]*standin.VM
	rates        [2]float64
	attempt      uint32 // latest in the log
	vm           int    // index of the VM that holds it, -1 for none
	epoch        api.Epoch
	lostAttempts int // attempts whose loss the log accepted
}

type event struct {
	at time.Duration
	do func()
}

type events []event

func (q events) Len() int           { return len(q) }
func (q events) Less(i, j int) bool { return q[i].at < q[j].at }
func (q events) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)        { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (s *sim) after(d time.Duration, do func()) { heap.Push(&s.queue, event{s.now + d, do}) }

func (s *sim) upTo(d time.Duration) time.Duration { return time.Duration(s.rng.Int64N(int64(d))) }

func (s *sim) chance(percent int) bool { return s.rng.IntN(100) < percent }

func (s *sim) rate() float64 { return 1 + (s.rng.Float64()-0.5)*simDrift*0.95 }

// scaled returns the time on a clock of the given rate.
func (s *sim) scaled(rate float64) time.Time {
	return time.Unix(0, 0).Add(time.Duration(float64(s.now) * rate))
}

func newSim(seed uint64, injected fault) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 1)), injected: injected, vm: -1}
	for i := range s.vms {
		s.rates[i] = s.rate()
		s.vms[i] = standin.New(api.VMID(rune('a'+i)), api.Resources{MilliCPU: 1000}, func() time.Time { return s.scaled(s.rates[i]) }, 0)
		s.vms[i].SetFaults(standin.Faults{IgnoreFences: true}) // safety must not depend on fencing
	}
	return s
}

// holder is the holder of the placement shard during one tenure.
type holder struct {
	s        *sim
	epoch    api.Epoch
	rate     float64
	until    time.Duration // last successful check of the hold
	trackers [2]*lease.Tracker
}

// takeOver claims the shard. The previous holder may continue for the hold time.
func (s *sim) takeOver(before *holder) {
	s.epoch++
	h := &holder{s: s, epoch: s.epoch, rate: s.rate(), until: simTime}
	if before != nil {
		before.until = s.now + s.upTo(time.Duration(float64(simHold)*0.97))
	}
	params := lease.Params{Lease: simLease, Hold: simHold, Drift: simDrift}
	if s.injected == expiresTooEarly {
		params = lease.Params{Lease: simLease, Hold: -simLease / 2}
	}
	for i := range h.trackers {
		h.trackers[i] = lease.New(params, s.scaled(h.rate))
		if s.vm == i {
			h.trackers[i].Inherit(s.current())
		}
		if s.vm == i && s.injected == noTakeoverWait {
			h.trackers[i].MarkEnded(s.current())
		}
		s.after(time.Duration(float64(simHold)*(1+simDrift)), func() { h.step(i) })
	}
	s.after(30*time.Second+s.upTo(2*time.Minute), func() { s.takeOver(h) })
}

func (s *sim) current() lease.Attempt {
	return lease.Attempt{Task: api.TaskID{Job: "j"}, Attempt: s.attempt}
}

// step makes one exchange with a VM and starts the task if no VM holds it.
func (h *holder) step(i int) {
	s := h.s
	s.after(200*time.Millisecond+s.upTo(3*time.Second), func() { h.step(i) })
	if s.now > h.until {
		return
	}
	if s.vm < 0 && h.epoch == s.epoch {
		s.attempt++
		s.vm = s.rng.IntN(2)
	}
	t := h.trackers[i]
	a := s.current()
	msg := platform.WorkerSync{Epoch: h.epoch}
	var starts []lease.Attempt
	if s.vm == i && !t.Known(a) && t.Incarnation() != 0 {
		starts = []lease.Attempt{a}
		msg.Starts = []platform.TaskStart{{Task: a.Task, Attempt: a.Attempt, Resources: api.Resources{MilliCPU: 1000}}}
	}
	grant, ok := t.BuildGrant(starts)
	if !ok {
		return
	}
	msg.Incarnation, msg.LeaseExpiry = grant.Incarnation, grant.Expiry
	pause := time.Duration(0)
	if s.chance(10) {
		pause = s.upTo(3 * simLease) // between the check of the hold and the send
	}
	for copies := 1 + s.rng.IntN(2); copies > 0; copies-- {
		if !s.chance(25) {
			s.after(pause+s.delay(), func() { h.deliver(i, grant.ExchangeID, a, msg) })
		}
	}
	if s.vm == i && t.Expired(s.scaled(h.rate)) {
		h.lose(i, a)
	}
}

func (s *sim) delay() time.Duration {
	if s.chance(15) {
		return s.upTo(3 * simLease)
	}
	return s.upTo(200 * time.Millisecond)
}

// deliver delivers an exchange to a VM and its answer to the holder.
func (h *holder) deliver(i int, x lease.ExchangeID, a lease.Attempt, msg platform.WorkerSync) {
	report, err := h.s.vms[i].Sync(msg)
	if err != nil || h.s.chance(20) {
		return
	}
	h.s.after(h.s.delay(), func() { h.reported(i, x, a, report) })
}

// reported applies a report to the attempt that was current in the log when the exchange
// was built.
func (h *holder) reported(i int, x lease.ExchangeID, a lease.Attempt, report platform.WorkerReport) {
	s := h.s
	t := h.trackers[i]
	if s.now > h.until || !t.ApplyReport(s.scaled(h.rate), x, report) || s.vm != i || a != s.current() {
		return
	}
	for _, r := range report.Tasks {
		if r.Attempt == a.Attempt {
			if r.State != platform.RunRunning {
				h.lose(i, a)
			}
			return
		}
	}
	if s.injected == missingAtOnce || (t.Known(a) && t.ConfirmMissing(a)) {
		h.lose(i, a)
	}
}

// lose proposes that an attempt has ended. The log accepts or rejects this a little later.
func (h *holder) lose(i int, a lease.Attempt) {
	h.trackers[i].MarkEnded(a)
	h.s.after(h.s.upTo(500*time.Millisecond), func() {
		if h.epoch == h.s.epoch && h.s.vm == i && h.s.current() == a {
			h.s.vm = -1
			h.s.lostAttempts++
		}
	})
}

// restartVMs restarts VMs at random times.
func (s *sim) restartVMs() {
	s.after(s.upTo(90*time.Second), func() {
		s.vms[s.rng.IntN(2)].Restart()
		s.restartVMs()
	})
}

// countOverlaps runs the simulation and returns the number of pairs of runs that overlap
// in true time.
func (s *sim) countOverlaps() int {
	s.takeOver(nil)
	s.restartVMs()
	for len(s.queue) > 0 && s.now < simTime {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
	type span struct{ from, to float64 }
	var spans []span
	for i, vm := range s.vms {
		for _, r := range vm.Record().Runs {
			end := float64(simTime)
			if !r.End.IsZero() {
				end = float64(r.End.UnixNano()) / s.rates[i]
			}
			spans = append(spans, span{float64(r.Start.UnixNano()) / s.rates[i], end})
		}
	}
	overlaps := 0
	for i, a := range spans {
		for _, b := range spans[:i] {
			if a.from < b.to-1000 && b.from < a.to-1000 { // tolerates rounding errors of a microsecond
				overlaps++
			}
		}
	}
	return overlaps
}

const seeds = 60

// A task never runs twice at the same time.
func TestRunsNeverOverlap(t *testing.T) {
	totalLost := 0
	for seed := range uint64(seeds) {
		s := newSim(seed, noFault)
		if n := s.countOverlaps(); n > 0 {
			t.Errorf("seed %d: %d overlapping runs", seed, n)
		}
		totalLost += s.lostAttempts
	}
	if totalLost < 10*seeds {
		t.Errorf("only %d lost attempts: the simulation causes too few", totalLost)
	}
	t.Logf("%d lost attempts in %d runs of %v", totalLost, seeds, simTime)
}

// Each rule is necessary: the simulation detects a holder that violates one of them.
func TestInjectedFaultsAreDetected(t *testing.T) {
	for injected, name := range map[fault]string{missingAtOnce: "missing at once", expiresTooEarly: "expires too early", noTakeoverWait: "no takeover wait"} {
		overlaps := 0
		seed := uint64(0)
		for ; seed < seeds && overlaps == 0; seed++ {
			overlaps = newSim(seed, injected).countOverlaps()
		}
		if overlaps == 0 {
			t.Errorf("%s: not detected", name)
		}
		t.Logf("%s: detected in run %d, %d overlapping runs", name, seed, overlaps)
	}
}
