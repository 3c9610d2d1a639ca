package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

// usageMaxLines bounds the lines about workspaces in one interval.
const usageMaxLines = 30

// workspaceLoad is what waits of one workspace.
type workspaceLoad struct {
	tasks     int // tasks that wait for a start
	heldByCap int // of these, tasks that the cap keeps back
	excess    int // of these, tasks of jobs in excess of the weight
}

// logUsage logs what workspaces use of their caps and what waits of each, those with the most waiting
// tasks first.
func (c *Cell) logUsage(now time.Time) {
	loads := make(map[*workspace]*workspaceLoad)
	for _, w := range c.workspaces {
		loads[w] = &workspaceLoad{}
	}
	for _, s := range c.waitingSteps {
		w := s.job.workspace
		if w == nil {
			continue
		}
		n := s.countToPlace()
		load := loads[w]
		load.tasks += n
		if s.heldByCap(n) {
			load.heldByCap += n
		}
		if s.job.excess {
			load.excess += n
		}
	}
	active := make([]*workspace, 0, len(loads))
	for w, load := range loads {
		if load.tasks > 0 || len(w.running) > 0 {
			active = append(active, w)
		}
	}
	slices.SortFunc(active, func(a, b *workspace) int {
		return cmp.Or(cmp.Compare(loads[b].tasks, loads[a].tasks), cmp.Compare(a.name, b.name))
	})
	for _, w := range active[:min(len(active), usageMaxLines)] {
		load := loads[w]
		c.logger.WithFields(logrus.Fields{
			"workspace": w.name, "workspace_id": w.id, "weight": w.weight, "runs": len(w.running),
			"used_cpu": w.used.MilliCPU, "cap_cpu": w.cap.MilliCPU, "used_memory_mb": w.used.MemoryMB, "cap_memory_mb": w.cap.MemoryMB,
			"tasks_waiting": load.tasks, "held_by_cap": load.heldByCap, "in_excess": load.excess, "over_share": w.overShare,
		}).Info("usage of a workspace")
	}
}
