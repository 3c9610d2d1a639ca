package scheduler

import "github.com/skylarklock/skylarklock/api"

// Weights of the score of a VM. Lower scores are better.
const (
	// imbalanceWeight weighs the imbalance of the remaining capacity against its
	// size: capacity of one resource is unusable if the other is exhausted.
	imbalanceWeight = 1.0
	// rackWeight and vmWeight give spreading precedence over packing: one more
	// task of the job in the rack outweighs any remaining capacity.
	rackWeight = 16.0
	vmWeight   = 4.0
)

// score returns the VM with the best score for a task of j, or nil if vms is empty.
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

// packScore implements multi-resource best fit. It returns the remaining fraction of
// the capacity of v, summed over the resources, plus the weighted imbalance.
func packScore(v *vmState, need api.Resources) float64 {
	left := v.available().Sub(need)
	cpu := fraction(left.MilliCPU, v.Capacity.MilliCPU)
	memory := fraction(left.MemoryMB, v.Capacity.MemoryMB)
	accelerators := fraction(left.Accelerators, v.Capacity.Accelerators)
	imbalance := max(cpu, memory) - min(cpu, memory)
	return cpu + memory + accelerators + imbalanceWeight*imbalance
}

// spreadScore returns the weighted counts of the job's tasks in the rack and on v.
func spreadScore(j *jobState, v *vmState) float64 {
	if j.spread == nil {
		return 0
	}
	return rackWeight*float64(j.spread.racks[v.Rack]) + vmWeight*float64(j.spread.vms[v.ID])
}
