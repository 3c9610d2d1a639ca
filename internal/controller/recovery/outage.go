package recovery

import (
	"sort"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/cell"
)

// Outage sums up what was lost together.
type Outage struct {
	VMs             int
	Attempts        int
	Racks           []string // racks of which every VM lost work, with more than one VM
	WholeDataCentre bool     // every VM of the data centre, with more than one
}

// SummarizeOutage sums up the attempts lost on each VM.
func SummarizeOutage(vms []cell.VMView, lost map[api.VMID]int) Outage {
	size := make(map[string]int)
	hit := make(map[string]int)
	o := Outage{VMs: len(lost)}
	for _, vm := range vms {
		size[vm.Rack]++
		if lost[vm.ID] > 0 {
			hit[vm.Rack]++
		}
	}
	for _, n := range lost {
		o.Attempts += n
	}
	for rack, n := range hit {
		if n > 1 && n == size[rack] {
			o.Racks = append(o.Racks, rack)
		}
	}
	sort.Strings(o.Racks)
	o.WholeDataCentre = len(vms) > 1 && len(lost) >= len(vms)
	return o
}
