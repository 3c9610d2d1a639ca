// Package work defines jobs as clients submit them, the durable records of
// their progress, and the encodings of both. It contains no placement logic.
package work

import (
	"slices"
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// Job is a client's submission together with the queue that accepted it.
type Job struct {
	ID            ID            // chosen by the client
	Queue         string        // name of the queue when it accepted the job
	Path          PathID        // where it did
	Terms         Terms         // under which it did
	Workspace     WorkspaceID   // to which the caller's key belongs
	Service       string        // service whose executors ran the queue's tasks when the job was accepted
	Specification string        // passed unchanged to each start
	Steps         []Step        // in the client's numbering
	AcceptedMs    int64         // wall clock, milliseconds since 1970
	FirstRunMs    int64         // due time of occurrence 0, milliseconds since 1970; only with Repetitions
	Interval      time.Duration // between the due times of two occurrences
	Repetitions   int           // number of occurrences; 0: the steps run once, immediately
}

// Occurrences returns how many times the steps run.
func (j *Job) Occurrences() int { return max(1, j.Repetitions) }

// TaskCount returns the number of tasks of all steps.
func (j *Job) TaskCount() int {
	n := 0
	for i := range j.Steps {
		n += j.Steps[i].TaskCount
	}
	return n
}

// DueMs returns the wall clock time, in milliseconds since 1970, before which
// no task of the occurrence may start. It is 0 for a job without a schedule.
func (j *Job) DueMs(occurrence int) int64 {
	if j.Repetitions == 0 {
		return 0
	}
	elapsed := int64(occurrence) * (j.Interval % time.Millisecond).Nanoseconds()
	return j.FirstRunMs + int64(occurrence)*j.Interval.Milliseconds() + (elapsed+int64(time.Millisecond)-1)/int64(time.Millisecond)
}

// LongRunning reports whether any task of the job runs until the job is cancelled.
func (j *Job) LongRunning() bool {
	return slices.ContainsFunc(j.Steps, func(s Step) bool { return s.LongRunning })
}

// CriticalPaths returns for each step the sum of estimated run times along the longest dependency chain that
// begins with it, in time linear in the number of dependencies. Steps depend on earlier ones only.
func (j *Job) CriticalPaths() []time.Duration {
	paths := make([]time.Duration, len(j.Steps))
	for i := len(j.Steps) - 1; i >= 0; i-- {
		s := &j.Steps[i]
		paths[i] += s.Estimate // it holds the longest chain of later steps
		for _, before := range s.DependsOn {
			paths[before] = max(paths[before], paths[i])
		}
	}
	return paths
}

// CriticalPath returns the sum of estimated run times along the longest
// dependency chain of the job's steps.
func (j *Job) CriticalPath() time.Duration {
	longest := time.Duration(0)
	for _, path := range j.CriticalPaths() {
		longest = max(longest, path)
	}
	return longest
}

// Step is a group of identical tasks.
type Step struct {
	_                 struct{}      `cbor:",toarray"`
	TaskCount         int           // number of tasks
	TaskResources     api.Resources // required by each task
	Estimate          time.Duration // the client's rough estimate of a task's run time
	DependsOn         []int         // numbers of the steps that must have ended before
	Gang              bool          // all tasks run at the same time or not at all
	SameRack          bool          // slower by the platform's factor when spread over racks
	RequiredLabel     string        // label that the VM must have; empty: any VM
	DataRack          string        // rack that holds the data; tasks are slower elsewhere
	MaxPerVM          int           // maximum number of tasks of one occurrence on one VM; 0: no limit
	SavesCheckpoints  bool          // tasks save their progress
	Speculative       bool          // copies of a task may run in parallel
	LongRunning       bool          // tasks run until the job is cancelled
	Image             string        // tasks with the same image behave similarly
	TailLatencyTarget time.Duration // upper bound of the response times that the tasks' users see; 0: none
	SpareCPUOnly      bool          // uses only processor time that other tasks leave unused
	MaxUnavailable    int           // maximum number of tasks that the system may take down at the same time
}
