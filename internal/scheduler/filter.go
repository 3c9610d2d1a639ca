package scheduler

import (
	"fmt"
	"math/bits"

	"github.com/skylarklock/skylarklock/api"
)

const (
	// perBucketPacked and perBucketSpread bound the VMs looked at in one
	// bucket of the index in the first, sampling pass of a search.
	perBucketPacked = 4
	perBucketSpread = 2
)

// search is the outcome of the filter stage: VMs that may take the task, or
// how many were refused on which ground.
type search struct {
	vms []*vmState
	// perAccelerator is what idle accelerators keep; nil: nothing.
	perAccelerator *usualNeed

	avoided   int    // a task of the job failed there
	spread    int    // MaxPerRack or MaxPerVM
	held      int    // kept for a waiting gang
	headroom  int    // kept for work that needs the accelerators
	nominated int    // kept for an urgent job
	covered   *shape // a search for less found no room
}

// filter finds VMs that may take a task of j: a sample of those which fit,
// and only when the sample gave none, the first of all. There is no search
// when one for less found no room.
func (c *cycle) filter(j *jobState) search {
	headroom := c.world.keepsHeadroom(j)
	if s := c.world.frontier.covering(j.need(), headroom != nil); s != nil {
		return search{covered: s}
	}
	f := search{vms: c.vms[:0], perAccelerator: headroom}
	c.sample(j, &f, c.samplingDepth(j))
	if len(f.vms) == 0 {
		f = search{vms: c.vms[:0], perAccelerator: headroom}
		c.sample(j, &f, 0)
	}
	if len(f.vms) == 0 {
		c.sampleHeld(j, &f)
	}
	c.vms = f.vms
	return f
}

func (c *cycle) samplingDepth(j *jobState) int {
	if j.spreads() {
		return perBucketSpread
	}
	return perBucketPacked
}

// sample adds VMs out of the index, looking at perBucket VMs of a bucket.
// VMs with accelerators are tried last for work that needs none.
func (c *cycle) sample(j *jobState, f *search, perBucket int) {
	dcs := c.dataCentres(j)
	if j.need().Accelerators == 0 {
		for _, d := range dcs {
			if c.samplePartition(j, f, &d.plain, perBucket) {
				return
			}
		}
		if len(f.vms) > 0 {
			return
		}
	}
	for _, d := range dcs {
		if c.samplePartition(j, f, &d.accelerated, perBucket) {
			return
		}
	}
}

// samplePartition reports whether f has enough VMs. Packed work is content
// with one partition; work that spreads looks at several.
func (c *cycle) samplePartition(j *jobState, f *search, p *partition, perBucket int) bool {
	if p.size == 0 {
		return false
	}
	limit := c.cfg.Policy.SampleSize
	if j.spreads() {
		limit = len(f.vms) + max(1, (limit-len(f.vms))/2)
	}
	need := j.need()
	p.walk(need, perBucket, c.rand.Uint32(), func(v *vmState) bool {
		if f.admit(j, v, need) {
			f.vms = append(f.vms, v)
		}
		return len(f.vms) < limit
	})
	if j.spreads() {
		return len(f.vms) >= c.cfg.Policy.SampleSize
	}
	return len(f.vms) > 0
}

// admit reports whether v may take a task of j, and counts the refusal.
func (f *search) admit(j *jobState, v *vmState, need api.Resources) bool {
	spare := v.spare()
	switch {
	case !need.Fits(spare):
		if need.Fits(v.free()) {
			f.nominated++
		}
		return false
	case j.Avoid[v.ID]:
		f.avoided++
		return false
	case !j.spreadAllows(v):
		f.spread++
		return false
	case v.Capacity.Accelerators > 0 && !f.leavesHeadroom(spare.Sub(need)):
		f.headroom++
		return false
	}
	return true
}

// spreadAllows reports whether one more task of j may go to v.
func (j *jobState) spreadAllows(v *vmState) bool {
	if j.spread == nil {
		return true
	}
	if limit := j.Spec.MaxPerVM; limit > 0 && j.spread.vms[v.ID] >= limit {
		return false
	}
	limit := j.Spec.MaxPerRack
	return limit == 0 || j.spread.racks[v.Rack] < limit
}

// leavesHeadroom reports whether left still serves the idle accelerators of
// v: each keeps the processors and memory that work with accelerators has
// lately asked for, by accelerator.
func (f *search) leavesHeadroom(left api.Resources) bool {
	if f.perAccelerator == nil || left.Accelerators <= 0 {
		return true
	}
	idle := float64(left.Accelerators)
	return float64(left.MilliCPU) >= idle*f.perAccelerator.milliCPU &&
		float64(left.MemoryMB) >= idle*f.perAccelerator.memoryMB
}

