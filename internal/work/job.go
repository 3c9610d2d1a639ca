// Package work holds jobs as clients submit them, the durable record of how
// far each has come, and the encodings of both. It decides nothing about
// placement.
package work

import (
	"slices"
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// Job is what a client submitted, with the queue that took it.
type Job struct {
	_             struct{}      `cbor:",toarray"`
	ID            ID            // chosen by the client
	Queue         string        // name of the queue
	Service       string        // whose executors ran the queue's tasks when the job was accepted
	Specification string        // passed to each start unchanged
	Steps         []Step        // in the order in which the client numbered them
	AcceptedMs    int64         // wall clock, milliseconds since 1970
	FirstRunMs    int64         // due time of occurrence 0, milliseconds since 1970; only with Repetitions
	Interval      time.Duration // between the due times of two occurrences
	Repetitions   int           // occurrences; 0: the steps run once, at once
}

// Occurrences returns how often the steps run.
func (j *Job) Occurrences() int { return max(1, j.Repetitions) }

// DueMs returns the wall clock time, in milliseconds since 1970, before which
// no task of the occurrence may start; 0 for a job without a schedule.
func (j *Job) DueMs(occurrence int) int64 {
	if j.Repetitions == 0 {
		return 0
	}
	return j.FirstRunMs + int64(occurrence)*j.Interval.Milliseconds()
}

// LongRunning reports whether tasks of the job run until it is cancelled.
func (j *Job) LongRunning() bool {
	return slices.ContainsFunc(j.Steps, func(s Step) bool { return s.LongRunning })
}

// CriticalPathFrom returns the longest chain of estimated run times from step i on.
func (j *Job) CriticalPathFrom(i int) time.Duration {
	longest := time.Duration(0)
	for k := i + 1; k < len(j.Steps); k++ {
		if slices.Contains(j.Steps[k].DependsOn, i) {
			longest = max(longest, j.CriticalPathFrom(k))
		}
	}
	return j.Steps[i].Estimate + longest
}

// CriticalPath returns the longest chain of estimated run times of the steps.
func (j *Job) CriticalPath() time.Duration {
	longest := time.Duration(0)
	for i := range j.Steps {
		longest = max(longest, j.CriticalPathFrom(i))
	}
	return longest
}

// Step is a number of equal tasks.
type Step struct {
	_                 struct{}      `cbor:",toarray"`
	TaskCount         int           // how many
	TaskResources     api.Resources // of each task
	Estimate          time.Duration // the client's rough guess of a task's run time
	DependsOn         []int         // steps that must have ended before
	Gang              bool          // all tasks run at the same time or not at all
	SameRack          bool          // slower by the platform's factor when spread over racks
	RequiredLabel     string        // that the VM must carry; empty: any
	DataRack          string        // rack that holds the data; elsewhere tasks are slower
	MaxPerVM          int           // tasks of one occurrence on one VM; 0: no limit
	SavesCheckpoints  bool          // tasks save their progress
	Speculative       bool          // copies of a task may run side by side
	LongRunning       bool          // tasks run until the job is cancelled
	Image             string        // tasks of one image behave alike
	TailLatencyTarget time.Duration // upper bound of the response times that the tasks' users see; 0: none
	SpareCPUOnly      bool          // processors are taken only as others leave them
	MaxUnavailable    int           // tasks that the system may take down at the same time
}
