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

// FaultRequest is the body of POST /faults. An empty VM selects all VMs.
type FaultRequest struct {
	VM          api.VMID `json:"vm"`
	Restart     bool     `json:"restart"`
	UsageFactor float64  `json:"use_factor"` // zero: unchanged
	Faults      Faults   `json:"faults"`
}

// Host is an HTTP handler for many stand-in VMs, each below /w/{vm}.
type Host struct {
	mux *http.ServeMux
	mu  sync.RWMutex
	vms map[api.VMID]*VM
}

// NewHost returns a host that serves vms.
func NewHost(vms ...*VM) *Host {
	h := &Host{mux: http.NewServeMux(), vms: make(map[api.VMID]*VM)}
	for _, v := range vms {
		h.Add(v)
	}
	h.mux.HandleFunc("POST /w/{vm}/sync", h.handleSync)
	h.mux.HandleFunc("POST /faults", h.handleFaults)
	h.mux.HandleFunc("GET /record", h.handleRecord)
	return h
}

// Add adds a VM to the host.
func (h *Host) Add(v *VM) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.vms[v.id] = v
}

// VM returns the VM with this ID, or nil if the host has none.
func (h *Host) VM(id api.VMID) *VM {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.vms[id]
}

// ServeHTTP implements http.Handler.
func (h *Host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mux.ServeHTTP(w, r)
}

func (h *Host) handleSync(w http.ResponseWriter, r *http.Request) {
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
	f := v.nextExchangeFaults()
	if f.Frozen {
		abortConnection()
	}
	if f.Delay > 0 {
		time.Sleep(f.Delay)
	}
	report, err := v.Sync(msg)
	if f.LoseAnswers > 0 {
		abortConnection()
	}
	if errors.Is(err, platform.ErrWorkerFenced) {
		http.Error(w, err.Error(), httpworker.StatusFenced)
		return
	}
	httpworker.WriteReport(w, report)
}

// abortConnection closes the connection without an answer.
func abortConnection() {
	panic(http.ErrAbortHandler)
}

// nextExchangeFaults returns the faults of the next exchange and counts down the
// answers to lose.
func (v *VM) nextExchangeFaults() Faults {
	v.mu.Lock()
	defer v.mu.Unlock()
	f := v.faults
	if f.LoseAnswers > 0 {
		v.faults.LoseAnswers--
	}
	return f
}

func (h *Host) handleFaults(w http.ResponseWriter, r *http.Request) {
	var req FaultRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for _, v := range h.selectVMs(req.VM) {
		v.SetFaults(req.Faults)
		if req.UsageFactor > 0 {
			v.SetUsageFactor(req.UsageFactor)
		}
		if req.Restart {
			v.Restart()
		}
	}
	w.WriteHeader(http.StatusNoContent)
}

func (h *Host) handleRecord(w http.ResponseWriter, r *http.Request) {
	records := []Record{}
	for _, v := range h.selectVMs(api.VMID(r.URL.Query().Get("vm"))) {
		records = append(records, v.Record())
	}
	w.Header().Set("Content-Type", "application/json")
	// The write fails only if the reader disconnected.
	_ = json.NewEncoder(w).Encode(records)
}

// selectVMs returns the VM with this ID, or all VMs in order of ID if it is empty.
func (h *Host) selectVMs(id api.VMID) []*VM {
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
