package scheduler

import (
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// vmKind holds the properties of a VM that decide whether a job can ever run on it.
type vmKind struct {
	dc       api.DataCentre
	capacity api.Resources
}

// kindCount counts the VMs of a kind. The peak is kept for some time after VMs
// left, so that a temporarily shortened VM list makes no job infeasible.
type kindCount struct {
	kind           vmKind
	count          int64
	peak           int64
	belowPeakSince time.Time // when the count was first seen below its peak; zero if it was not
}

// fleet holds totals of the listed VMs.
type fleet struct {
	total    api.Resources // capacity of the listed VMs
	vmCount  int
	kinds    map[vmKind]*kindCount
	kindList []*kindCount // in order of first appearance
}

// add counts v and reports whether the count of its kind exceeds the peak.
func (f *fleet) add(v *vmState) bool {
	f.total = f.total.Add(v.Capacity)
	f.vmCount++
	key := vmKind{dc: v.DataCentre, capacity: v.Capacity}
	k := f.kinds[key]
	if k == nil {
		k = &kindCount{kind: key}
		f.kinds[key] = k
		f.kindList = append(f.kindList, k)
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
	f.vmCount--
	f.kinds[vmKind{dc: v.DataCentre, capacity: v.Capacity}].count--
}

// fitsWithoutAccelerators reports whether a task of j fits an idle VM without accelerators.
func (f *fleet) fitsWithoutAccelerators(j *jobState) bool {
	for _, k := range f.kindList {
		if k.peak > 0 && k.kind.capacity.Accelerators == 0 && j.mayUse(k.kind.dc) && j.need().Fits(k.kind.capacity) {
			return true
		}
	}
	return false
}

// expirePeaks lowers peaks that have not been reached for the retention time. It
// reports whether one was lowered.
func (f *fleet) expirePeaks(now time.Time, retention time.Duration) bool {
	lowered := false
	for _, k := range f.kindList {
		switch {
		case k.count == k.peak:
			k.belowPeakSince = time.Time{}
		case k.belowPeakSince.IsZero():
			k.belowPeakSince = now
		case now.Sub(k.belowPeakSince) >= retention:
			k.peak = k.count
			lowered = true
		}
	}
	return lowered
}
