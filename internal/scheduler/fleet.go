package scheduler

import (
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// vmKind is what VMs have in common for judging whether a job can ever run.
type vmKind struct {
	dc       api.DataCentre
	capacity api.Resources
}

// kindCount counts the VMs of a kind. The peak is kept for a while after
// VMs left, so that a VM list which shrinks for a moment condemns no job.
type kindCount struct {
	kind  vmKind
	count int64
	peak  int64
	since time.Time // when the count first stayed under its peak; zero: not seen yet
}

// fleet sums up the listed VMs.
type fleet struct {
	total api.Resources // capacity of the listed VMs
	vms   int
	kinds map[vmKind]*kindCount
	list  []*kindCount // in order of first appearance
}

// add counts v and reports whether there are more of its kind than lately.
func (f *fleet) add(v *vmState) bool {
	f.total = f.total.Add(v.Capacity)
	f.vms++
	key := vmKind{dc: v.DataCentre, capacity: v.Capacity}
	k := f.kinds[key]
	if k == nil {
		k = &kindCount{kind: key}
		f.kinds[key] = k
		f.list = append(f.list, k)
	}
	k.count++
	if k.count <= k.peak {
		return false
	}
	k.peak = k.count
	return true
}

func (f *fleet) remove(v *vmState) {
	f.total = f.total.Sub(v.Capacity)
	f.vms--
	f.kinds[vmKind{dc: v.DataCentre, capacity: v.Capacity}].count--
}

// fitsPlain reports whether a task of j fits an idle VM without accelerators.
func (f *fleet) fitsPlain(j *jobState) bool {
	for _, k := range f.list {
		if k.peak > 0 && k.kind.capacity.Accelerators == 0 && j.mayUse(k.kind.dc) && j.need().Fits(k.kind.capacity) {
			return true
		}
	}
	return false
}

// forget lowers peaks that have not been reached for the time of memory. It
// reports whether one was lowered.
func (f *fleet) forget(now time.Time, memory time.Duration) bool {
	lowered := false
	for _, k := range f.list {
		switch {
		case k.count == k.peak:
			k.since = time.Time{}
		case k.since.IsZero():
			k.since = now
		case now.Sub(k.since) >= memory:
			k.peak = k.count
			lowered = true
		}
	}
	return lowered
}
