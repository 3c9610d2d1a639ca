// Package worker implements a small stand-in for worker agents, for tests and
// demos. A task is a timer that runs under the VM's lease, on the VM's own clock.
//
// The stand-in follows these rules, which the real agents are expected to follow
// as well:
//   - Starts and renewals in an exchange are refused if the exchange names
//     another incarnation or its lease expiry has passed.
//   - An ended attempt is reported until a StopKill for it arrives, and is
//     remembered until no copy of an exchange that started it can be valid.
//   - When the lease expires, every task is stopped at once.
package worker

import (
	"sync"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// Clock returns the time on a VM. Tests inject their own.
type Clock func() time.Time

// Faults are the faults of a VM. The zero value is a healthy VM.
type Faults struct {
	FailAllStarts bool          `json:"fail_everything"` // every started task fails at once
	LoseAnswers   int           `json:"lose_answers"`    // number of next exchanges that take effect but whose answers are lost
	Delay         time.Duration `json:"delay_ns"`        // delay before an exchange takes effect
	Frozen        bool          `json:"frozen"`          // answer nothing; tasks continue until the lease expires
	IgnoreFences  bool          `json:"ignore_fences"`   // accept lower epochs
	Leaving       bool          `json:"leaving"`         // report that the VM is leaving
}

// Run is the record of one attempt. Tests check reported outcomes against it.
type Run struct {
	VM        api.VMID          `json:"vm"`
	Task      api.TaskID        `json:"task"`
	Attempt   uint32            `json:"attempt"`
	Resources api.Resources     `json:"resources"`
	Start     time.Time         `json:"start"`
	End       time.Time         `json:"end"` // zero while running
	State     platform.RunState `json:"state"`
}

// Record is everything that a VM did so far.
type Record struct {
	VM       api.VMID      `json:"vm"`
	Capacity api.Resources `json:"capacity"`
	MaxInUse api.Resources `json:"max_in_use"` // maximum of the running tasks' resources, for each field separately
	Runs     []Run         `json:"runs"`
	Refused  int           `json:"refused"` // exchanges refused because of epoch, incarnation or lease expiry
}

// attempt is an attempt that runs on the VM or whose end is still reported.
type attempt struct {
	start     platform.TaskStart
	runIndex  int // index in Record.Runs
	state     platform.RunState
	startedAt platform.WorkerTime
	endsAt    platform.WorkerTime // zero: runs until stopped
	throttled bool
}

type attemptKey struct {
	task    api.TaskID
	attempt uint32
}

// VM is one stand-in worker VM.
type VM struct {
	id       api.VMID
	clock    Clock
	usageLag time.Duration

	mu          sync.Mutex
	faults      Faults
	bootTime    time.Time
	incarnation uint64
	epoch       api.Epoch
	expiry      platform.WorkerTime
	attempts    map[attemptKey]*attempt
	tombstones  map[attemptKey]platform.WorkerTime // time until which copies of the start may arrive
	inUse       api.Resources
	record      Record
	usageFactor float64 // ratio of actual to declared usage
}

// New returns a VM whose reported usage lags by usageLag.
func New(id api.VMID, capacity api.Resources, clock Clock, usageLag time.Duration) *VM {
	return &VM{
		id:          id,
		clock:       clock,
		usageLag:    usageLag,
		bootTime:    clock(),
		incarnation: 1,
		attempts:    make(map[attemptKey]*attempt),
		tombstones:  make(map[attemptKey]platform.WorkerTime),
		record:      Record{VM: id, Capacity: capacity},
		usageFactor: 1,
	}
}

// SetFaults replaces the VM's faults.
func (v *VM) SetFaults(f Faults) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.advance()
	v.faults = f
}

// Restart simulates a restart of the VM: running tasks are killed, and attempts,
// lease and epoch are lost.
func (v *VM) Restart() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.advance()
	now := v.clock()
	for _, a := range v.attempts {
		if a.state == platform.RunRunning {
			v.endAttempt(a, platform.RunKilled, now)
		}
	}
	v.incarnation++
	v.bootTime = now
	v.epoch = 0
	v.expiry = 0
	clear(v.attempts)
	clear(v.tombstones)
}

// Record returns everything that the VM did so far.
func (v *VM) Record() Record {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.advance()
	r := v.record
	r.Runs = append([]Run(nil), r.Runs...)
	return r
}

// Sync performs one exchange. It fails with platform.ErrWorkerFenced if the epoch
// is lower than one seen before.
func (v *VM) Sync(msg platform.WorkerSync) (platform.WorkerReport, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.advance()
	if msg.Epoch < v.epoch && !v.faults.IgnoreFences {
		v.record.Refused++
		return platform.WorkerReport{}, platform.ErrWorkerFenced
	}
	v.epoch = max(v.epoch, msg.Epoch)
	v.applyStops(msg.Stops)
	if v.canRenew(msg) {
		v.expiry = max(v.expiry, msg.LeaseExpiry)
		v.startAttempts(msg)
	} else if msg.LeaseExpiry != 0 {
		v.record.Refused++
	}
	return v.buildReport(), nil
}

// canRenew reports whether msg may renew the lease and start tasks.
func (v *VM) canRenew(msg platform.WorkerSync) bool {
	return msg.Incarnation == v.incarnation && msg.LeaseExpiry > v.now()
}

