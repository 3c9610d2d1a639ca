// Package recovery holds the policies for tasks that must move: in which order
// lost tasks are placed again, how leaving VMs are drained, how broken gangs are
// stopped and how jobs are evacuated from a lost data centre.
package recovery

import (
	"sort"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/cell"
)

// Order is the position of a task among the tasks to place again: by priority, then
// class, then age, then index. It does not depend on when or on which VM the loss
// was detected.
type Order struct {
	Priority int // higher goes first
	Class    int // lower goes first
	Age      uint32
	Task     api.TaskID
}

// classRank ranks classes that serve callers first and batch jobs, which fill the
// remaining capacity, last.
var classRank = map[api.Class]int{
	api.ClassInteractive: 0,
	api.ClassService:     1,
	api.ClassGang:        2,
	api.ClassBatch:       3,
}

// OrderOf returns the order of a task of a job. The job number is its age, because
// jobs are numbered in log order, which is the same on every entry VM.
func OrderOf(job cell.JobView, task api.TaskID) Order {
	return Order{
		Priority: job.Spec.Priority,
		Class:    classRank[job.Spec.Class],
		Age:      job.Number,
		Task:     task,
	}
}

// Less reports whether o goes before p.
func (o Order) Less(p Order) bool {
	switch {
	case o.Priority != p.Priority:
		return o.Priority > p.Priority
	case o.Class != p.Class:
		return o.Class < p.Class
	case o.Age != p.Age:
		return o.Age < p.Age
	}
	return o.Task.Index < p.Task.Index
}

// Sort sorts list by the orders that key returns. The sort is stable.
func Sort[T any](list []T, key func(T) Order) {
	sort.SliceStable(list, func(i, j int) bool { return key(list[i]).Less(key(list[j])) })
}
