package router

import (
	"container/list"

	"github.com/skylarklock/skylarklock/api"
)

// fairQueue holds the waiters of one service. Callers of a class take turns;
// classes are served by weight, so that neither starves. It is pure: waiters
// go in and out, and nothing waits in it.
type fairQueue struct {
	weight      int // interactive grants for each batch grant
	interactive ring
	batch       ring
	streak      int // interactive grants since the last batch grant
	length      int
}

// ring holds the flows of one class in the order of their turns.
type ring struct {
	flows map[string]*flow
	turns list.List // of *flow; the front is next
}

// flow holds the waiters of one caller in one class, oldest first.
type flow struct {
	caller  string
	waiters list.List // of *waiter
	turn    *list.Element
}

// ringOf returns the ring of a class.
func (q *fairQueue) ringOf(class api.Class) *ring {
	if class == api.ClassBatch {
		return &q.batch
	}
	return &q.interactive
}

// push appends w to its caller's flow.
func (q *fairQueue) push(w *waiter) {
	r := q.ringOf(w.class)
	if r.flows == nil {
		r.flows = make(map[string]*flow)
	}
	f := r.flows[w.caller]
	if f == nil {
		f = &flow{caller: w.caller}
		f.turn = r.turns.PushBack(f)
		r.flows[w.caller] = f
	}
	w.flow = f
	w.place = f.waiters.PushBack(w)
	q.length++
}

// remove takes w out. It must be in the queue.
func (q *fairQueue) remove(w *waiter) {
	f := w.flow
	f.waiters.Remove(w.place)
	w.flow = nil
	q.length--
	if f.waiters.Len() > 0 {
		return
	}
	r := q.ringOf(w.class)
	r.turns.Remove(f.turn)
	delete(r.flows, f.caller)
}

// ahead returns how many waiters are served before a new one of the caller,
// if none is skipped and callers take turns.
func (q *fairQueue) ahead(class api.Class, caller string) int {
	r := q.ringOf(class)
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

// next takes out and returns the first waiter, in fair order, that accept
// takes; nil when it takes none.
func (q *fairQueue) next(accept func(*waiter) bool) *waiter {
	first, second := &q.interactive, &q.batch
	if q.streak >= q.weight {
		first, second = second, first
	}
	for _, r := range []*ring{first, second} {
		w := r.next(accept)
		if w == nil {
			continue
		}
		q.count(r)
		q.remove(w)
		return w
	}
	return nil
}

// count notes a grant to a waiter of r.
func (q *fairQueue) count(r *ring) {
	if r == &q.batch {
		q.streak = 0
		return
	}
	if q.batch.turns.Len() > 0 {
		q.streak++
	}
}

// next returns the first caller's oldest waiter that accept takes, and moves
// that caller to the end of the turns.
func (r *ring) next(accept func(*waiter) bool) *waiter {
	for turn := r.turns.Front(); turn != nil; turn = turn.Next() {
		f := turn.Value.(*flow)
		w := f.waiters.Front().Value.(*waiter)
		if accept(w) {
			r.turns.MoveToBack(turn)
			return w
		}
	}
	return nil
}

// displace returns the newest waiter of the caller that has most waiting,
// when it has more than one more than the given caller would; else nil. A
// full queue so keeps room for a caller that does not flood it.
func (q *fairQueue) displace(class api.Class, caller string) *waiter {
	own := 0
	if f := q.ringOf(class).flows[caller]; f != nil {
		own = f.waiters.Len()
	}
	var longest *flow
	for _, r := range []*ring{&q.interactive, &q.batch} {
		for turn := r.turns.Front(); turn != nil; turn = turn.Next() {
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
