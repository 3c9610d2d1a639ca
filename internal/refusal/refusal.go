// Package refusal lets entry machines refuse submissions that the leader's admission would refuse, without
// a call to the leader. The leader records which queues and workspaces it refuses (Recorder) and sends the
// list with its deliveries (News); an entry machine decides by the newest list (Board).
//
// The package holds decisions only: it reads no clock, makes no calls and starts no goroutines. Its types
// are not safe for concurrent use.
package refusal

import (
	"time"

	"github.com/skylarklock/skylarklock/internal/queue"
	"github.com/skylarklock/skylarklock/internal/work"
)

// Key names the jobs of one queue and workspace.
type Key struct {
	Queue     string
	Workspace work.WorkspaceID
}

// KeyOf returns the key of a job.
func KeyOf(j *work.Job) Key { return Key{Queue: j.Queue, Workspace: j.Workspace} }

// Concerns reports whether a job may be refused by a list. A job that runs until it is cancelled, or at set
// times, doesn't become worthless by waiting, and its refusal says nothing about other jobs.
func Concerns(j *work.Job) bool { return !j.LongRunning() && j.Repetitions == 0 }

// Size is what decides whether there is capacity for a job in time.
type Size struct {
	Processing int64         // processor time of all its tasks, in millionths of a second on one processor
	Memory     int64         // memory times run time of all its tasks, in MiB times milliseconds
	Objective  time.Duration // latency objective
}

// SizeOf returns the size of a job of a queue.
func SizeOf(j *work.Job, q *queue.Queue) Size {
	s := Size{Objective: q.LatencyObjective(j.CriticalPath())}
	for i := range j.Steps {
		step := &j.Steps[i]
		ms := int64(step.TaskCount) * step.Estimate.Milliseconds()
		s.Processing += ms * step.TaskResources.MilliCPU
		s.Memory += ms * step.TaskResources.MemoryMB
	}
	return s
}

// Bounds describe which jobs are refused: those that need at least as much as the smallest refused job and
// may wait no longer than the most patient one. A smaller or more patient job may still be served in time.
type Bounds struct {
	Smallest Size // its Objective is the longest objective of a refused job
	any      bool
}

// add extends the bounds to a refused job.
func (b *Bounds) add(s Size) {
	if !b.any {
		*b = Bounds{Smallest: s, any: true}
		return
	}
	b.Smallest.Processing = min(b.Smallest.Processing, s.Processing)
	b.Smallest.Memory = min(b.Smallest.Memory, s.Memory)
	b.Smallest.Objective = max(b.Smallest.Objective, s.Objective)
}

// contain reports whether a job of a size lies within the bounds.
func (b Bounds) contain(s Size) bool {
	return s.Processing >= b.Smallest.Processing && s.Memory >= b.Smallest.Memory && s.Objective <= b.Smallest.Objective
}

// News is the list that a leader sends. Its wire form is an array, to which fields may be added only with
// a fallback for builds that don't know them.
type News struct {
	_       struct{} `cbor:",toarray"`
	AtMs    int64    // when the list was made, milliseconds on a monotonic clock of the leader
	Refused []Entry
}

// Entry says that the jobs of a queue and workspace are refused at the moment.
type Entry struct {
	_           struct{} `cbor:",toarray"`
	Queue       string
	Workspace   work.WorkspaceID
	CapacityMs  int64 // after which time, from News.AtMs, capacity is expected
	SpreadMs    int64 // over which time after that callers should return
	IntervalMs  int64 // one submission per interval is passed to the leader by each machine
	Processing  int64 // lower bound of Size.Processing of the refused jobs
	Memory      int64 // lower bound of Size.Memory of the refused jobs
	ObjectiveMs int64 // upper bound of Size.Objective of the refused jobs
}

func (e Entry) key() Key { return Key{Queue: e.Queue, Workspace: e.Workspace} }

func (e Entry) bounds() Bounds {
	return Bounds{Smallest: Size{
		Processing: e.Processing,
		Memory:     e.Memory,
		Objective:  time.Duration(e.ObjectiveMs) * time.Millisecond,
	}, any: true}
}
