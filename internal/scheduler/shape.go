package scheduler

import (
	"cmp"
	"math/bits"
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// shapeKey identifies jobs for which one search for a VM gives the same result. The
// key of a job with individual constraints includes its ID.
type shapeKey struct {
	need        api.Resources
	class       api.Class
	dataCentres string
	runTimeLog2 uint8 // bit length of the run time in seconds; 0 if unknown
	ownJob      api.JobID
}

// compare defines an order of keys, so that operations on many shapes are
// deterministic.
func (k shapeKey) compare(o shapeKey) int {
	return cmp.Or(
		cmp.Compare(k.need.MilliCPU, o.need.MilliCPU),
		cmp.Compare(k.need.MemoryMB, o.need.MemoryMB),
		cmp.Compare(k.need.Accelerators, o.need.Accelerators),
		cmp.Compare(k.class, o.class),
		cmp.Compare(k.dataCentres, o.dataCentres),
		cmp.Compare(k.runTimeLog2, o.runTimeLog2),
		cmp.Compare(k.ownJob, o.ownJob),
	)
}

// shape is the state shared by the jobs of one key. While it is blocked, no search
// is made for them, because no capacity has been freed that could fit their tasks.
type shape struct {
	key             shapeKey
	queueCount      int  // number of queues with this shape
	blocked         bool // listed in queue.blocked
	blockedPos      int
	feasibleAtEpoch uint64 // State.feasibilityEpoch at which the shape was feasible, plus 1
	status          status
	parked          []*shapeQueue
	// fitsNoVM is set if the last search showed that the need fits no VM,
	// regardless of the job.
	fitsNoVM bool
	// headroomKept is set if that search kept headroom for idle accelerators.
	headroomKept bool
	// minFailedRunTime is the run time of the last failed search that found VMs
	// under a hold, which a shorter job may still use; zero if there were none.
	minFailedRunTime time.Duration
}

// statusAppliesTo reports whether the cached status of s also applies to j.
func (s *shape) statusAppliesTo(j *jobState) bool {
	shorter := j.runTime() > 0 && j.runTime() < s.minFailedRunTime
	return s.blocked && !shorter
}

func keyOf(j *jobState) shapeKey {
	key := shapeKey{
		need:        j.need(),
		class:       j.Spec.Class,
		dataCentres: dataCentreKey(j.Spec.DataCentres),
		runTimeLog2: runTimeLevel(j.runTime()),
	}
	if j.isGang() || j.countsSpread() || j.isUrgent() || len(j.Avoid) > 0 {
		key.ownJob = j.Spec.ID
	}
	return key
}

func runTimeLevel(d time.Duration) uint8 {
	return uint8(bits.Len64(uint64(max(d, 0) / time.Second)))
}

// shapeQueue contains the waiting jobs of one shape, team and priority band, oldest
// first.
type shapeQueue struct {
	owner    *teamQueue
	shape    *shape
	jobs     []*jobState // may include jobs that have left the queue
	liveJobs int
	heapPos  int // index in owner.ready; -1 if parked
	status   status
}

// head returns the oldest job in the queue, or nil.
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

// insert inserts j in order of submission.
func (q *shapeQueue) insert(j *jobState) {
	i := len(q.jobs)
	for i > 0 && j.submittedBefore(q.jobs[i-1]) {
		i--
	}
	q.jobs = append(q.jobs, nil)
	copy(q.jobs[i+1:], q.jobs[i:])
	q.jobs[i] = j
	q.liveJobs++
}

// compact removes the jobs that left the queue, if they are at least half of the
// entries.
func (q *shapeQueue) compact() {
	const minEntries = 64
	if len(q.jobs) < minEntries || q.liveJobs*2 > len(q.jobs) {
		return
	}
	kept := make([]*jobState, 0, q.liveJobs)
	for _, j := range q.jobs {
		if j.queue == q {
			kept = append(kept, j)
		}
	}
	q.jobs = kept
}

// shapeHeap orders the ready queues of a team by their oldest jobs.
type shapeHeap []*shapeQueue

func (h shapeHeap) Len() int { return len(h) }

func (h shapeHeap) Less(a, b int) bool {
	return h[a].jobs[0].submittedBefore(h[b].jobs[0])
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
