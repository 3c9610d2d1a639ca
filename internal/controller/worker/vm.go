package worker

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/lease"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// vm is one VM during one tenure.
type vm struct {
	id      api.VMID
	tenure  tenure
	cfg     Config
	changed atomic.Bool // something to tell

	mu         sync.Mutex
	address    api.VM
	busy       bool // an exchange is under way
	tracker    *lease.Tracker
	last       time.Time // start of the latest exchange
	answeredAt time.Time // latest report
	lapsed     bool      // its lease has, since the latest report
	failures   int       // exchanges without an answer in a row
	leaving    bool
	report     *platform.WorkerReport // latest
	look       time.Time              // when a task may have ended; from the latest report
	stopGap    time.Duration          // from one look at stops under way to the next; zero: none are
}

func newVM(address api.VM, t tenure, cfg Config) *vm {
	return &vm{
		id:      address.ID,
		tenure:  t,
		cfg:     cfg,
		address: address,
		tracker: lease.New(cfg.Lease, t.takeover),
	}
}

func (v *vm) setAddress(address api.VM) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.address = address
}

// dueVM is a VM to sync, as seen when it was found due.
type dueVM struct {
	vm      *vm
	last    time.Time
	probe   bool // it did not answer the last exchange, or had none yet
	lapsing bool // silent, and its lease has lapsed by now
}

// before puts what waits longest first.
func (d dueVM) before(o dueVM) bool {
	if !d.last.Equal(o.last) {
		return d.last.Before(o.last)
	}
	return d.vm.id < o.vm.id
}

// due reports whether the VM is to be synced now.
func (v *vm) due(now time.Time) (dueVM, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	d := dueVM{vm: v, last: v.last, probe: v.failures > 0 || v.report == nil}
	d.lapsing = v.failures > 0 && !v.lapsed && !now.Before(v.tracker.ExpiresAt())
	if v.busy {
		return d, false
	}
	return d, d.lapsing || !now.Before(v.next())
}

// next is when the next exchange is due: when a task may have ended, if that
// comes first.
func (v *vm) next() time.Time {
	at := v.last.Add(v.pause())
	if v.failures > 0 || v.look.IsZero() || !v.look.Before(at) {
		return at
	}
	if earliest := v.last.Add(v.cfg.MinInterval); v.look.Before(earliest) {
		return earliest
	}
	return v.look
}

// begin marks the VM as busy. Only the loop calls it.
func (v *vm) begin(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.busy = true
	v.last = now
}

// pause is the time from one exchange to the next.
func (v *vm) pause() time.Duration {
	if v.failures > 0 && !v.lapsed {
		return v.cfg.RetryInterval
	}
	if v.failures > 0 {
		return min(v.cfg.Interval*time.Duration(v.failures), v.cfg.MaxBackoff)
	}
	if v.changed.Load() || v.report == nil {
		return v.cfg.MinInterval
	}
	return v.cfg.Interval
}

func (v *vm) done() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.busy = false
}

func (v *vm) status(now time.Time) Status {
	v.mu.Lock()
	defer v.mu.Unlock()
	return Status{
		IsResponsive:   !v.answeredAt.IsZero() && now.Sub(v.answeredAt) < v.cfg.Lease.Lease/2,
		Leaving:        v.leaving,
		LeaseExpiresAt: v.tracker.ExpiresAt(),
	}
}
