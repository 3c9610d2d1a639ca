package router

import (
	"container/list"

	"github.com/skylarklock/skylarklock/api"
)

// fairQueue holds the waiters of one service. Callers of a class are served
// round-robin and classes by weight, so that neither class starves. It is a
// pure data structure: nothing blocks in it.
type fairQueue struct {
	weight            int // interactive grants per batch grant
	interactive       classQueue
	batch             classQueue
	interactiveStreak int // interactive grants since the last batch grant
	length            int
}

// classQueue holds the flows of one class in round-robin order.
type classQueue struct {
	flows   map[string]*flow
	callers list.List // of *flow; the front is served next
}

// flow holds the waiters of one caller in one class, oldest first.
type flow struct {
	caller        string
	waiters       list.List // of *waiter
	orderPosition *list.Element
}

// classQueueOf returns the queue of a class.
func (q *fairQueue) classQueueOf(class api.Class) *classQueue {
	if class == api.ClassBatch {
		return &q.batch
	}
	return &q.interactive
}

// push appends w to its caller's flow.
func (q *fairQueue) push(w *waiter) {
	r := q.classQueueOf(w.class)
	if r.flows == nil {
		r.flows = make(map[string]*flow)
	}
	f := r.flows[w.caller]
	if f == nil {
		f = &flow{caller: w.caller}
		f.orderPosition = r.callers.PushBack(f)
		r.flows[w.caller] = f
	}
	w.flow = f
	w.position = f.waiters.PushBack(w)
	q.length++
}

// remove deletes w, which must be in the queue.
func (q *fairQueue) remove(w *waiter) {
	f := w.flow
	f.waiters.Remove(w.position)
	w.flow = nil
	q.length--
	if f.waiters.Len() > 0 {
		return
	}
	r := q.classQueueOf(w.class)
	r.callers.Remove(f.orderPosition)
	delete(r.flows, f.caller)
}

// countAhead returns the number of waiters that would be served before a new
// one of the caller if none were skipped and callers were served round-robin.
func (q *fairQueue) countAhead(class api.Class, caller string) int {
	r := q.classQueueOf(class)
	own := 0
	if f := r.flows[caller]; f != nil {
		own = f.waiters.Len()
	}
	ahead := 0
	for _, f := range r.flows {
		ahead += min(f.waiters.Len(), own+1)
	}
	if class == api.ClassBatch {
		return min(ahead*(1+q.weight), q.length)
	}
	return min(ahead+ahead/q.weight, q.length)
}

// next removes and returns the first waiter, in fair order, that accept
// returns true for, or nil.
func (q *fairQueue) next(accept func(*waiter) bool) *waiter {
	first, second := &q.interactive, &q.batch
	if q.interactiveStreak >= q.weight {
		first, second = second, first
	}
	for _, r := range []*classQueue{first, second} {
		w := r.next(accept)
		if w == nil {
			continue
		}
		q.recordGrant(r)
		q.remove(w)
		return w
	}
	return nil
}

// recordGrant counts a grant to a waiter of r.
func (q *fairQueue) recordGrant(r *classQueue) {
	if r == &q.batch {
		q.interactiveStreak = 0
		return
	}
	if q.batch.callers.Len() > 0 {
		q.interactiveStreak++
	}
}

// next looks at the oldest waiter of each caller, in round-robin order. It
// returns the first one that accept returns true for, and moves its caller to
// the back.
func (r *classQueue) next(accept func(*waiter) bool) *waiter {
	for turn := r.callers.Front(); turn != nil; turn = turn.Next() {
		f := turn.Value.(*flow)
		w := f.waiters.Front().Value.(*waiter)
		if accept(w) {
			r.callers.MoveToBack(turn)
			return w
		}
	}
	return nil
}

// findVictim returns the newest waiter of the caller with the most waiters if
// that caller has at least two waiters more than the given caller, otherwise
// nil. A full queue thus accepts requests of a caller that does not flood it.
func (q *fairQueue) findVictim(class api.Class, caller string) *waiter {
	own := 0
	if f := q.classQueueOf(class).flows[caller]; f != nil {
		own = f.waiters.Len()
	}
	var longest *flow
	for _, r := range []*classQueue{&q.interactive, &q.batch} {
		for turn := r.callers.Front(); turn != nil; turn = turn.Next() {
			f := turn.Value.(*flow)
			if longest == nil || f.waiters.Len() > longest.waiters.Len() {
				longest = f
			}
		}
	}
	if longest == nil || longest.waiters.Len() <= own+1 {
		return nil
	}
	return longest.waiters.Back().Value.(*waiter)
}
