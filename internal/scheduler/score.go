package scheduler

import "github.com/skylarklock/skylarklock/api"

// Weights of the score. Lower scores are better.
const (
	// imbalanceWeight weighs a lopsided remainder, of which one resource
	// can't be used for want of the other, against its size.
	imbalanceWeight = 1.0
	// rackWeight and vmWeight put spreading before packing: one task more of
	// the job in the rack outweighs any remainder.
	rackWeight = 16.0
	vmWeight   = 4.0
)

// score returns the best of vms for a task of j, or nil of none.
func (c *cycle) score(j *jobState, vms []*vmState) *vmState {
	var best *vmState
	bestScore := 0.0
	need := j.need()
	for _, v := range vms {
		score := packScore(v, need)
		if j.spreads() {
			score += spreadScore(j, v)
		}
		if best == nil || score < bestScore {
			best = v
			bestScore = score
		}
	}
	return best
}

// packScore is what would be left of v over its capacity, summed over the
// resources, plus its imbalance: best fit over the vector.
func packScore(v *vmState, need api.Resources) float64 {
	left := v.spare().Sub(need)
	cpu := fraction(left.MilliCPU, v.Capacity.MilliCPU)
	memory := fraction(left.MemoryMB, v.Capacity.MemoryMB)
	accelerators := fraction(left.Accelerators, v.Capacity.Accelerators)
	imbalance := max(cpu, memory) - min(cpu, memory)
	return cpu + memory + accelerators + imbalanceWeight*imbalance
}

// spreadScore counts the job's tasks in the rack and on the VM.
func spreadScore(j *jobState, v *vmState) float64 {
	if j.spread == nil {
		return 0
	}
	return rackWeight*float64(j.spread.racks[v.Rack]) + vmWeight*float64(j.spread.vms[v.ID])
}