// keepsHeadroom returns what an idle accelerator keeps against j: nothing
// when j needs accelerators itself, is urgent, or fits no other VM.
func (w *State) keepsHeadroom(j *jobState) *usualNeed {
	if j.need().Accelerators > 0 || j.isUrgent() || !w.fleet.fitsPlain(j) {
		return nil
	}
	return &w.perAccelerator
}

// dataCentres returns those j may use, from a random one on.
func (c *cycle) dataCentres(j *jobState) []*dataCentre {
	w := c.world
	c.dcs = c.dcs[:0]
	if len(j.Spec.DataCentres) > 0 {
		for _, name := range j.Spec.DataCentres {
			if d := w.dataCentres[name]; d != nil {
				c.dcs = append(c.dcs, d)
			}
		}
		return c.dcs
	}
	if len(w.dcList) == 0 {
		return c.dcs
	}
	first := c.rand.IntN(len(w.dcList))
	c.dcs = append(c.dcs, w.dcList[first:]...)
	c.dcs = append(c.dcs, w.dcList[:first]...)
	return c.dcs
}

// verdict says why the search found no VM.
func (f *search) verdict(w *State, j *jobState) verdict {
	switch {
	case f.covered != nil:
		return verdict{api.ReasonNoCapacity, fmt.Sprintf(
			"a task needs %v: no VM has even %v free", j.need(), f.covered.key.need)}
	case f.spread > 0:
		return verdict{api.ReasonSpread, fmt.Sprintf(
			"%d VMs have room, but %d tasks to a VM and %d to a rack are allowed (0: any)",
			f.spread, j.Spec.MaxPerVM, j.Spec.MaxPerRack)}
	case f.avoided > 0:
		return verdict{api.ReasonNoCapacity, fmt.Sprintf(
			"the %d VMs with room are ones on which its tasks failed", f.avoided)}
	case f.held > 0:
		return verdict{api.ReasonBehindGang, fmt.Sprintf(
			"%d VMs with room are held for a waiting gang and the task may not end in time", f.held)}
	case f.nominated > 0:
		return verdict{api.ReasonNoCapacity, fmt.Sprintf(
			"%d VMs with room are kept for urgent tasks", f.nominated)}
	case f.headroom > 0:
		return verdict{api.ReasonNoCapacity, fmt.Sprintf(
			"the %d VMs with room keep it for work that needs their accelerators", f.headroom)}
	}
	if w.quarantineFits(j) {
		return verdict{api.ReasonQuarantine, "only quarantined VMs have room"}
	}
	return shortage(w, j)
}

// noRoom reports whether the search showed that no VM has room for a task,
// whatever its job, but for the headroom of accelerators.
func (f *search) noRoom(j *jobState) bool {
	refused := f.spread + f.avoided + f.held + f.nominated
	return f.covered == nil && refused == 0 && len(j.Spec.DataCentres) == 0
}

// shortage names the resource that is short.
func shortage(w *State, j *jobState) verdict {
	need := j.need()
	var most api.Resources // spare of any one VM, by bucket, each on its own
	for _, d := range w.dcList {
		if j.mayUse(d.name) {
			d.plain.mostSpare(&most)
			d.accelerated.mostSpare(&most)
		}
	}
	detail := "no VM has them together"
	switch {
	case need.Accelerators > most.Accelerators:
		detail = "no VM has the accelerators free"
	case int64(level(need.MilliCPU/milliCPUUnit)) > most.MilliCPU:
		detail = "no VM has the processors free"
	case int64(level(need.MemoryMB/memoryUnit)) > most.MemoryMB:
		detail = "no VM has the memory free"
	}
	return verdict{api.ReasonNoCapacity, fmt.Sprintf("a task needs %v: %s", need, detail)}
}

// mostSpare raises most to the highest levels found in p.
func (p *partition) mostSpare(most *api.Resources) {
	for a, rows := range p.filled {
		if rows == 0 {
			continue
		}
		most.Accelerators = max(most.Accelerators, int64(a))
		most.MilliCPU = max(most.MilliCPU, int64(highestBit(rows)))
		for ; rows != 0; rows &= rows - 1 {
			r := p.rows[a][bits.TrailingZeros64(rows)]
			most.MemoryMB = max(most.MemoryMB, int64(highestBit(r.filled)))
		}
	}
}

func (j *jobState) mayUse(dc api.DataCentre) bool {
	if len(j.Spec.DataCentres) == 0 {
		return true
	}
	for _, name := range j.Spec.DataCentres {
		if name == dc {
			return true
		}
	}
	return false
}
