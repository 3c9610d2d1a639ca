// Package vmlist implements a small stand-in for the platform's VM list, for
// tests and demos. Changes become visible to readers after a lag.
package vmlist

import (
	"encoding/json"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// change is the state of one VM from a point in time on; a nil vm means that the
// VM was removed.
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
	current map[api.VMID]api.VM
	visible map[api.VMID]api.VM
	pending []change
}

// New returns an empty list whose readers see changes after lag.
func New(clock func() time.Time, lag time.Duration) *List {
	l := &List{
		clock:   clock,
		lag:     lag,
		mux:     http.NewServeMux(),
		current: make(map[api.VMID]api.VM),
		visible: make(map[api.VMID]api.VM),
	}
	l.mux.HandleFunc("GET /vms/{dc}", l.handleList)
	l.mux.HandleFunc("POST /order", l.handleChange)
	return l
}

// Put adds or replaces a VM.
func (l *List) Put(vm api.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current[vm.ID] = vm
	l.pending = append(l.pending, change{at: l.clock(), id: vm.ID, vm: &vm})
}

// MarkLeaving marks a VM as leaving.
func (l *List) MarkLeaving(id api.VMID) {
	l.mu.Lock()
	vm, ok := l.current[id]
	l.mu.Unlock()
	if ok {
		vm.State = api.VMLeaving
		l.Put(vm)
	}
}

// Remove removes a VM.
func (l *List) Remove(id api.VMID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.current, id)
	l.pending = append(l.pending, change{at: l.clock(), id: id})
}

// SetDown sets whether every read fails.
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

func (l *List) handleChange(w http.ResponseWriter, r *http.Request) {
	var req ChangeRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for _, vm := range req.Put {
		l.Put(vm)
	}
	for _, id := range req.Leave {
		l.MarkLeaving(id)
	}
	for _, id := range req.Remove {
		l.Remove(id)
	}
	if req.Down != nil {
		l.SetDown(*req.Down)
	}
	w.WriteHeader(http.StatusNoContent)
}

func (l *List) handleList(w http.ResponseWriter, r *http.Request) {
	vms, ok := l.visibleVMs(api.DataCentre(r.PathValue("dc")))
	if !ok {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// The write fails only if the reader disconnected.
	_ = json.NewEncoder(w).Encode(vms)
}

func (l *List) visibleVMs(dc api.DataCentre) ([]api.VM, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, false
	}
	l.applyPending()
	vms := []api.VM{}
	for _, vm := range l.visible {
		if vm.DataCentre == dc {
			vms = append(vms, vm)
		}
	}
	sort.Slice(vms, func(i, j int) bool { return vms[i].ID < vms[j].ID })
	return vms, true
}

// applyPending makes the changes visible that are at least as old as the lag.
func (l *List) applyPending() {
	horizon := l.clock().Add(-l.lag)
	for len(l.pending) > 0 && !l.pending[0].at.After(horizon) {
		c := l.pending[0]
		l.pending = l.pending[1:]
		if c.vm == nil {
			delete(l.visible, c.id)
			continue
		}
		l.visible[c.id] = *c.vm
	}
}
