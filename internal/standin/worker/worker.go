// Package worker is a small stand-in of worker agents for tests and demos.
// A task is a timer that runs under the VM's lease on the VM's own clock.
//
// The stand-in keeps to these rules, which the real agents are expected to
// keep too: starts and renewals of an exchange are refused when the exchange
// names another incarnation or its lease expiry has passed; an attempt that
// ended is reported until a StopKill for it arrives, and is remembered until
// no copy of an exchange that started it can be valid any more; when the
// lease lapses every task is stopped at once.
package worker

import (
	"sync"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// Clock gives the time on a VM. Tests inject it.
type Clock func() time.Time

// Faults are what a VM is made to do wrong. The zero value is a good VM.
type Faults struct {
	FailAllStarts bool          `json:"fail_everything"` // every start ends badly at once
	LoseAnswers   int           `json:"lose_answers"`    // so many next exchanges take effect, their answers are lost
	Delay         time.Duration `json:"delay_ns"`        // before an exchange takes effect
	Frozen        bool          `json:"frozen"`          // answers nothing; tasks run on until the lease lapses
	IgnoreFences  bool          `json:"ignore_fences"`   // accepts lower epochs
	Leaving       bool          `json:"leaving"`         // says so in its reports
}

// Run is the record of one attempt: the truth that tests check against.
type Run struct {
	VM        api.VMID          `json:"vm"`
	Task      api.TaskID        `json:"task"`
	Attempt   uint32            `json:"attempt"`
	Resources api.Resources     `json:"resources"`
	Start     time.Time         `json:"start"`
	End       time.Time         `json:"end"` // zero while running
	State     platform.RunState `json:"state"`
}

// Record is what a VM did so far.
type Record struct {
	VM       api.VMID      `json:"vm"`
	Capacity api.Resources `json:"capacity"`
	MaxInUse api.Resources `json:"max_in_use"` // largest sum at any moment, field by field
	Runs     []Run         `json:"runs"`
	Refused  int           `json:"refused"` // exchanges refused by epoch, incarnation or expiry
}

// attempt is one attempt held by the VM.
type attempt struct {
	start    platform.TaskStart
	run      int // index in Record.Runs
	state    platform.RunState
	began    platform.WorkerTime
	ends     platform.WorkerTime // zero: runs until stopped
	throttle bool
}

type key struct {
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
	booted      time.Time
	incarnation uint64
	epoch       api.Epoch
	expiry      platform.WorkerTime
	held        map[key]*attempt
	tombstones  map[key]platform.WorkerTime // until when copies may arrive
	inUse       api.Resources
	record      Record
	useFactor   float64 // actual over declared use
}

// New returns a VM whose usage reports lag by usageLag.
func New(id api.VMID, capacity api.Resources, clock Clock, usageLag time.Duration) *VM {
	return &VM{
		id:          id,
		clock:       clock,
		usageLag:    usageLag,
		booted:      clock(),
		incarnation: 1,
		held:        make(map[key]*attempt),
		tombstones:  make(map[key]platform.WorkerTime),
		record:      Record{VM: id, Capacity: capacity},
		useFactor:   1,
	}
}

// SetFaults replaces the VM's faults.
func (v *VM) SetFaults(f Faults) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.advance()
	v.faults = f
}

// Restart loses everything that the VM runs and holds.
func (v *VM) Restart() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.advance()
	now := v.clock()
	for _, a := range v.held {
		if a.state == platform.RunRunning {
			v.end(a, platform.RunKilled, now)
		}
	}
	v.incarnation++
	v.booted = now
	v.epoch = 0
	v.expiry = 0
	clear(v.held)
	clear(v.tombstones)
}

// Record returns what the VM did up to now.
func (v *VM) Record() Record {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.advance()
	r := v.record
	r.Runs = append([]Run(nil), r.Runs...)
	return r
}

// Sync does one exchange. It fails with platform.ErrWorkerFenced.
func (v *VM) Sync(msg platform.WorkerSync) (platform.WorkerReport, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.advance()
	if msg.Epoch < v.epoch && !v.faults.IgnoreFences {
		v.record.Refused++
		return platform.WorkerReport{}, platform.ErrWorkerFenced
	}
	v.epoch = max(v.epoch, msg.Epoch)
	v.stop(msg.Stops)
	if v.valid(msg) {
		v.expiry = max(v.expiry, msg.LeaseExpiry)
		v.start(msg)
	} else if msg.LeaseExpiry != 0 {
		v.record.Refused++
	}
	return v.report(), nil
}

// valid tells whether msg may renew and start.
func (v *VM) valid(msg platform.WorkerSync) bool {
	return msg.Incarnation == v.incarnation && msg.LeaseExpiry > v.now()
}

