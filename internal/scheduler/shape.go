package scheduler

import (
	"cmp"
	"math/bits"
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// shapeKey is what jobs have in common that one search for a VM can answer
// for. Jobs with constraints of their own have the job in the key.
type shapeKey struct {
	need        api.Resources
	class       api.Class
	dataCentres string
	runTime     uint8 // power of two of the run time in seconds; 0: not known
	own         api.JobID
}

// compare orders keys, so that what is done for many of them has one order.
func (k shapeKey) compare(o shapeKey) int {
	return cmp.Or(
		cmp.Compare(k.need.MilliCPU, o.need.MilliCPU),
		cmp.Compare(k.need.MemoryMB, o.need.MemoryMB),
		cmp.Compare(k.need.Accelerators, o.need.Accelerators),
		cmp.Compare(k.class, o.class),
		cmp.Compare(k.dataCentres, o.dataCentres),
		cmp.Compare(k.runTime, o.runTime),
		cmp.Compare(k.own, o.own),
	)
}

// shape is the jobs of one key. While it is blocked, no search is made for
// them: nothing has been freed that could hold one of their tasks.
type shape struct {
	key        shapeKey
	queues     int  // that refer to it
	blocked    bool // by way of queue.blocked
	blockedPos int
	judged     uint64 // judgement of the World at which it could run, plus 1
	verdict    verdict
	parked     []*shapeQueue
	// outright: no VM had room, whatever the job.
	outright bool
	// headroom: idle accelerators kept room against it.
	headroom bool
	// shortest is the run time searched for in vain while VMs with room were
	// held, for which a shorter job may still have them; 0: none were.
	shortest time.Duration
}

// answersFor reports whether the cached verdict of s holds for j too.
func (s *shape) answersFor(j *jobState) bool {
	shorter := j.runTime() > 0 && j.runTime() < s.shortest
	return s.blocked && !shorter
}

func keyOf(j *jobState) shapeKey {
	key := shapeKey{
		need:        j.need(),
		class:       j.Spec.Class,
		dataCentres: dataCentreKey(j.Spec.DataCentres),
		runTime:     runTimeLevel(j.runTime()),
	}
	if j.isGang() || j.countsSpread() || j.isUrgent() || len(j.Avoid) > 0 {
		key.own = j.Spec.ID
	}
	return key
}

func runTimeLevel(d time.Duration) uint8 {
	return uint8(bits.Len64(uint64(max(d, 0) / time.Second)))
}

// shapeQueue is the waiting jobs of one shape of one team in one priority
// band, oldest first.
type shapeQueue struct {
	owner   *teamQueue
	shape   *shape
	jobs    []*jobState // some may have left the queue
	live    int
	heapPos int // in owner.ready; -1: parked
	verdict verdict
}

// head returns the oldest job that waits here, or nil.
func (q *shapeQueue) head() *jobState {
	for len(q.jobs) > 0 && q.jobs[0].queue != q {
		q.jobs[0] = nil
		q.jobs = q.jobs[1:]
	}
	if len(q.jobs) == 0 {
		return nil
	}
	return q.jobs[0]
}

// insert puts j in its place by age.
func (q *shapeQueue) insert(j *jobState) {
	at := len(q.jobs)
	for at > 0 && j.before(q.jobs[at-1]) {
		at--
	}
	q.jobs = append(q.jobs, nil)
	copy(q.jobs[at+1:], q.jobs[at:])
	q.jobs[at] = j
	q.live++
}

// compact drops the jobs that left, when they are the greater part.
func (q *shapeQueue) compact() {
	const fewest = 64
	if len(q.jobs) < fewest || q.live*2 > len(q.jobs) {
		return
	}
	kept := make([]*jobState, 0, q.live)
	for _, j := range q.jobs {
		if j.queue == q {
			kept = append(kept, j)
		}
	}
	q.jobs = kept
}

// shapeHeap orders the ready queues of a team by their oldest job.
type shapeHeap []*shapeQueue

func (h shapeHeap) Len() int { return len(h) }

func (h shapeHeap) Less(a, b int) bool {
	return h[a].jobs[0].before(h[b].jobs[0])
}

func (h shapeHeap) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].heapPos = a
	h[b].heapPos = b
}

// Push implements heap.Interface.
func (h *shapeHeap) Push(x any) {
	q := x.(*shapeQueue)
	q.heapPos = len(*h)
	*h = append(*h, q)
}

// Pop implements heap.Interface.
func (h *shapeHeap) Pop() any {
	old := *h
	last := len(old) - 1
	q := old[last]
	old[last] = nil
	q.heapPos = -1
	*h = old[:last]
	return q
}
