package worker

import (
	"sort"
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

// begin reports whether the VM is due and then marks it as busy.
func (v *vm) begin(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.busy || now.Before(v.last.Add(v.pause())) {
		return false
	}
	v.busy = true
	v.last = now
	return true
}

// pause is the time from one exchange to the next.
func (v *vm) pause() time.Duration {
	if v.failures > 0 && !v.lapsed {
		return v.cfg.Retry
	}
	if v.failures > 0 {
		return min(v.cfg.Interval*time.Duration(v.failures), v.cfg.Backoff)
	}
	if v.changed.Load() || v.report == nil {
		return v.cfg.MinGap
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
		Answers:  !v.answeredAt.IsZero() && now.Sub(v.answeredAt) < v.cfg.Lease.Lease,
		Leaving:  v.leaving,
		LapsesAt: v.tracker.LapsesAt(),
	}
}

func sortByAge(vms []*vm) {
	last := make(map[*vm]time.Time, len(vms))
	for _, v := range vms {
		v.mu.Lock()
		last[v] = v.answeredAt
		v.mu.Unlock()
	}
	sort.Slice(vms, func(i, j int) bool {
		a, b := last[vms[i]], last[vms[j]]
		if !a.Equal(b) {
			return a.Before(b)
		}
		return vms[i].id < vms[j].id
	})
}
