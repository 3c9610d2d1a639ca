package recovery

import (
	"sort"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/cell"
)

// Outage summarizes the losses found in one round.
type Outage struct {
	VMs             int
	Attempts        int
	Racks           []string // racks with several VMs on which every VM lost attempts
	WholeDataCentre bool     // every VM of a data centre with several VMs lost attempts
}

// SummarizeOutage summarizes the number of attempts lost on each VM.
func SummarizeOutage(vms []cell.VMView, lost map[api.VMID]int) Outage {
	vmsInRack := make(map[string]int)
	affectedInRack := make(map[string]int)
	o := Outage{VMs: len(lost)}
	for _, vm := range vms {
		vmsInRack[vm.Rack]++
		if lost[vm.ID] > 0 {
			affectedInRack[vm.Rack]++
		}
	}
	for _, n := range lost {
		o.Attempts += n
	}
	for rack, n := range affectedInRack {
		if n > 1 && n == vmsInRack[rack] {
			o.Racks = append(o.Racks, rack)
		}
	}
	sort.Strings(o.Racks)
	o.WholeDataCentre = len(vms) > 1 && len(lost) >= len(vms)
	return o
}
