package scheduler

import "slices"

// A queue whose head found no place is parked: on its shape when capacity is
// short, on its team when the quota is. What frees either makes it ready.

// parkOnCapacity parks q until a VM is freed that could hold its tasks.
func (w *World) parkOnCapacity(q *shapeQueue) {
	q.owner.park(q)
	s := q.shape
	s.parked = append(s.parked, q)
	if !s.blocked {
		s.blocked = true
		w.blocked = append(w.blocked, s)
	}
}

// parkOnQuota parks q until its team holds less or may hold more.
func (w *World) parkOnQuota(q *shapeQueue) {
	q.owner.park(q)
	q.owner.team.parked = append(q.owner.team.parked, q)
}

// retryNext parks q until the next cycle.
func (w *World) retryNext(q *shapeQueue) {
	q.owner.park(q)
	w.retry = append(w.retry, q)
}

// wakeTeam notes that queues parked on the quota of t may go on.
func (w *World) wakeTeam(t *teamState) {
	if len(t.parked) == 0 || t.waking {
		return
	}
	t.waking = true
	w.waking = append(w.waking, t)
}

// wake makes ready what the changes since the last cycle let go on.
func (w *World) wake() {
	for _, q := range w.retry {
		q.owner.makeReady(q)
	}
	clear(w.retry)
	w.retry = w.retry[:0]
	for _, t := range w.waking {
		t.waking = false
		t.wakeParked()
	}
	clear(w.waking)
	w.waking = w.waking[:0]
	w.wakeBlocked()
}

// wakeParked makes ready the queues that the quota now lets go on.
func (t *teamState) wakeParked() {
	kept := t.parked[:0]
	for _, q := range t.parked {
		switch {
		case q.live == 0:
		case t.allows(q.shape.key.need):
			q.owner.makeReady(q)
		default:
			kept = append(kept, q)
		}
	}
	clear(t.parked[len(kept):])
	t.parked = kept
}

// wakeBlocked unblocks the shapes that fit a VM freed since the last cycle.
func (w *World) wakeBlocked() {
	for _, v := range w.freed {
		v.freed = false
		if len(w.blocked) > 0 && v.known && v.Schedulable {
			w.wakeFor(v)
		}
	}
	clear(w.freed)
	w.freed = w.freed[:0]
}

func (w *World) wakeFor(v *vmState) {
	free := v.free()
	kept := w.blocked[:0]
	for _, s := range w.blocked {
		switch {
		case s.queues == 0:
			s.blocked = false
		case s.key.need.Fits(free):
			s.unblock()
		default:
			kept = append(kept, s)
		}
	}
	clear(w.blocked[len(kept):])
	w.blocked = kept
}

// retryShape lets the jobs of s be tried although nothing was freed.
func (w *World) retryShape(s *shape) {
	s.unblock()
	w.blocked = slices.DeleteFunc(w.blocked, func(o *shape) bool { return o == s })
}

func (s *shape) unblock() {
	s.blocked = false
	for _, q := range s.parked {
		if q.live > 0 {
			q.owner.makeReady(q)
		}
	}
	clear(s.parked)
	s.parked = s.parked[:0]
}
