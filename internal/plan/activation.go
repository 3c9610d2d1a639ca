package plan

import (
	"hash/fnv"
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/api"
)

// The leader calls only as many executors of a large fleet as the work needs, and lets go of those that it
// needs no longer. Calling thousands that run nothing takes the processor time that planning needs. Executors
// that may run something are always called.

const (
	// minActiveVMs is how many executors are called in any case, divided among the services by their size.
	minActiveVMs = 800
	// maxActiveUse is the share of the called executors that may be in use or asked for by waiting steps. A
	// step is permitted on some executors only, and others look at the same ones.
	maxActiveUse = 0.3
	// minLabelledVMs is how many executors with a label are called while a step waits that needs it.
	minLabelledVMs = 64
	// activationInterval is the time between two decisions which executors are called.
	activationInterval = 100 * time.Millisecond
	// activationHalfLife is the time in which the number of called executors falls to half when nothing
	// needs them: work comes in waves, and a new connection costs more than a second of calls.
	activationHalfLife = 5 * time.Second
	// maxUnplacedTime is how long a step without an advice call in flight may wait before twice as many
	// executors of its service are called, whatever is in use: it may be permitted on few. If it still waits,
	// their number doubles again after the same time.
	maxUnplacedTime = 3 * time.Second
)

// pool is a set of executors that the same work can use: all of a service, or those with a label.
type pool struct {
	service string
	label   string // empty: any
}

// activation decides which executors are called also while they run nothing.
type activation struct {
	wanted    map[pool]float64   // how many executors of each pool are called
	shares    map[pool]float64   // the same as a share of the pool
	hasLabels bool               // steps have asked for executors with labels
	scarcity  map[string]float64 // by service: factor for steps that have found no executors; at least 1
	raisedAt  map[string]time.Time
	decidedAt time.Time
	logged    int // number of active executors that was last logged
}

// activationRank returns a number in [0, 1) by which executors are drawn, evenly over racks and data
// centres whatever their IDs look like.
func activationRank(id string) float64 {
	h := fnv.New64a()
	h.Write([]byte(id))              // never fails
	const mixer = 0x9e3779b97f4a7c15 // similar IDs have similar hashes
	return float64((h.Sum64()*mixer)>>11) / (1 << 53)
}

// updateActivation decides which executors are called, at intervals.
func (c *Cell) updateActivation(now time.Time) {
	if now.Sub(c.activation.decidedAt) >= activationInterval {
		c.decideActivation(now)
	}
}

// decideActivation decides which executors are called and lists them.
func (c *Cell) decideActivation(now time.Time) {
	a := &c.activation
	elapsed := now.Sub(a.decidedAt)
	if a.shares == nil {
		a.wanted, a.shares = make(map[pool]float64), make(map[pool]float64)
		a.scarcity, a.raisedAt = make(map[string]float64), make(map[string]time.Time)
		elapsed = 0
	}
	a.decidedAt = now
	decay := math.Exp2(-float64(elapsed) / float64(activationHalfLife))
	for p, n := range a.wanted {
		a.wanted[p] = n * decay
		a.shares[p] *= decay // if nothing asks for the pool now
	}
	for service, factor := range a.scarcity {
		a.scarcity[service] = max(1, factor*decay)
	}
	fleet := c.measureServices()
	c.addWaitingDemand(fleet, now)
	for p, d := range fleet.demand {
		size := fleet.sizes[p]
		if size == 0 {
			continue
		}
		wanted := d / maxActiveUse
		if p.label == "" {
			wanted = max(wanted, minActiveVMs*float64(size)/float64(fleet.total)) * max(1, a.scarcity[p.service])
		} else {
			a.hasLabels = true
			wanted = max(wanted, minLabelledVMs)
		}
		a.wanted[p] = max(a.wanted[p], min(wanted, float64(size)))
		a.shares[p] = a.wanted[p] / float64(size)
	}
	c.applyActivation()
}

// fleetDemand is what the work needs of each pool, in executors.
type fleetDemand struct {
	total  int // executors in service
	sizes  map[pool]int
	demand map[pool]float64
	mean   map[string]api.Resources // by service: mean capacity of its executors
}

