package scheduler

import (
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// vmState is a VM with its allocations and scheduling state.
type vmState struct {
	VM
	listed          bool          // false for a VM known only from allocations
	used            api.Resources // running and reserved
	evictable       api.Resources // resources of the evictable tasks
	evictableByBand bandCounts    // number of evictable tasks by band
	nominated       api.Resources // nominated for tasks whose victims are stopping
	allocations     []*allocation
	hold            *hold // hold for a waiting job; a held VM is not indexed
	holdTasks       int64 // number of tasks of that job that the hold places here
	lastProbe       time.Time
	lastProbeWake   time.Time // when waiting work was last woken to probe this VM

	indexPartition *partition // nil if not indexed
	bucketAt       bucketKey
	bucketPos      int
	freed          bool // listed in State.freed
}

// free returns the capacity that is not allocated.
func (v *vmState) free() api.Resources {
	return v.Capacity.Sub(v.used)
}

// available returns the free capacity that is not nominated.
func (v *vmState) available() api.Resources {
	return v.free().Sub(v.nominated)
}

// acceptsWork reports whether tasks other than probes may start on v.
func (v *vmState) acceptsWork() bool {
	return v.listed && v.Schedulable && !v.Quarantined
}

// dataCentre indexes the VMs of one data centre.
type dataCentre struct {
	name        api.DataCentre
	cpuOnly     partition // VMs without accelerators
	accelerated partition
}

func (d *dataCentre) partitionOf(v *vmState) *partition {
	if v.Capacity.Accelerators > 0 {
		return &d.accelerated
	}
	return &d.cpuOnly
}

// PutVM adds a VM or replaces its description. Its allocations stay.
func (st *State) PutVM(vm VM) {
	v := st.vmOf(vm.ID)
	if v.listed && v.VM == vm {
		return
	}
	st.unindex(v)
	if v.listed {
		st.fleet.remove(v)
	}
	st.countSpreadOnVM(v, -1)
	v.VM = vm
	st.countSpreadOnVM(v, 1)
	v.listed = true
	if st.fleet.add(v) {
		st.invalidateFeasibility()
	}
	st.index(v)
	st.markFreed(v)
}

// countSpreadOnVM adds delta to the spread counts of the jobs with tasks on v.
func (st *State) countSpreadOnVM(v *vmState, delta int) {
	for _, alloc := range v.allocations {
		st.countSpread(alloc, delta)
	}
}

// RemoveVM removes a VM from the list. Tasks on it count against the quotas of their
// teams until Vacate.
func (st *State) RemoveVM(id api.VMID) {
	v := st.vms[id]
	if v == nil || !v.listed {
		return
	}
	st.unindex(v)
	st.quarantined.set(v, false)
	st.fleet.remove(v)
	v.listed = false
	v.Schedulable = false
	v.Capacity = api.Resources{}
	st.dropIfEmpty(v)
}

// Free returns the unallocated capacity of a VM and whether the VM is listed. A field
// is negative if the VM shrank or its allocations were reported to exceed its
// capacity.
func (st *State) Free(id api.VMID) (api.Resources, bool) {
	v := st.vms[id]
	if v == nil || !v.listed {
		return api.Resources{}, false
	}
	return v.free(), true
}

// vmOf returns the state of a VM. It adds an entry without capacity for an unknown
// VM.
func (st *State) vmOf(id api.VMID) *vmState {
	v := st.vms[id]
	if v == nil {
		v = &vmState{VM: VM{ID: id}}
		st.vms[id] = v
	}
	return v
}

func (st *State) dropIfEmpty(v *vmState) {
	if !v.listed && len(v.allocations) == 0 && v.hold == nil && v.nominated.IsZero() {
		delete(st.vms, v.ID)
	}
}

func (st *State) index(v *vmState) {
	st.quarantined.set(v, v.listed && v.Schedulable && v.Quarantined)
	if !v.acceptsWork() {
		return
	}
	if v.hold != nil || v.available().HasNegative() {
		return
	}
	st.dataCentreOf(v.DataCentre).partitionOf(v).insert(v)
}

func (st *State) unindex(v *vmState) {
	if v.indexPartition != nil {
		v.indexPartition.remove(v)
	}
}

// reindex updates the index after a change of the available capacity of v.
func (st *State) reindex(v *vmState) {
	if v.indexPartition != nil && !v.available().HasNegative() {
		v.indexPartition.update(v)
		return
	}
	st.unindex(v)
	st.index(v)
}

// markFreed records that v may now fit waiting work.
func (st *State) markFreed(v *vmState) {
	if v.freed {
		return
	}
	v.freed = true
	st.freed = append(st.freed, v)
}

func (st *State) dataCentreOf(name api.DataCentre) *dataCentre {
	d := st.dataCentres[name]
	if d == nil {
		d = &dataCentre{name: name}
		st.dataCentres[name] = d
		st.dataCentreList = append(st.dataCentreList, d)
	}
	return d
}

// vmSet is a set of VMs with a deterministic order.
type vmSet struct {
	list []*vmState
	pos  map[*vmState]int
}

func (s *vmSet) set(v *vmState, in bool) {
	i, has := s.pos[v]
	if has == in {
		return
	}
	if in {
		s.pos[v] = len(s.list)
		s.list = append(s.list, v)
		return
	}
	last := len(s.list) - 1
	s.list[i] = s.list[last]
	s.pos[s.list[i]] = i
	s.list[last] = nil
	s.list = s.list[:last]
	delete(s.pos, v)
}
