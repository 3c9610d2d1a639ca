package scheduler

import (
	"fmt"

	"github.com/skylarklock/skylarklock/api"
)

// placement is a number of tasks of one job on one VM.
type placement struct {
	vm    *vmState
	tasks int64
}

// placeGang places all pending tasks of j or none: in one data centre if one fits
// them all, otherwise across several.
func (c *cycle) placeGang(j *jobState) {
	tasks := int64(len(j.pending))
	if !j.team.allows(j.need().Mul(tasks)) {
		c.waitForQuota(j, j.need().Mul(tasks))
		return
	}
	c.searches++
	if placements := j.nominatedPlacements(tasks); placements != nil {
		c.startGang(j, placements)
		return
	}
	placements, placed := c.findGangPlacements(j, tasks)
	if placed == tasks {
		c.startGang(j, placements)
		return
	}
	c.handleUnplacedGang(j, tasks, placed)
}

// handleUnplacedGang handles a gang that does not fit: by preemption, by holding
// VMs for it, or by parking its queue.
func (c *cycle) handleUnplacedGang(j *jobState, tasks, placed int64) {
	result := c.preemptForGang(j, tasks)
	if len(j.nominations) == 0 {
		c.createHold(j, tasks)
	}
	c.reportWaiting(j, c.gangStatus(j, placed))
	if result == preemptRetry {
		c.state.retryNextCycle(j.queue)
		return
	}
	c.state.parkOnCapacity(j.queue)
}

func (c *cycle) startGang(j *jobState, placements []placement) {
	for _, p := range placements {
		for range p.tasks {
			c.start(j, p.vm)
		}
	}
}

// findGangPlacements returns placements for the tasks and the number of tasks that
// fit. It uses the VMs held for j first.
func (c *cycle) findGangPlacements(j *jobState, tasks int64) ([]placement, int64) {
	dcs := c.dataCentres(j)
	headroom := c.state.acceleratorHeadroom(j)
	maxPlaced := int64(0)
	for i := range dcs {
		g := newGangSearch(j, tasks, headroom)
		g.collect(dcs[i : i+1])
		if g.placed == tasks {
			return g.placements, g.placed
		}
		maxPlaced = max(maxPlaced, g.placed)
	}
	if len(dcs) < 2 {
		return nil, maxPlaced
	}
	g := newGangSearch(j, tasks, headroom)
	g.collect(dcs)
	return g.placements, g.placed
}

// gangSearch collects placements for a gang without reserving them.
type gangSearch struct {
	job        *jobState
	need       api.Resources
	tasks      int64
	placements []placement
	placed     int64
	racks      map[string]int64 // tasks placed per rack; nil without MaxPerRack
	filter     search
}

func newGangSearch(j *jobState, tasks int64, headroom *averageNeed) *gangSearch {
	g := &gangSearch{job: j, need: j.need(), tasks: tasks, filter: search{averagePerAccelerator: headroom}}
	if j.Spec.MaxPerRack > 0 {
		g.racks = make(map[string]int64)
	}
	return g
}

func (g *gangSearch) collect(dcs []*dataCentre) {
	if h := g.job.hold; h != nil {
		for _, p := range h.placements {
			if inDataCentres(dcs, p.vm) && p.vm.acceptsWork() && !g.add(p.vm) {
				return
			}
		}
	}
	if g.need.Accelerators == 0 {
		for _, d := range dcs {
			if !d.cpuOnly.walk(g.need, 0, 0, g.add) {
				return
			}
		}
	}
	for _, d := range dcs {
		if !d.accelerated.walk(g.need, 0, 0, g.add) {
			return
		}
	}
}

func inDataCentres(dcs []*dataCentre, v *vmState) bool {
	for _, d := range dcs {
		if d.name == v.DataCentre {
			return true
		}
	}
	return false
}

// add places as many tasks on v as fit and reports whether tasks remain.
func (g *gangSearch) add(v *vmState) bool {
	if !g.filter.admits(g.job, v, g.need) {
		return true
	}
	n := min(fitCount(g.need, v.available()), g.tasks-g.placed)
	n = min(n, g.spreadLimit(v))
	if n <= 0 {
		return true
	}
	g.placements = append(g.placements, placement{vm: v, tasks: n})
	g.placed += n
	if g.racks != nil {
		g.racks[v.Rack] += n
	}
	return g.placed < g.tasks
}

// spreadLimit returns how many tasks MaxPerVM and MaxPerRack allow on v.
func (g *gangSearch) spreadLimit(v *vmState) int64 {
	limit := g.tasks
	spec := g.job.Spec
	if spec.MaxPerVM > 0 {
		limit = min(limit, int64(spec.MaxPerVM)-int64(g.job.spread.vms[v.ID]))
	}
	if spec.MaxPerRack > 0 {
		limit = min(limit, int64(spec.MaxPerRack)-int64(g.job.spread.racks[v.Rack])-g.racks[v.Rack])
	}
	return limit
}

// fitCount returns how many times need fits into free.
func fitCount(need, free api.Resources) int64 {
	const unbounded = 1 << 20
	n := int64(unbounded)
	for _, r := range [...][2]int64{
		{need.MilliCPU, free.MilliCPU},
		{need.MemoryMB, free.MemoryMB},
		{need.Accelerators, free.Accelerators},
	} {
		if r[0] > 0 {
			n = min(n, r[1]/r[0])
		}
	}
	return max(n, 0)
}

func (c *cycle) gangStatus(j *jobState, placed int64) status {
	detail := fmt.Sprintf("%d of %d tasks of %v have room", placed, len(j.pending), j.need())
	if len(j.nominations) > 0 {
		detail += "; the rest is being freed by preemption"
	}
	if j.hold != nil {
		detail += fmt.Sprintf("; %d VMs are held, expected free in %v",
			len(j.hold.placements), j.hold.expectedStart.Sub(c.now).Round(holdRounding))
	}
	return status{api.ReasonGangWaiting, detail}
}
