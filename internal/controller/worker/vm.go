package worker

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/lease"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// vm is the state of one VM during one tenure.
type vm struct {
	id      api.VMID
	tenure  tenure
	cfg     Config
	changed atomic.Bool // the next exchange has something to send

	mu                sync.Mutex
	address           api.VM
	busy              bool // an exchange is in progress
	tracker           *lease.Tracker
	lastExchange      time.Time // start of the latest exchange
	answeredAt        time.Time // time of the latest report
	leaseExpired      bool      // the lease has expired since the latest report
	failures          int       // consecutive exchanges without an answer
	leaving           bool
	report            *platform.WorkerReport // latest report
	nextCheck         time.Time              // when a task may have ended, according to the latest report
	stopCheckInterval time.Duration          // between checks of pending stops; zero if there are none
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

// dueVM is a VM to exchange with, in the state in which it was found due.
type dueVM struct {
	vm           *vm
	lastExchange time.Time
	isProbe      bool // the VM did not answer the latest exchange, or had none yet
	leaseExpired bool // the VM is unresponsive and its lease has just expired
}

// before orders VMs by the time since their latest exchange, longest first.
func (d dueVM) before(o dueVM) bool {
	if !d.lastExchange.Equal(o.lastExchange) {
		return d.lastExchange.Before(o.lastExchange)
	}
	return d.vm.id < o.vm.id
}

// checkDue reports whether an exchange with the VM is due.
func (v *vm) checkDue(now time.Time) (dueVM, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	d := dueVM{vm: v, lastExchange: v.lastExchange, isProbe: v.failures > 0 || v.report == nil}
	d.leaseExpired = v.failures > 0 && !v.leaseExpired && !now.Before(v.tracker.ExpiresAt())
	if v.busy {
		return d, false
	}
	return d, d.leaseExpired || !now.Before(v.nextExchange())
}

// nextExchange returns when the next exchange is due: after the regular interval, or
// earlier if a task may have ended by then.
func (v *vm) nextExchange() time.Time {
	at := v.lastExchange.Add(v.exchangeInterval())
	if v.failures > 0 || v.nextCheck.IsZero() || !v.nextCheck.Before(at) {
		return at
	}
	if earliest := v.lastExchange.Add(v.cfg.MinInterval); v.nextCheck.Before(earliest) {
		return earliest
	}
	return v.nextCheck
}

// beginExchange marks the VM as busy. It is called only by the loop of the controller.
func (v *vm) beginExchange(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.busy = true
	v.lastExchange = now
}

// exchangeInterval returns the regular interval between two exchanges.
func (v *vm) exchangeInterval() time.Duration {
	if v.failures > 0 && !v.leaseExpired {
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

func (v *vm) endExchange() {
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
