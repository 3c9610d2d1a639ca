// Package fleet combines the states of each VM from several controllers into
// the VMs that the scheduler plans with.
package fleet

import (
	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/cell"
	"github.com/skylarklock/skylarklock/internal/controller/worker"
	"github.com/skylarklock/skylarklock/internal/scheduler"
)

// Directory reports whether the platform's list marks a VM as leaving.
type Directory interface {
	Leaving(id api.VMID) bool
}

// SyncStatus returns the status of the exchanges with a VM.
type SyncStatus interface {
	Status(id api.VMID) (worker.Status, bool)
}

// Quarantine reports whether a VM accepts only probes.
type Quarantine interface {
	Quarantined(id api.VMID) bool
}

// View provides the VMs of one data centre. It is safe for concurrent use.
type View struct {
	dc         api.DataCentre
	machine    *cell.StateMachine
	directory  Directory
	syncStatus SyncStatus
	quarantine Quarantine
}

// New returns a view of the VMs of dc.
func New(dc api.DataCentre, machine *cell.StateMachine, directory Directory, syncStatus SyncStatus, quarantine Quarantine) *View {
	return &View{dc: dc, machine: machine, directory: directory, syncStatus: syncStatus, quarantine: quarantine}
}

// Leaving reports whether a VM leaves, according to the list or to the VM itself.
func (v *View) Leaving(id api.VMID) bool {
	status, _ := v.syncStatus.Status(id)
	return status.Leaving || v.directory.Leaving(id)
}

// VMs returns all VMs in the log. A VM is schedulable only after it has answered
// in this tenure, because only then can its lease be renewed.
func (v *View) VMs() []scheduler.VM {
	rows := v.machine.VMs()
	vms := make([]scheduler.VM, 0, len(rows))
	for _, row := range rows {
		status, _ := v.syncStatus.Status(row.ID)
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
