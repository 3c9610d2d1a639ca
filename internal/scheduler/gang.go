package scheduler

import (
	"fmt"

	"github.com/skylarklock/skylarklock/api"
)

// part is some tasks of a gang on one VM.
type part struct {
	vm    *vmState
	tasks int64
}

// placeGang places all pending tasks of j or none: in one data centre where
// one has room, otherwise over several.
func (c *cycle) placeGang(j *jobState) {
	tasks := int64(len(j.pending))
	if !j.team.allows(j.need().Times(tasks)) {
		c.waitForQuota(j, j.need().Times(tasks))
		return
	}
	c.searches++
	if parts := j.nominatedParts(tasks); parts != nil {
		c.startGang(j, parts)
		return
	}
	parts, room := c.gatherGang(j, tasks)
	if room == tasks {
		c.startGang(j, parts)
		return
	}
	c.gangNotPlaced(j, tasks, room)
}

// gangNotPlaced goes on with a gang for which there is no room: by
// preemption, by holding VMs for it, or by waiting.
func (c *cycle) gangNotPlaced(j *jobState, tasks, room int64) {
	preempted := c.preemptForGang(j, tasks)
	if len(j.nominations) == 0 {
		c.holdFor(j, tasks)
	}
	c.wait(j, c.gangVerdict(j, room))
	if preempted == preemptLater {
		c.world.retryNext(j.queue)
		return
	}
	c.world.parkOnCapacity(j.queue)
}

func (c *cycle) startGang(j *jobState, parts []part) {
	for _, p := range parts {
		for range p.tasks {
			c.start(j, p.vm)
		}
	}
}

// gatherGang returns VMs with room for the tasks and how many fit. Tasks on
// the VMs held for j come first.
func (c *cycle) gatherGang(j *jobState, tasks int64) ([]part, int64) {
	dcs := c.dataCentres(j)
	headroom := c.world.keepsHeadroom(j)
	most := int64(0)
	for i := range dcs {
		g := newGathering(j, tasks, headroom)
		g.gather(dcs[i : i+1])
		if g.room == tasks {
			return g.parts, g.room
		}
		most = max(most, g.room)
	}
	if len(dcs) < 2 {
		return nil, most
	}
	g := newGathering(j, tasks, headroom)
	g.gather(dcs)
	return g.parts, g.room
}

// gathering collects room for a gang without taking it yet.
type gathering struct {
	job   *jobState
	need  api.Resources
	tasks int64
	parts []part
	room  int64
	racks map[string]int64 // tasks gathered, when racks are limited
	pass  search
}

func newGathering(j *jobState, tasks int64, headroom *usualNeed) *gathering {
	g := &gathering{job: j, need: j.need(), tasks: tasks, pass: search{perAccelerator: headroom}}
	if j.Spec.MaxPerRack > 0 {
		g.racks = make(map[string]int64)
	}
	return g
}

func (g *gathering) gather(dcs []*dataCentre) {
	if h := g.job.hold; h != nil {
		for _, p := range h.parts {
			if inDataCentres(dcs, p.vm) && p.vm.open() && !g.add(p.vm) {
				return
			}
		}
	}
	if g.need.Accelerators == 0 {
		for _, d := range dcs {
			if !d.plain.walk(g.need, 0, 0, g.add) {
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

// add takes what v has room for and reports whether more is wanted.
func (g *gathering) add(v *vmState) bool {
	if !g.pass.admit(g.job, v, g.need) {
		return true
	}
	n := min(fitCount(g.need, v.spare()), g.tasks-g.room)
	n = min(n, g.spreadRoom(v))
	if n <= 0 {
		return true
	}
	g.parts = append(g.parts, part{vm: v, tasks: n})
	g.room += n
	if g.racks != nil {
		g.racks[v.Rack] += n
	}
	return g.room < g.tasks
}

// spreadRoom is how many tasks MaxPerVM and MaxPerRack leave for v.
func (g *gathering) spreadRoom(v *vmState) int64 {
	room := g.tasks
	spec := g.job.Spec
	if spec.MaxPerVM > 0 {
		room = min(room, int64(spec.MaxPerVM)-int64(g.job.spread.vms[v.ID]))
	}
	if spec.MaxPerRack > 0 {
		room = min(room, int64(spec.MaxPerRack)-int64(g.job.spread.racks[v.Rack])-g.racks[v.Rack])
	}
	return room
}

// fitCount is how many times need goes into free.
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

func (c *cycle) gangVerdict(j *jobState, room int64) verdict {
	detail := fmt.Sprintf("%d of %d tasks of %v have room", room, len(j.pending), j.need())
	if len(j.nominations) > 0 {
		detail += "; the rest is being freed by preemption"
	}
	if j.hold != nil {
		detail += fmt.Sprintf("; %d VMs are held, expected free in %v",
			len(j.hold.parts), j.hold.at.Sub(c.now).Round(holdRounding))
	}
	return verdict{api.ReasonGangWaiting, detail}
}
