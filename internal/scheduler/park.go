package scheduler

// A queue whose head could not be placed is parked: on its shape if capacity is
// short, on its team if the quota is short. Freeing either makes it ready again.

// parkOnCapacity parks q until capacity is freed that may fit its tasks.
func (st *State) parkOnCapacity(q *shapeQueue) {
	q.owner.park(q)
	q.shape.parked = append(q.shape.parked, q)
	st.queue.blocked.block(q.shape)
}

// parkOnQuota parks q until its team uses less or its quota is raised.
func (st *State) parkOnQuota(q *shapeQueue) {
	q.owner.park(q)
	q.owner.team.parked = append(q.owner.team.parked, q)
}

// retryNextCycle parks q until the next cycle.
func (st *State) retryNextCycle(q *shapeQueue) {
	q.owner.park(q)
	st.retryQueues = append(st.retryQueues, q)
}

// wakeTeam records that queues parked on the quota of t may be ready.
func (st *State) wakeTeam(t *teamState) {
	if len(t.parked) == 0 || t.waking {
		return
	}
	t.waking = true
	st.waking = append(st.waking, t)
}

// wakeQueues makes ready the parked queues that changes since the last cycle may
// allow to continue.
func (st *State) wakeQueues() {
	for _, q := range st.retryQueues {
		q.owner.makeReady(q)
	}
	clear(st.retryQueues)
	st.retryQueues = st.retryQueues[:0]
	for _, t := range st.waking {
		t.waking = false
		t.wakeParked()
	}
	clear(st.waking)
	st.waking = st.waking[:0]
	st.unblockShapes()
}

// wakeParked makes ready the queues whose tasks the quota now allows.
func (t *teamState) wakeParked() {
	kept := t.parked[:0]
	for _, q := range t.parked {
		switch {
		case q.liveJobs == 0:
		case t.allows(q.shape.key.need):
			q.owner.makeReady(q)
		default:
			kept = append(kept, q)
		}
	}
	clear(t.parked[len(kept):])
	t.parked = kept
}

// unblockShapes unblocks the shapes that fit a VM with capacity freed since the
// last cycle.
func (st *State) unblockShapes() {
	for _, v := range st.freed {
		v.freed = false
		if !v.listed || !v.Schedulable {
			continue
		}
		st.unblocked = st.queue.blocked.fitting(st.unblocked[:0], v)
		for _, s := range st.unblocked {
			st.retryShape(s)
		}
	}
	clear(st.freed)
	st.freed = st.freed[:0]
}

// retryShape unblocks s and makes its queues ready.
func (st *State) retryShape(s *shape) {
	st.queue.blocked.unblock(s)
	for _, q := range s.parked {
		if q.liveJobs > 0 {
			q.owner.makeReady(q)
		}
	}
	clear(s.parked)
	s.parked = s.parked[:0]
}
