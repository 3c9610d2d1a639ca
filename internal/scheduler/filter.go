package scheduler

import (
	"fmt"
	"math/bits"

	"github.com/skylarklock/skylarklock/api"
)

const (
	// maxPerBucketPacked and maxPerBucketSpread bound the VMs examined per bucket
	// of the index in the first pass of a search, which samples.
	maxPerBucketPacked = 4
	maxPerBucketSpread = 2
)

// search is the result of the filter stage: the VMs that may run the task, and
// the numbers of VMs excluded by reason.
type search struct {
	vms []*vmState
	// averagePerAccelerator is the headroom kept for each idle accelerator, or
	// nil for none.
	averagePerAccelerator *averageNeed

	avoided   int    // excluded because a task of the job failed there
	spread    int    // excluded by MaxPerRack or MaxPerVM
	held      int    // excluded by a hold
	headroom  int    // excluded to keep headroom for accelerators
	nominated int    // excluded by nominations of other jobs
	coveredBy *shape // blocked shape that made the search unnecessary
}

// filter finds VMs that may run a task of j. It first samples the VMs that may
// fit, and searches all of them only if the sample contained none. It does not
// search if the frontier covers the need of j.
func (c *cycle) filter(j *jobState) search {
	headroom := c.state.acceleratorHeadroom(j)
	if s := c.state.frontier.findCovering(j.need(), headroom != nil); s != nil {
		return search{coveredBy: s}
	}
	f := search{vms: c.vms[:0], averagePerAccelerator: headroom}
	c.sample(j, &f, c.maxPerBucket(j))
	if len(f.vms) == 0 {
		f = search{vms: c.vms[:0], averagePerAccelerator: headroom}
		c.sample(j, &f, 0)
	}
	if len(f.vms) == 0 {
		c.sampleHeld(j, &f)
	}
	c.vms = f.vms
	return f
}

func (c *cycle) maxPerBucket(j *jobState) int {
	if j.spreads() {
		return maxPerBucketSpread
	}
	return maxPerBucketPacked
}

