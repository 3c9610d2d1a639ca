// Package fleet puts together what the controllers know of each VM into
// what the scheduler plans with.
package fleet

import (
	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/cell"
	"github.com/skylarklock/skylarklock/internal/controller/worker"
	"github.com/skylarklock/skylarklock/internal/scheduler"
)

// Directory tells what the platform's list says of a VM.
type Directory interface {
	Leaving(id api.VMID) bool
}

// SyncStatus tells how a VM stands with the exchanges.
type SyncStatus interface {
	Status(id api.VMID) (worker.Status, bool)
}

// Quarantine tells which VMs take only probes.
type Quarantine interface {
	Quarantined(id api.VMID) bool
}

// View gives the VMs of one data centre. It is safe for concurrent use.
type View struct {
	dc         api.DataCentre
	machine    *cell.StateMachine
	dir        Directory
	syncs      SyncStatus
	quarantine Quarantine
}

// New returns a view.
func New(dc api.DataCentre, machine *cell.StateMachine, dir Directory, syncs SyncStatus, quarantine Quarantine) *View {
	return &View{dc: dc, machine: machine, dir: dir, syncs: syncs, quarantine: quarantine}
}

// Leaving reports whether the list or the VM itself says that it leaves.
func (v *View) Leaving(id api.VMID) bool {
	status, _ := v.syncs.Status(id)
	return status.Leaving || v.dir.Leaving(id)
}

// VMs returns every VM that the log holds. A VM takes starts once it has
// answered in this tenure: then its lease can be renewed.
func (v *View) VMs() []scheduler.VM {
	rows := v.machine.VMs()
	vms := make([]scheduler.VM, 0, len(rows))
	for _, row := range rows {
		status, _ := v.syncs.Status(row.ID)
		vms = append(vms, scheduler.VM{
			ID:          row.ID,
			DataCentre:  v.dc,
			Rack:        row.Rack,
			Capacity:    row.Capacity,
			Schedulable: status.IsResponsive && !row.Removed && !v.Leaving(row.ID),
			Quarantined: v.quarantine.Quarantined(row.ID),
		})
	}
	return vms
}
