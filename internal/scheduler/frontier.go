package scheduler

import "github.com/skylarklock/skylarklock/api"

// frontierSize bounds the frontier, which is read for every task placed.
const frontierSize = 16

// frontier contains some of the smallest shapes that were found to fit no VM and
// are still blocked. No capacity has been freed since that could fit them, so a
// task that needs at least as much of every resource fits no VM either, and no
// search is made for it.
type frontier struct {
	shapes []*shape
}

// findCovering returns a blocked shape that implies that need fits no VM, or nil.
// If headroom for idle accelerators was kept when the shape was searched for, it
// must be kept for need too.
func (f *frontier) findCovering(need api.Resources, headroomKept bool) *shape {
	for _, s := range f.shapes {
		if s.stillBlocked() && s.covers(need, headroomKept) {
			return s
		}
	}
	return nil
}

// add adds s and removes the shapes that s covers or that are no longer blocked.
// If the frontier is full, it removes the oldest shape.
func (f *frontier) add(s *shape) {
	kept := f.shapes[:0]
	for _, o := range f.shapes {
		if o != s && o.stillBlocked() && !s.covers(o.key.need, o.headroomKept) {
			kept = append(kept, o)
		}
	}
	if len(kept) == frontierSize {
		copy(kept, kept[1:])
		kept = kept[:frontierSize-1]
	}
	f.shapes = append(kept, s)
}

// stillBlocked reports whether s has queues and still fits no VM.
func (s *shape) stillBlocked() bool {
	return s.blocked && s.fitsNoVM && s.queueCount > 0
}

// covers reports whether need fits no VM as long as s fits none.
func (s *shape) covers(need api.Resources, headroomKept bool) bool {
	return s.key.need.Fits(need) && (headroomKept || !s.headroomKept)
}
