package scheduler

import (
	"container/heap"
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// Priority bands. Bands go strictly one after the other; a job rises by one
// with each Config.AgeStep it has waited, but never into the urgent one.
const (
	bandWidth  = 100
	urgentBand = api.PriorityUrgent / bandWidth
	bandCount  = urgentBand + 1
)

// bandOf returns the band of a priority after a rise.
func bandOf(priority, risen int) int {
	if priority >= api.PriorityUrgent {
		return urgentBand
	}
	return min(max(priority, 0)/bandWidth+risen, urgentBand-1)
}

// queue holds the jobs with pending tasks.
type queue struct {
	bands   [bandCount]band
	shapes  map[shapeKey]*shape
	blocked blockedIndex       // shapes that wait for capacity
	aging   [bandCount]ageHeap // by bands already gained
	jobs    int
	tasks   int
}

// band is the jobs of one priority band.
type band struct {
	teams map[*teamState]*teamQueue
	ready []*teamQueue // those with a ready queue
}

// teamQueue is one team's jobs in one band.
type teamQueue struct {
	band    *band
	team    *teamState
	shapes  map[*shape]*shapeQueue
	ready   shapeHeap
	listPos int // in band.ready; -1: not listed
}

// setPending replaces the pending tasks of j and keeps the sums.
func (q *queue) setPending(j *jobState, pending []uint32) {
	q.tasks += len(pending) - len(j.pending)
	switch {
	case len(j.pending) == 0 && len(pending) > 0:
		q.jobs++
	case len(j.pending) > 0 && len(pending) == 0:
		q.jobs--
	}
	j.pending = pending
}

// add queues j by its priority, team and shape.
func (q *queue) add(j *jobState) {
	j.band = bandOf(j.Spec.Priority, j.risen)
	s := q.shapeOf(keyOf(j))
	t := q.bands[j.band].teamQueue(j.team)
	sq := t.shapes[s]
	if sq == nil {
		sq = &shapeQueue{owner: t, shape: s, heapPos: -1}
		t.shapes[s] = sq
		s.queues++
	}
	j.queue = sq
	wasEmpty := sq.live == 0
	sq.insert(j)
	switch {
	case sq.heapPos >= 0:
		heap.Fix(&t.ready, sq.heapPos)
	case wasEmpty:
		t.makeReady(sq)
	}
	if j.risen < bandCount-1 {
		heap.Push(&q.aging[j.risen], ageEntry{job: j, since: j.since})
	}
}

// remove takes j out of its queue; the entry itself goes lazily.
func (q *queue) remove(j *jobState) {
	sq := j.queue
	if sq == nil {
		return
	}
	j.queue = nil
	sq.live--
	if sq.live == 0 {
		q.drop(sq)
		return
	}
	t := sq.owner
	if sq.heapPos >= 0 {
		sq.head()
		heap.Fix(&t.ready, sq.heapPos)
	}
	sq.compact()
}

// drop forgets an empty queue, and its shape with the last one. The team's
// place in the band stays: there are few of those.
func (q *queue) drop(sq *shapeQueue) {
	t := sq.owner
	t.park(sq)
	sq.jobs = nil
	delete(t.shapes, sq.shape)
	sq.shape.queues--
	if sq.shape.queues == 0 {
		q.blocked.unblock(sq.shape)
		delete(q.shapes, sq.shape.key)
	}
}

func (q *queue) shapeOf(key shapeKey) *shape {
	s := q.shapes[key]
	if s == nil {
		s = &shape{key: key}
		q.shapes[key] = s
	}
	return s
}

func (b *band) teamQueue(t *teamState) *teamQueue {
	tq := b.teams[t]
	if tq == nil {
		tq = &teamQueue{band: b, team: t, shapes: make(map[*shape]*shapeQueue), listPos: -1}
		if b.teams == nil {
			b.teams = make(map[*teamState]*teamQueue)
		}
		b.teams[t] = tq
	}
	return tq
}

// makeReady lets sq be tried.
func (t *teamQueue) makeReady(sq *shapeQueue) {
	if sq.heapPos >= 0 || sq.head() == nil {
		return
	}
	heap.Push(&t.ready, sq)
	if t.listPos < 0 {
		t.listPos = len(t.band.ready)
		t.band.ready = append(t.band.ready, t)
	}
}

// park takes sq off its turn until something makes it ready.
func (t *teamQueue) park(sq *shapeQueue) {
	if sq.heapPos >= 0 {
		heap.Remove(&t.ready, sq.heapPos)
	}
	if len(t.ready) > 0 || t.listPos < 0 {
		return
	}
	ready := t.band.ready
	last := len(ready) - 1
	ready[t.listPos] = ready[last]
	ready[t.listPos].listPos = t.listPos
	ready[last] = nil
	t.band.ready = ready[:last]
	t.listPos = -1
}

// next returns the queue whose turn it is: of the highest band with ready
// work, that of the team with the least share, and of that team the oldest.
// It returns nil when nothing is ready.
func (q *queue) next(total api.Resources) *shapeQueue {
	for b := urgentBand; b >= 0; b-- {
		if ready := q.bands[b].ready; len(ready) > 0 {
			return leastShare(ready, total).ready[0]
		}
	}
	return nil
}

func leastShare(teams []*teamQueue, total api.Resources) *teamQueue {
	best := teams[0]
	if len(teams) == 1 {
		return best
	}
	bestShare := best.team.share(total)
	for _, t := range teams[1:] {
		share := t.team.share(total)
		if share < bestShare || share == bestShare && t.older(best) {
			best = t
			bestShare = share
		}
	}
	return best
}

func (t *teamQueue) older(o *teamQueue) bool {
	return t.ready[0].jobs[0].before(o.ready[0].jobs[0])
}

// promote raises the jobs that have waited another step by one band, and
// lets them be tried.
func (q *queue) promote(now time.Time, step time.Duration) {
	for risen := range q.aging {
		h := &q.aging[risen]
		due := now.Add(-step * time.Duration(risen+1))
		h.compact(q.jobs)
		for h.Len() > 0 && !(*h)[0].since.After(due) {
			j := heap.Pop(h).(ageEntry).job
			switch {
			case j.queue == nil || j.risen != risen:
			case j.since.After(due):
				heap.Push(h, ageEntry{job: j, since: j.since})
			default:
				q.promoteJob(j)
			}
		}
	}
}

func (q *queue) promoteJob(j *jobState) {
	q.remove(j)
	j.risen++
	q.add(j)
	j.queue.owner.makeReady(j.queue)
}

// ageEntry is a job with the time from which it waited when it was listed.
type ageEntry struct {
	job   *jobState
	since time.Time
}

// ageHeap orders jobs by how long they wait. Entries of jobs that left the
// queue go lazily.
type ageHeap []ageEntry

// compact drops the entries of jobs that left, when there are more entries
// than twice the queued jobs.
func (h *ageHeap) compact(jobs int) {
	const fewest = 1024
	if h.Len() < 2*jobs+fewest {
		return
	}
	kept := (*h)[:0]
	for _, e := range *h {
		if e.job.queue != nil {
			kept = append(kept, e)
		}
	}
	clear((*h)[len(kept):])
	*h = kept
	heap.Init(h)
}

func (h ageHeap) Len() int           { return len(h) }
func (h ageHeap) Less(a, b int) bool { return h[a].since.Before(h[b].since) }
func (h ageHeap) Swap(a, b int)      { h[a], h[b] = h[b], h[a] }

// Push implements heap.Interface.
func (h *ageHeap) Push(x any) { *h = append(*h, x.(ageEntry)) }

// Pop implements heap.Interface.
func (h *ageHeap) Pop() any {
	old := *h
	last := len(old) - 1
	e := old[last]
	old[last] = ageEntry{}
	*h = old[:last]
	return e
}
