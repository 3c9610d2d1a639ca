package plan

import (
	"hash/fnv"
	"time"

	"github.com/sirupsen/logrus"
)

// The leader calls only as many executors of a large fleet as the work needs, and more of them as the work
// grows. Calling thousands that run nothing takes the processor time that planning needs. Executors that
// may run something are always called.

const (
	// minActiveVMs is how many executors are called in any case.
	minActiveVMs = 800
	// maxActiveUse is the share of the called executors' processors in use, or asked for by waiting steps,
	// above which more executors are called.
	maxActiveUse = 0.4
	// activationGrowth is the factor by which their number grows at a time, and activationInterval the time
	// between two such changes: an executor reports within moments of its first call.
	activationGrowth   = 1.25
	activationInterval = 100 * time.Millisecond
	// settledShare is the share of the called executors that must have reported before more are called, unless
	// maxSettlingTime has passed. After a takeover the first reports would otherwise seem to be the whole
	// capacity.
	settledShare    = 0.9
	maxSettlingTime = 2 * time.Second
	// maxUnplacedTime is how long a step without an advice call in flight may wait before more executors are
	// called, whatever is in use: it may need permissions that few have. A step that needs a label waits
	// for maxUnlabelledTime only.
	maxUnplacedTime   = 3 * time.Second
	maxUnlabelledTime = 500 * time.Millisecond
)

// activationRank returns a number in [0, 1) by which executors are drawn, evenly over racks and data
// centres whatever their IDs look like.
func activationRank(id string) float64 {
	h := fnv.New64a()
	h.Write([]byte(id))              // never fails
	const mixer = 0x9e3779b97f4a7c15 // similar IDs have similar hashes
	return float64((h.Sum64()*mixer)>>11) / (1 << 53)
}

// isActive reports whether an executor is called also while it runs nothing.
func (c *Cell) isActive(v *vm) bool {
	return v.activationRank*float64(len(c.sortedVMs)) < c.activeVMs
}

// updateActivation has more executors called if the work needs them. A leader never lowers their number
// again.
func (c *Cell) updateActivation(now time.Time) {
	c.activeVMs = max(c.activeVMs, minActiveVMs)
	if c.activeVMs >= float64(len(c.sortedVMs)) || now.Sub(c.activatedAt) < activationInterval || !c.needsMoreVMs(now) {
		return
	}
	c.activatedAt = now
	c.activeVMs *= activationGrowth
	c.logger.WithFields(logrus.Fields{"called": int(c.activeVMs), "executors": len(c.sortedVMs)}).Info("more executors are called")
}

// needsOtherVMs reports whether the step has waited for so long that it may fit on none of the called
// executors.
func (s *step) needsOtherVMs(now time.Time) bool {
	waited := now.Sub(s.unplacedSince)
	return s.spec.RequiredLabel != "" && waited > maxUnlabelledTime || s.advice.callsInFlight == 0 && waited > maxUnplacedTime
}

// needsMoreVMs reports whether the called executors are too few for the work.
func (c *Cell) needsMoreVMs(now time.Time) bool {
	var capacity, used, waiting int64
	called, reported := 0, 0
	for _, v := range c.sortedVMs {
		if c.isActive(v) && c.inService(v) {
			called++
			if v.hasReported {
				reported++
			}
		}
		if v.usable(now, &c.cfg) {
			capacity += v.Capacity.MilliCPU
			used += v.used.MilliCPU
		}
	}
	settled := reported >= int(settledShare*float64(called)) || now.Sub(c.ledSince) > maxSettlingTime && now.Sub(c.activatedAt) > maxSettlingTime
	if capacity == 0 || !settled {
		return false
	}
	for _, s := range c.waitingSteps {
		tasks := s.countToPlace()
		if tasks == 0 || s.heldByCap(tasks) {
			s.unplacedSince = time.Time{}
			continue
		}
		if s.unplacedSince.IsZero() {
			s.unplacedSince = now
		}
		waiting += int64(tasks) * s.spec.TaskResources.MilliCPU
		if s.needsOtherVMs(now) {
			return true
		}
	}
	return float64(used+waiting) > maxActiveUse*float64(capacity)
}