func (v *VM) now() platform.WorkerTime {
	// 1 is added because a zero WorkerTime means "none".
	return platform.WorkerTime(v.clock().Sub(v.bootTime)) + 1
}

func (v *VM) wallTime(t platform.WorkerTime) time.Time {
	return v.bootTime.Add(time.Duration(t - 1))
}

// advance ends the attempts that completed or whose lease expired since the last
// call, and records the times at which that happened.
func (v *VM) advance() {
	now := v.now()
	for _, a := range v.attempts {
		if a.state != platform.RunRunning {
			continue
		}
		completed := a.endsAt != 0 && a.endsAt <= min(now, v.expiry)
		switch {
		case completed:
			v.endAttempt(a, platform.RunSucceeded, v.wallTime(a.endsAt))
		case v.expiry <= now:
			v.endAttempt(a, platform.RunKilled, v.wallTime(v.expiry))
		}
	}
	for k, until := range v.tombstones {
		if until < now {
			delete(v.tombstones, k)
		}
	}
}

func (v *VM) endAttempt(a *attempt, state platform.RunState, at time.Time) {
	a.state = state
	v.inUse = v.inUse.Sub(a.start.Resources)
	v.record.Runs[a.runIndex].End = at
	v.record.Runs[a.runIndex].State = state
}

func (v *VM) startAttempts(msg platform.WorkerSync) {
	for _, s := range msg.Starts {
		k := attemptKey{task: s.Task, attempt: s.Attempt}
		if _, ok := v.tombstones[k]; ok {
			v.tombstones[k] = max(v.tombstones[k], msg.LeaseExpiry)
			continue
		}
		v.tombstones[k] = msg.LeaseExpiry
		if _, ok := v.attempts[k]; ok {
			continue
		}
		v.startAttempt(k, s)
	}
}

func (v *VM) startAttempt(k attemptKey, s platform.TaskStart) {
	a := &attempt{start: s, runIndex: len(v.record.Runs), state: platform.RunRunning, startedAt: v.now()}
	if s.RunTime > 0 {
		a.endsAt = a.startedAt + platform.WorkerTime(s.RunTime)
	}
	v.attempts[k] = a
	v.record.Runs = append(v.record.Runs, Run{
		VM: v.id, Task: s.Task, Attempt: s.Attempt, Resources: s.Resources, Start: v.clock(), State: a.state,
	})
	v.inUse = v.inUse.Add(s.Resources)
	if v.faults.FailAllStarts {
		v.endAttempt(a, platform.RunFailed, v.clock())
		return
	}
	m := &v.record.MaxInUse
	m.MilliCPU = max(m.MilliCPU, v.inUse.MilliCPU)
	m.MemoryMB = max(m.MemoryMB, v.inUse.MemoryMB)
	m.Accelerators = max(m.Accelerators, v.inUse.Accelerators)
}

func (v *VM) applyStops(stops []platform.TaskStop) {
	for _, s := range stops {
		k := attemptKey{task: s.Task, attempt: s.Attempt}
		a := v.attempts[k]
		if a == nil {
			continue
		}
		running := a.state == platform.RunRunning
		switch {
		case s.Mode == platform.StopThrottle:
			a.throttled = true
		case s.Mode == platform.StopCheckpoint && running:
			v.endAttempt(a, platform.RunCheckpointed, v.clock())
		case s.Mode == platform.StopKill && running:
			v.endAttempt(a, platform.RunKilled, v.clock())
		case s.Mode == platform.StopKill:
			delete(v.attempts, k)
		}
	}
}

func (v *VM) buildReport() platform.WorkerReport {
	r := platform.WorkerReport{
		VM:          v.id,
		Incarnation: v.incarnation,
		Clock:       v.now(),
		LeaseExpiry: v.expiry,
		Leaving:     v.faults.Leaving,
	}
	for k, a := range v.attempts {
		r.Tasks = append(r.Tasks, platform.TaskReport{
			Task: k.task, Attempt: k.attempt, State: a.state, Usage: v.usage(a), RunFor: v.runTime(a),
		})
	}
	return r
}

func (v *VM) runTime(a *attempt) time.Duration {
	run := v.record.Runs[a.runIndex]
	if !run.End.IsZero() {
		return run.End.Sub(run.Start)
	}
	return time.Duration(v.now() - a.startedAt)
}

// usage returns the usage of an attempt as of usageLag ago.
func (v *VM) usage(a *attempt) api.Resources {
	if v.runTime(a) < v.usageLag {
		return api.Resources{}
	}
	u := a.start.Resources
	if a.throttled {
		return u
	}
	u.MilliCPU = int64(float64(u.MilliCPU) * v.usageFactor)
	u.MemoryMB = int64(float64(u.MemoryMB) * v.usageFactor)
	return u
}

// SetUsageFactor sets the ratio of actual to declared usage of all tasks.
func (v *VM) SetUsageFactor(factor float64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.usageFactor = factor
}

// IsFrozen reports whether the VM answers nothing. Tests that call Sync directly,
// without sockets, use it.
func (v *VM) IsFrozen() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.faults.Frozen
}
