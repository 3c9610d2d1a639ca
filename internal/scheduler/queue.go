package scheduler

import (
	"container/heap"
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// Priority bands are served in strict order. A job is promoted by one band for
// each Config.AgeStep that it has waited, but never into the urgent band.
const (
	bandWidth  = 100
	urgentBand = api.PriorityUrgent / bandWidth
	bandCount  = urgentBand + 1
)

// bandOf returns the band of a priority after a number of promotions.
func bandOf(priority, promotions int) int {
	if priority >= api.PriorityUrgent {
		return urgentBand
	}
	return min(max(priority, 0)/bandWidth+promotions, urgentBand-1)
}

// queue holds the jobs with pending tasks.
type queue struct {
	bands   [bandCount]band
	shapes  map[shapeKey]*shape
	blocked blockedIndex       // shapes that wait for capacity
	aging   [bandCount]ageHeap // by number of promotions
	jobs    int
	tasks   int
}

// band contains the jobs of one priority band.
type band struct {
	teams map[*teamState]*teamQueue
	ready []*teamQueue // teams with a ready queue
}

// teamQueue contains the jobs of one team in one band.
type teamQueue struct {
	band     *band
	team     *teamState
	shapes   map[*shape]*shapeQueue
	ready    shapeHeap
	readyPos int // index in band.ready; -1 if not listed
}

// setPending replaces the pending tasks of j and updates the totals.
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
	j.band = bandOf(j.Spec.Priority, j.promotions)
	s := q.shapeOf(keyOf(j))
	t := q.bands[j.band].teamQueue(j.team)
	sq := t.shapes[s]
	if sq == nil {
		sq = &shapeQueue{owner: t, shape: s, heapPos: -1}
		t.shapes[s] = sq
		s.queueCount++
	}
	j.queue = sq
	wasEmpty := sq.liveJobs == 0
	sq.insert(j)
	switch {
	case sq.heapPos >= 0:
		heap.Fix(&t.ready, sq.heapPos)
	case wasEmpty:
		t.makeReady(sq)
	}
	if j.promotions < bandCount-1 {
		heap.Push(&q.aging[j.promotions], ageEntry{job: j, waitingSince: j.waitingSince})
	}
}

// remove removes j from its queue. The entry in shapeQueue.jobs is removed lazily.
func (q *queue) remove(j *jobState) {
	sq := j.queue
	if sq == nil {
		return
	}
	j.queue = nil
	sq.liveJobs--
	if sq.liveJobs == 0 {
		q.removeEmpty(sq)
		return
	}
	t := sq.owner
	if sq.heapPos >= 0 {
		sq.head()
		heap.Fix(&t.ready, sq.heapPos)
	}
	sq.compact()
}

// removeEmpty removes an empty queue, and its shape with the shape's last queue. The
// teamQueue stays in the band, because there are few of them.
func (q *queue) removeEmpty(sq *shapeQueue) {
	t := sq.owner
	t.park(sq)
	sq.jobs = nil
	delete(t.shapes, sq.shape)
	sq.shape.queueCount--
	if sq.shape.queueCount == 0 {
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
		tq = &teamQueue{band: b, team: t, shapes: make(map[*shape]*shapeQueue), readyPos: -1}
		if b.teams == nil {
			b.teams = make(map[*teamState]*teamQueue)
		}
		b.teams[t] = tq
	}
	return tq
}

// makeReady adds sq to the ready queues of the team.
func (t *teamQueue) makeReady(sq *shapeQueue) {
	if sq.heapPos >= 0 || sq.head() == nil {
		return
	}
	heap.Push(&t.ready, sq)
	if t.readyPos < 0 {
		t.readyPos = len(t.band.ready)
		t.band.ready = append(t.band.ready, t)
	}
}

// park removes sq from the ready queues of the team until makeReady is called.
func (t *teamQueue) park(sq *shapeQueue) {
	if sq.heapPos >= 0 {
		heap.Remove(&t.ready, sq.heapPos)
	}
	if len(t.ready) > 0 || t.readyPos < 0 {
		return
	}
	ready := t.band.ready
	last := len(ready) - 1
	ready[t.readyPos] = ready[last]
	ready[t.readyPos].readyPos = t.readyPos
	ready[last] = nil
	t.band.ready = ready[:last]
	t.readyPos = -1
}

// next returns the queue to serve next: in the highest band with ready work, of the
// team with the smallest dominant share, the queue with the oldest job. It returns
// nil if no queue is ready.
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
	bestShare := best.team.dominantShare(total)
	for _, t := range teams[1:] {
		dominantShare := t.team.dominantShare(total)
		if dominantShare < bestShare || dominantShare == bestShare && t.hasOlderHead(best) {
			best = t
			bestShare = dominantShare
		}
	}
	return best
}

func (t *teamQueue) hasOlderHead(o *teamQueue) bool {
	return t.ready[0].jobs[0].submittedBefore(o.ready[0].jobs[0])
}

// promoteAged promotes the jobs that have waited another step by one band and makes
// their queues ready.
func (q *queue) promoteAged(now time.Time, step time.Duration) {
	for promotions := range q.aging {
		h := &q.aging[promotions]
		due := now.Add(-step * time.Duration(promotions+1))
		h.compact(q.jobs)
		for h.Len() > 0 && !(*h)[0].waitingSince.After(due) {
			j := heap.Pop(h).(ageEntry).job
			switch {
			case j.queue == nil || j.promotions != promotions:
			case j.waitingSince.After(due):
				heap.Push(h, ageEntry{job: j, waitingSince: j.waitingSince})
			default:
				q.promoteJob(j)
			}
		}
	}
}

func (q *queue) promoteJob(j *jobState) {
	q.remove(j)
	j.promotions++
	q.add(j)
	j.queue.owner.makeReady(j.queue)
}

// ageEntry is a job with the value of its waitingSince when the entry was added.
type ageEntry struct {
	job          *jobState
	waitingSince time.Time
}

// ageHeap orders jobs by waiting time, longest first. Entries of jobs that left the
// queue are removed lazily.
type ageHeap []ageEntry

// compact removes the entries of jobs that left the queue, if there are more than
// twice as many entries as queued jobs.
func (h *ageHeap) compact(jobs int) {
	const minEntries = 1024
	if h.Len() < 2*jobs+minEntries {
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
func (h ageHeap) Less(a, b int) bool { return h[a].waitingSince.Before(h[b].waitingSince) }
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
