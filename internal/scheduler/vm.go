package scheduler

import (
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// vmState is a VM with what occupies it.
type vmState struct {
	VM
	known     bool          // listed; false for a VM seen only in reports
	used      api.Resources // running and reserved
	evictable api.Resources // of what runs here, by checkpoint
	victims   bandCounts    // the number of those, by band
	nominated api.Resources // kept for urgent tasks whose victims are stopping
	holdings  []*holding
	hold      *hold // VM is held for a waiting job; out of the index
	holdTasks int64 // tasks of that job it is held for
	lastProbe time.Time
	offered   time.Time // when waiting work was last woken to probe v

	part  *partition // nil: not in the index
	at    cellAt
	pos   int
	freed bool // listed in World.freed
}

// free is the capacity not in use or reserved.
func (v *vmState) free() api.Resources {
	return v.Capacity.Sub(v.used)
}

// spare is what work without a nomination may take.
func (v *vmState) spare() api.Resources {
	return v.free().Sub(v.nominated)
}

// open reports whether ordinary work may start on v.
func (v *vmState) open() bool {
	return v.known && v.Schedulable && !v.Quarantined
}

// dataCentre is the index of one data centre.
type dataCentre struct {
	name        api.DataCentre
	plain       partition // VMs without accelerators
	accelerated partition
}

func (d *dataCentre) partitionOf(v *vmState) *partition {
	if v.Capacity.Accelerators > 0 {
		return &d.accelerated
	}
	return &d.plain
}

// PutVM adds a VM or replaces what is known of it; its tasks stay.
func (w *State) PutVM(vm VM) {
	v := w.vmOf(vm.ID)
	if v.known && v.VM == vm {
		return
	}
	w.unindex(v)
	if v.known {
		w.fleet.remove(v)
	}
	w.countRack(v, -1)
	v.VM = vm
	w.countRack(v, 1)
	v.known = true
	if w.fleet.add(v) {
		w.judgeAgain()
	}
	w.index(v)
	w.markFreed(v)
}

// countRack adds by to the counts by rack of the jobs with tasks on v.
func (w *State) countRack(v *vmState, by int) {
	for _, h := range v.holdings {
		w.countSpread(h, by)
	}
}

// RemoveVM takes a VM out of the list. Tasks on it keep counting against
// their teams until Vacate.
func (w *State) RemoveVM(id api.VMID) {
	v := w.vms[id]
	if v == nil || !v.known {
		return
	}
	w.unindex(v)
	w.quarantine.set(v, false)
	w.fleet.remove(v)
	v.known = false
	v.Schedulable = false
	v.Capacity = api.Resources{}
	w.dropIfEmpty(v)
}

// Free returns the capacity of a VM that is neither used nor reserved, and
// whether the VM is listed. A field is negative after the VM shrank or was
// reported to hold more than it can.
func (w *State) Free(id api.VMID) (api.Resources, bool) {
	v := w.vms[id]
	if v == nil || !v.known {
		return api.Resources{}, false
	}
	return v.free(), true
}

// vmOf returns the state of a VM; one that isn't listed yet gets an entry
// without capacity.
func (w *State) vmOf(id api.VMID) *vmState {
	v := w.vms[id]
	if v == nil {
		v = &vmState{VM: VM{ID: id}}
		w.vms[id] = v
	}
	return v
}

func (w *State) dropIfEmpty(v *vmState) {
	if !v.known && len(v.holdings) == 0 && v.hold == nil && v.nominated.IsZero() {
		delete(w.vms, v.ID)
	}
}

func (w *State) index(v *vmState) {
	w.quarantine.set(v, v.known && v.Schedulable && v.Quarantined)
	if !v.open() {
		return
	}
	if v.hold != nil || v.spare().Negative() {
		return
	}
	w.dataCentreOf(v.DataCentre).partitionOf(v).insert(v)
}

func (w *State) unindex(v *vmState) {
	if v.part != nil {
		v.part.remove(v)
	}
}

// reindex follows a change of what v has to spare.
func (w *State) reindex(v *vmState) {
	if v.part != nil && !v.spare().Negative() {
		v.part.update(v)
		return
	}
	w.unindex(v)
	w.index(v)
}

// markFreed notes that v may now hold work which waits.
func (w *State) markFreed(v *vmState) {
	if v.freed {
		return
	}
	v.freed = true
	w.freed = append(w.freed, v)
}

func (w *State) dataCentreOf(name api.DataCentre) *dataCentre {
	d := w.dataCentres[name]
	if d == nil {
		d = &dataCentre{name: name}
		w.dataCentres[name] = d
		w.dcList = append(w.dcList, d)
	}
	return d
}

// vmSet is a set of VMs with a stable order.
type vmSet struct {
	list []*vmState
	pos  map[*vmState]int
}

func (s *vmSet) set(v *vmState, in bool) {
	at, has := s.pos[v]
	if has == in {
		return
	}
	if in {
		s.pos[v] = len(s.list)
		s.list = append(s.list, v)
		return
	}
	last := len(s.list) - 1
	s.list[at] = s.list[last]
	s.pos[s.list[at]] = at
	s.list[last] = nil
	s.list = s.list[:last]
	delete(s.pos, v)
}
