package worker

import (
	"encoding/json"
	"errors"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/platform/httpworker"
)

// FaultRequest is the body of POST /faults. An empty VM means all of them.
type FaultRequest struct {
	VM          api.VMID `json:"vm"`
	Restart     bool     `json:"restart"`
	UsageFactor float64  `json:"use_factor"` // zero: leave
	Faults      Faults   `json:"faults"`
}

// Host serves many stand-in VMs from one handler, each below /w/{vm}.
type Host struct {
	mux *http.ServeMux
	mu  sync.RWMutex
	vms map[api.VMID]*VM
}

// NewHost returns a host of vms.
func NewHost(vms ...*VM) *Host {
	h := &Host{mux: http.NewServeMux(), vms: make(map[api.VMID]*VM)}
	for _, v := range vms {
		h.Add(v)
	}
	h.mux.HandleFunc("POST /w/{vm}/sync", h.sync)
	h.mux.HandleFunc("POST /faults", h.faults)
	h.mux.HandleFunc("GET /record", h.record)
	return h
}

// Add puts a further VM on the host.
func (h *Host) Add(v *VM) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.vms[v.id] = v
}

// VM returns a VM of the host, nil when there is none of that name.
func (h *Host) VM(id api.VMID) *VM {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.vms[id]
}

// ServeHTTP implements http.Handler.
func (h *Host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mux.ServeHTTP(w, r)
}

func (h *Host) sync(w http.ResponseWriter, r *http.Request) {
	v := h.VM(api.VMID(r.PathValue("vm")))
	if v == nil {
		http.Error(w, "no such VM", http.StatusNotFound)
		return
	}
	msg, err := httpworker.ReadSync(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f := v.beforeExchange()
	if f.Frozen {
		drop()
	}
	if f.Delay > 0 {
		time.Sleep(f.Delay)
	}
	report, err := v.Sync(msg)
	if f.LoseAnswers > 0 {
		drop()
	}
	if errors.Is(err, platform.ErrWorkerFenced) {
		http.Error(w, err.Error(), httpworker.StatusFenced)
		return
	}
	httpworker.WriteReport(w, report)
}

// drop breaks the connection off without an answer.
func drop() {
	panic(http.ErrAbortHandler)
}

// beforeExchange returns the faults for one exchange and counts it.
func (v *VM) beforeExchange() Faults {
	v.mu.Lock()
	defer v.mu.Unlock()
	f := v.faults
	if f.LoseAnswers > 0 {
		v.faults.LoseAnswers--
	}
	return f
}

func (h *Host) faults(w http.ResponseWriter, r *http.Request) {
	var order FaultRequest
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for _, v := range h.selected(order.VM) {
		v.SetFaults(order.Faults)
		if order.UsageFactor > 0 {
			v.SetUsageFactor(order.UsageFactor)
		}
		if order.Restart {
			v.Restart()
		}
	}
	w.WriteHeader(http.StatusNoContent)
}

func (h *Host) record(w http.ResponseWriter, r *http.Request) {
	records := []Record{}
	for _, v := range h.selected(api.VMID(r.URL.Query().Get("vm"))) {
		records = append(records, v.Record())
	}
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the reader has gone.
	_ = json.NewEncoder(w).Encode(records)
}

// selected returns the named VM, or all in order of their names.
func (h *Host) selected(id api.VMID) []*VM {
	h.mu.RLock()
	defer h.mu.RUnlock()
	var vms []*VM
	for _, v := range h.vms {
		if id == "" || v.id == id {
			vms = append(vms, v)
		}
	}
	sort.Slice(vms, func(i, j int) bool { return vms[i].id < vms[j].id })
	return vms
}
