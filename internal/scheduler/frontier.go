package scheduler

import "github.com/skylarklock/skylarklock/api"

// frontierSize bounds the frontier: it is read for every task placed.
const frontierSize = 16

// frontier is some of the smallest needs that were found to fit no VM and
// are still blocked. Nothing has been freed since that could hold them, so
// what needs at least as much in every resource fits no VM either, and no
// search is made for it.
type frontier struct {
	shapes []*shape
}

// covering returns a blocked shape that answers for need as well, or nil.
// The headroom of idle accelerators must be kept against need if it was kept
// against the shape.
func (f *frontier) covering(need api.Resources, headroom bool) *shape {
	for _, s := range f.shapes {
		if s.stillBlocked() && s.covers(need, headroom) {
			return s
		}
	}
	return nil
}

// add enters s in place of the shapes that it covers or that are no longer
// blocked; when full, in place of the oldest.
func (f *frontier) add(s *shape) {
	kept := f.shapes[:0]
	for _, o := range f.shapes {
		if o != s && o.stillBlocked() && !s.covers(o.key.need, o.headroom) {
			kept = append(kept, o)
		}
	}
	if len(kept) == frontierSize {
		copy(kept, kept[1:])
		kept = kept[:frontierSize-1]
	}
	f.shapes = append(kept, s)
}

// stillBlocked reports whether s is in use and still fits no VM.
func (s *shape) stillBlocked() bool {
	return s.blocked && s.outright && s.queues > 0
}

// covers reports whether no VM can hold need while none can hold s.
func (s *shape) covers(need api.Resources, headroom bool) bool {
	return s.key.need.Fits(need) && (headroom || !s.headroom)
}