// measureServices returns the size of each service and what is in use there.
func (c *Cell) measureServices() *fleetDemand {
	f := &fleetDemand{sizes: make(map[pool]int), demand: make(map[pool]float64), mean: make(map[string]api.Resources)}
	type sums struct {
		executors int64
		capacity  api.Resources
		used      float64
	}
	byService := make(map[string]*sums)
	var s *sums
	for i, v := range c.sortedVMs {
		if i == 0 || v.Service != c.sortedVMs[i-1].Service {
			s = byService[v.Service]
			if s == nil && c.queueConfig.HasService(v.Service) {
				s = &sums{}
				byService[v.Service] = s
			}
		}
		if s == nil || !v.registered || !v.hasOwnRecord {
			continue
		}
		s.executors++
		s.capacity = s.capacity.Add(v.Capacity)
		if len(v.allocations) > 0 {
			s.used += dominantShare(v.used, v.Capacity)
		}
	}
	for service, s := range byService {
		if s.executors == 0 {
			continue
		}
		f.total += int(s.executors)
		f.sizes[pool{service: service}] = int(s.executors)
		f.demand[pool{service: service}] = s.used
		f.mean[service] = api.Resources{MilliCPU: s.capacity.MilliCPU / s.executors, MemoryMB: s.capacity.MemoryMB / s.executors, Accelerators: s.capacity.Accelerators / s.executors}
	}
	return f
}

// addWaitingDemand adds what the waiting steps ask for, and raises the scarcity of services whose steps have
// waited for long without finding executors to ask about.
func (c *Cell) addWaitingDemand(f *fleetDemand, now time.Time) {
	for _, s := range c.waitingSteps {
		tasks := s.countToPlace()
		if tasks == 0 || s.heldByCap(tasks) {
			s.unplacedSince = time.Time{}
			continue
		}
		if s.unplacedSince.IsZero() {
			s.unplacedSince = now
		}
		service := c.serviceOf(s.job)
		mean := f.mean[service]
		each := dominantShare(s.spec.TaskResources, mean)
		f.demand[pool{service: service}] += float64(tasks) * each
		if label := s.spec.RequiredLabel; label != "" {
			p := pool{service: service, label: label}
			if _, counted := f.sizes[p]; !counted {
				f.sizes[p] = c.countLabelled(p)
			}
			f.demand[p] += float64(tasks) * each
		}
		if s.advice.callsInFlight == 0 && now.Sub(s.unplacedSince) > maxUnplacedTime {
			c.activation.raiseScarcity(service, now)
		}
	}
}

// countLabelled returns how many executors of a pool are in service.
func (c *Cell) countLabelled(p pool) int {
	n := 0
	for _, v := range c.sortedVMs {
		if c.inService(v) && v.Service == p.service && v.HasLabel(p.label) {
			n++
		}
	}
	return n
}

// raiseScarcity has twice as many executors of a service called, at most once in maxUnplacedTime.
func (a *activation) raiseScarcity(service string, now time.Time) {
	if now.Sub(a.raisedAt[service]) < maxUnplacedTime {
		return
	}
	a.raisedAt[service] = now
	a.scarcity[service] = 2 * max(1, a.scarcity[service])
}

// isWanted reports whether an executor is called also while it runs nothing.
func (a *activation) isWanted(v *vm) bool {
	if v.activationRank < a.shares[pool{service: v.Service}] {
		return true
	}
	if !a.hasLabels {
		return false
	}
	for _, label := range v.Labels {
		if v.activationRank < a.shares[pool{service: v.Service, label: label}] {
			return true
		}
	}
	return false
}

// applyActivation marks the active executors and lists those that are called or have something to settle.
func (c *Cell) applyActivation() {
	active := 0
	c.calledVMs = c.calledVMs[:0]
	c.inactiveCapacity = api.Resources{}
	for _, v := range c.sortedVMs {
		v.active = c.activation.isWanted(v)
		if v.active {
			active++
		} else if c.inService(v) && !v.Draining && len(v.allocations) == 0 {
			c.inactiveCapacity = c.inactiveCapacity.Add(v.Capacity)
		}
		if v.active || !v.registered || len(v.allocations) > 0 || v.former != nil || c.shouldCall(v) {
			c.calledVMs = append(c.calledVMs, v)
		}
	}
	const noteworthyChange = 1.5
	if last := float64(c.activation.logged); float64(active) > noteworthyChange*last || float64(active) < last/noteworthyChange {
		c.activation.logged = active
		c.logger.WithFields(logrus.Fields{"called": active, "executors": len(c.sortedVMs)}).Info("number of executors that are called has changed")
	}
}

// dropCalled removes an executor from the list of those that are called.
func (c *Cell) dropCalled(v *vm) {
	for i, other := range c.calledVMs {
		if other == v {
			c.calledVMs = append(c.calledVMs[:i:i], c.calledVMs[i+1:]...)
			return
		}
	}
}