func (v *VM) now() platform.WorkerTime {
	// One is added so that no reading is zero, which means "none".
	return platform.WorkerTime(v.clock().Sub(v.booted)) + 1
}

func (v *VM) at(t platform.WorkerTime) time.Time {
	return v.booted.Add(time.Duration(t - 1))
}

// advance ends what has ended by itself or by a lapsed lease since the last
// call, at the times at which it did.
func (v *VM) advance() {
	now := v.now()
	for _, a := range v.held {
		if a.state != platform.RunRunning {
			continue
		}
		done := a.ends != 0 && a.ends <= min(now, v.expiry)
		switch {
		case done:
			v.end(a, platform.RunSucceeded, v.at(a.ends))
		case v.expiry <= now:
			v.end(a, platform.RunKilled, v.at(v.expiry))
		}
	}
	for k, until := range v.tombstones {
		if until < now {
			delete(v.tombstones, k)
		}
	}
}

func (v *VM) end(a *attempt, state platform.RunState, at time.Time) {
	a.state = state
	v.inUse = v.inUse.Sub(a.start.Resources)
	v.record.Runs[a.run].End = at
	v.record.Runs[a.run].State = state
}

func (v *VM) start(msg platform.WorkerSync) {
	for _, s := range msg.Starts {
		k := key{task: s.Task, attempt: s.Attempt}
		if _, ok := v.tombstones[k]; ok {
			v.tombstones[k] = max(v.tombstones[k], msg.LeaseExpiry)
			continue
		}
		v.tombstones[k] = msg.LeaseExpiry
		if _, ok := v.held[k]; ok {
			continue
		}
		v.begin(k, s)
	}
}

func (v *VM) begin(k key, s platform.TaskStart) {
	a := &attempt{start: s, run: len(v.record.Runs), state: platform.RunRunning, began: v.now()}
	if s.RunTime > 0 {
		a.ends = a.began + platform.WorkerTime(s.RunTime)
	}
	v.held[k] = a
	v.record.Runs = append(v.record.Runs, Run{
		VM: v.id, Task: s.Task, Attempt: s.Attempt, Resources: s.Resources, Start: v.clock(), State: a.state,
	})
	v.inUse = v.inUse.Add(s.Resources)
	if v.faults.FailAllStarts {
		v.end(a, platform.RunFailed, v.clock())
		return
	}
	m := &v.record.MaxInUse
	m.MilliCPU = max(m.MilliCPU, v.inUse.MilliCPU)
	m.MemoryMB = max(m.MemoryMB, v.inUse.MemoryMB)
	m.Accelerators = max(m.Accelerators, v.inUse.Accelerators)
}

func (v *VM) stop(stops []platform.TaskStop) {
	for _, s := range stops {
		k := key{task: s.Task, attempt: s.Attempt}
		a := v.held[k]
		if a == nil {
			continue
		}
		running := a.state == platform.RunRunning
		switch {
		case s.Mode == platform.StopThrottle:
			a.throttle = true
		case s.Mode == platform.StopCheckpoint && running:
			v.end(a, platform.RunCheckpointed, v.clock())
		case s.Mode == platform.StopKill && running:
			v.end(a, platform.RunKilled, v.clock())
		case s.Mode == platform.StopKill:
			delete(v.held, k)
		}
	}
}

func (v *VM) report() platform.WorkerReport {
	r := platform.WorkerReport{
		VM:          v.id,
		Incarnation: v.incarnation,
		Clock:       v.now(),
		LeaseExpiry: v.expiry,
		Leaving:     v.faults.Leaving,
	}
	for k, a := range v.held {
		r.Tasks = append(r.Tasks, platform.TaskReport{
			Task: k.task, Attempt: k.attempt, State: a.state, Usage: v.usage(a), RunFor: v.ranFor(a),
		})
	}
	return r
}

func (v *VM) ranFor(a *attempt) time.Duration {
	run := v.record.Runs[a.run]
	if !run.End.IsZero() {
		return run.End.Sub(run.Start)
	}
	return time.Duration(v.now() - a.began)
}

// usage is the use as it was usageLag ago.
func (v *VM) usage(a *attempt) api.Resources {
	if v.ranFor(a) < v.usageLag {
		return api.Resources{}
	}
	u := a.start.Resources
	if a.throttle {
		return u
	}
	u.MilliCPU = int64(float64(u.MilliCPU) * v.useFactor)
	u.MemoryMB = int64(float64(u.MemoryMB) * v.useFactor)
	return u
}

// SetUsageFactor sets what tasks really use, as a factor of what they declared.
func (v *VM) SetUsageFactor(factor float64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.useFactor = factor
}

// IsFrozen reports whether the VM answers nothing, for tests without sockets.
func (v *VM) IsFrozen() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.faults.Frozen
}
