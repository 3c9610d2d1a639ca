// Package recovery holds the policies for work that must move: in which
// order lost work is placed again, and how leaving VMs are drained.
package recovery

import (
	"sort"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/cell"
)

// Order is the place of a task among work to be placed again: by priority,
// then class, then age, then name. It does not depend on when or on which VM
// the loss was noticed.
type Order struct {
	Priority int // larger goes first
	Class    int // smaller goes first
	Age      uint32
	Task     api.TaskID
}

// classRank puts what serves callers first and what packs the rest last.
var classRank = map[api.Class]int{
	api.ClassInteractive: 0,
	api.ClassService:     1,
	api.ClassGang:        2,
	api.ClassBatch:       3,
}

// OrderOf returns the place of a task of a job. Jobs are numbered in log
// order, which is their age on every entry VM.
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

// Sort sorts list by the order that key gives.
func Sort[T any](list []T, key func(T) Order) {
	sort.SliceStable(list, func(i, j int) bool { return key(list[i]).Less(key(list[j])) })
}
