// Package vmlist is a small stand-in of the platform's VM list, for tests
// and demos. Changes show in the list only after a lag.
package vmlist

import (
	"encoding/json"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// change is one VM's state from a moment on; a nil vm means removed.
type change struct {
	at time.Time
	id api.VMID
	vm *api.VM
}

// List holds the VMs of all data centres.
type List struct {
	clock func() time.Time
	lag   time.Duration
	mux   *http.ServeMux

	mu      sync.Mutex
	down    bool
	truth   map[api.VMID]api.VM
	shown   map[api.VMID]api.VM
	pending []change
}

// New returns an empty list whose readers see changes lag late.
func New(clock func() time.Time, lag time.Duration) *List {
	l := &List{
		clock: clock,
		lag:   lag,
		mux:   http.NewServeMux(),
		truth: make(map[api.VMID]api.VM),
		shown: make(map[api.VMID]api.VM),
	}
	l.mux.HandleFunc("GET /vms/{dc}", l.get)
	l.mux.HandleFunc("POST /order", l.order)
	return l
}

// Put adds or replaces a VM.
func (l *List) Put(vm api.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.truth[vm.ID] = vm
	l.pending = append(l.pending, change{at: l.clock(), id: vm.ID, vm: &vm})
}

// MarkLeaving marks a VM as leaving.
func (l *List) MarkLeaving(id api.VMID) {
	l.mu.Lock()
	vm, ok := l.truth[id]
	l.mu.Unlock()
	if ok {
		vm.State = api.VMLeaving
		l.Put(vm)
	}
}

// Remove drops a VM.
func (l *List) Remove(id api.VMID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.truth, id)
	l.pending = append(l.pending, change{at: l.clock(), id: id})
}

// SetDown makes every read fail, or ends that.
func (l *List) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// ChangeRequest is the body of POST /order.
type ChangeRequest struct {
	Put    []api.VM   `json:"put"`
	Leave  []api.VMID `json:"leave"`
	Remove []api.VMID `json:"remove"`
	Down   *bool      `json:"down"`
}

// ServeHTTP implements http.Handler.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mux.ServeHTTP(w, r)
}

func (l *List) order(w http.ResponseWriter, r *http.Request) {
	var o ChangeRequest
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for _, vm := range o.Put {
		l.Put(vm)
	}
	for _, id := range o.Leave {
		l.MarkLeaving(id)
	}
	for _, id := range o.Remove {
		l.Remove(id)
	}
	if o.Down != nil {
		l.SetDown(*o.Down)
	}
	w.WriteHeader(http.StatusNoContent)
}

func (l *List) get(w http.ResponseWriter, r *http.Request) {
	vms, ok := l.read(api.DataCentre(r.PathValue("dc")))
	if !ok {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the reader has gone.
	_ = json.NewEncoder(w).Encode(vms)
}

func (l *List) read(dc api.DataCentre) ([]api.VM, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, false
	}
	l.show()
	vms := []api.VM{}
	for _, vm := range l.shown {
		if vm.DataCentre == dc {
			vms = append(vms, vm)
		}
	}
	sort.Slice(vms, func(i, j int) bool { return vms[i].ID < vms[j].ID })
	return vms, true
}

// show makes visible what is older than the lag.
func (l *List) show() {
	horizon := l.clock().Add(-l.lag)
	for len(l.pending) > 0 && !l.pending[0].at.After(horizon) {
		c := l.pending[0]
		l.pending = l.pending[1:]
		if c.vm == nil {
			delete(l.shown, c.id)
			continue
		}
		l.shown[c.id] = *c.vm
	}
}