// sample adds VMs from the index and examines at most perBucket VMs per bucket, or
// all if perBucket is 0. For work without accelerators, VMs with accelerators are
// tried last.
func (c *cycle) sample(j *jobState, f *search, perBucket int) {
	dcs := c.dataCentres(j)
	if j.need().Accelerators == 0 {
		for _, d := range dcs {
			if c.samplePartition(j, f, &d.cpuOnly, perBucket) {
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

// samplePartition adds VMs from p and reports whether f has enough VMs. Packed work
// needs VMs from one partition only; work that spreads samples several.
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
		if f.admits(j, v, need) {
			f.vms = append(f.vms, v)
		}
		return len(f.vms) < limit
	})
	if j.spreads() {
		return len(f.vms) >= c.cfg.Policy.SampleSize
	}
	return len(f.vms) > 0
}

// admits reports whether v may run a task of j. If not, it counts the reason.
func (f *search) admits(j *jobState, v *vmState, need api.Resources) bool {
	available := v.available()
	switch {
	case !need.Fits(available):
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
	case v.Capacity.Accelerators > 0 && !f.leavesHeadroom(available.Sub(need)):
		f.headroom++
		return false
	}
	return true
}

// spreadAllows reports whether MaxPerVM and MaxPerRack allow one more task of j
// on v.
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

// leavesHeadroom reports whether the remaining capacity left has headroom for its
// idle accelerators: for each, the processors and memory that recent jobs with
// accelerators need per accelerator on average.
func (f *search) leavesHeadroom(left api.Resources) bool {
	if f.averagePerAccelerator == nil || left.Accelerators <= 0 {
		return true
	}
	idle := float64(left.Accelerators)
	return float64(left.MilliCPU) >= idle*f.averagePerAccelerator.milliCPU &&
		float64(left.MemoryMB) >= idle*f.averagePerAccelerator.memoryMB
}

// acceleratorHeadroom returns the headroom that each idle accelerator keeps from
// j. It returns nil if j needs accelerators, is urgent, or fits no VM without
// accelerators.
func (st *State) acceleratorHeadroom(j *jobState) *averageNeed {
	if j.need().Accelerators > 0 || j.isUrgent() || !st.fleet.fitsWithoutAccelerators(j) {
		return nil
	}
	return &st.averagePerAccelerator
}

// dataCentres returns the data centres that j may use, in the order of the spec or
// starting at a random one if the spec lists none.
func (c *cycle) dataCentres(j *jobState) []*dataCentre {
	st := c.state
	c.dcs = c.dcs[:0]
	if len(j.Spec.DataCentres) > 0 {
		for _, name := range j.Spec.DataCentres {
			if d := st.dataCentres[name]; d != nil {
				c.dcs = append(c.dcs, d)
			}
		}
		return c.dcs
	}
	if len(st.dataCentreList) == 0 {
		return c.dcs
	}
	first := c.rand.IntN(len(st.dataCentreList))
	c.dcs = append(c.dcs, st.dataCentreList[first:]...)
	c.dcs = append(c.dcs, st.dataCentreList[:first]...)
	return c.dcs
}

// status returns why the search found no VM.
func (f *search) status(st *State, j *jobState) status {
	switch {
	case f.coveredBy != nil:
		return status{api.ReasonNoCapacity, fmt.Sprintf(
			"a task needs %v: no VM has even %v free", j.need(), f.coveredBy.key.need)}
	case f.spread > 0:
		return status{api.ReasonSpread, fmt.Sprintf(
			"%d VMs have room, but %d tasks to a VM and %d to a rack are allowed (0: any)",
			f.spread, j.Spec.MaxPerVM, j.Spec.MaxPerRack)}
	case f.avoided > 0:
		return status{api.ReasonNoCapacity, fmt.Sprintf(
			"the %d VMs with room are ones on which its tasks failed", f.avoided)}
	case f.held > 0:
		return status{api.ReasonBehindGang, fmt.Sprintf(
			"%d VMs with room are held for a waiting gang and the task may not end in time", f.held)}
	case f.nominated > 0:
		return status{api.ReasonNoCapacity, fmt.Sprintf(
			"%d VMs with room are kept for urgent tasks", f.nominated)}
	case f.headroom > 0:
		return status{api.ReasonNoCapacity, fmt.Sprintf(
			"the %d VMs with room keep it for work that needs their accelerators", f.headroom)}
	}
	if st.fitsQuarantinedVM(j) {
		return status{api.ReasonQuarantine, "only quarantined VMs have room"}
	}
	return shortage(st, j)
}

// foundNoCapacity reports whether the search showed that no VM fits the task
// regardless of its job, except for the headroom of accelerators.
func (f *search) foundNoCapacity(j *jobState) bool {
	excluded := f.spread + f.avoided + f.held + f.nominated
	return f.coveredBy == nil && excluded == 0 && len(j.Spec.DataCentres) == 0
}

// shortage returns a status that names the scarce resource.
func shortage(st *State, j *jobState) status {
	need := j.need()
	var maxLevels api.Resources // maximum index level of each resource over all VMs
	for _, d := range st.dataCentreList {
		if j.mayUse(d.name) {
			d.cpuOnly.raiseMaxLevels(&maxLevels)
			d.accelerated.raiseMaxLevels(&maxLevels)
		}
	}
	detail := "no VM has them together"
	switch {
	case need.Accelerators > maxLevels.Accelerators:
		detail = "no VM has the accelerators free"
	case int64(level(need.MilliCPU/milliCPUUnit)) > maxLevels.MilliCPU:
		detail = "no VM has the processors free"
	case int64(level(need.MemoryMB/memoryUnit)) > maxLevels.MemoryMB:
		detail = "no VM has the memory free"
	}
	return status{api.ReasonNoCapacity, fmt.Sprintf("a task needs %v: %s", need, detail)}
}

// raiseMaxLevels raises maxLevels to the highest levels found in p.
func (p *partition) raiseMaxLevels(maxLevels *api.Resources) {
	for a, cpuLevels := range p.filledCPU {
		if cpuLevels == 0 {
			continue
		}
		maxLevels.Accelerators = max(maxLevels.Accelerators, int64(a))
		maxLevels.MilliCPU = max(maxLevels.MilliCPU, int64(highestBit(cpuLevels)))
		for ; cpuLevels != 0; cpuLevels &= cpuLevels - 1 {
			r := p.rows[a][bits.TrailingZeros64(cpuLevels)]
			maxLevels.MemoryMB = max(maxLevels.MemoryMB, int64(highestBit(r.filledMemory)))
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
