package scheduler

// A queue whose head found no place is parked: on its shape when capacity is
// short, on its team when the quota is. What frees either makes it ready.

// parkOnCapacity parks q until a VM is freed that could hold its tasks.
func (w *State) parkOnCapacity(q *shapeQueue) {
	q.owner.park(q)
	q.shape.parked = append(q.shape.parked, q)
	w.queue.blocked.block(q.shape)
}

// parkOnQuota parks q until its team holds less or may hold more.
func (w *State) parkOnQuota(q *shapeQueue) {
	q.owner.park(q)
	q.owner.team.parked = append(q.owner.team.parked, q)
}

// retryNext parks q until the next cycle.
func (w *State) retryNext(q *shapeQueue) {
	q.owner.park(q)
	w.retry = append(w.retry, q)
}

// wakeTeam notes that queues parked on the quota of t may go on.
func (w *State) wakeTeam(t *teamState) {
	if len(t.parked) == 0 || t.waking {
		return
	}
	t.waking = true
	w.waking = append(w.waking, t)
}

// wake makes ready what the changes since the last cycle let go on.
func (w *State) wake() {
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
func (w *State) wakeBlocked() {
	for _, v := range w.freed {
		v.freed = false
		if !v.known || !v.Schedulable {
			continue
		}
		w.woken = w.queue.blocked.fitting(w.woken[:0], v)
		for _, s := range w.woken {
			w.retryShape(s)
		}
	}
	clear(w.freed)
	w.freed = w.freed[:0]
}

// retryShape lets the jobs of s be tried again.
func (w *State) retryShape(s *shape) {
	w.queue.blocked.unblock(s)
	for _, q := range s.parked {
		if q.live > 0 {
			q.owner.makeReady(q)
		}
	}
	clear(s.parked)
	s.parked = s.parked[:0]
}
