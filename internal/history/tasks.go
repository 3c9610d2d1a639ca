package history

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/standin/worker"
)

// runsByTask groups the runs on all VMs by task, in order of their start.
func runsByTask(workers []worker.Record) map[api.TaskID][]worker.Run {
	runs := make(map[api.TaskID][]worker.Run)
	for _, w := range workers {
		for _, run := range w.Runs {
			runs[run.Task] = append(runs[run.Task], run)
		}
	}
	for _, list := range runs {
		slices.SortFunc(list, func(a, b worker.Run) int { return a.Start.Compare(b.Start) })
	}
	return runs
}

// CheckExclusiveRuns finds tasks of which two attempts ran at the same time, and attempts
// that ran twice. An attempt without an end counts as running until end.
func CheckExclusiveRuns(workers []worker.Record, end time.Time) []Violation {
	const rule = "one-place"
	var found []Violation
	for task, runs := range runsByTask(workers) {
		var last worker.Run // the run that ended last so far
		attempts := make(map[uint32]bool)
		for i, run := range runs {
			if run.End.IsZero() {
				run.End = end
			}
			if i > 0 && run.Start.Before(last.End) {
				detail := fmt.Sprintf("attempt %d on %s until %v, attempt %d on %s from %v",
					last.Attempt, last.VM, last.End, run.Attempt, run.VM, run.Start)
				found = append(found, Violation{rule, taskName(task), detail})
			}
			if attempts[run.Attempt] {
				found = append(found, Violation{rule, taskName(task), fmt.Sprintf("attempt %d ran twice", run.Attempt)})
			}
			attempts[run.Attempt] = true
			if i == 0 || run.End.After(last.End) {
				last = run
			}
		}
	}
	return found
}

// CheckCapacity finds VMs whose resources in use exceeded their capacity.
func CheckCapacity(workers []worker.Record) []Violation {
	var found []Violation
	for _, w := range workers {
		if !w.MaxInUse.Fits(w.Capacity) {
			found = append(found, Violation{"capacity", string(w.VM), fmt.Sprintf("%+v in use, capacity %+v", w.MaxInUse, w.Capacity)})
		}
	}
	return found
}

// CheckNoNewWork finds requests and tasks that started on a leaving endpoint or VM later
// than gracePeriod after the leaving notice.
func CheckNoNewWork(notices []LeavingNotice, endpoints []Endpoint, workers []worker.Record, gracePeriod time.Duration) []Violation {
	const rule = "leaving"
	var found []Violation
	checkStart := func(subject, work string, start, announced time.Time) {
		if after := start.Sub(announced); after > gracePeriod {
			found = append(found, Violation{rule, subject, fmt.Sprintf("%s started %v after", work, after)})
		}
	}
	for _, l := range notices {
		for _, ep := range endpoints {
			if l.Endpoint == "" || ep.Spec.ID != l.Endpoint {
				continue
			}
			for id, runs := range ep.Runs {
				for _, run := range runs {
					checkStart(string(ep.Spec.ID), id, run.Start, l.At)
				}
			}
		}
		for _, w := range workers {
			if l.Endpoint != "" || w.VM != l.VM {
				continue
			}
			for _, run := range w.Runs {
				checkStart(string(w.VM), taskName(run.Task), run.Start, l.At)
			}
		}
	}
	return found
}

// CheckJobs finds accepted jobs that have not ended, tasks that were reported as finished
// but never succeeded on a VM, jobs that ran although their submission was answered
// "not-run", and tasks that are still running.
func CheckJobs(jobs []Job, workers []worker.Record) []Violation {
	const rule = "jobs"
	byJob := make(map[api.JobID][]worker.Run)
	for task, runs := range runsByTask(workers) {
		byJob[task.Job] = append(byJob[task.Job], runs...)
	}
	var found []Violation
	for _, j := range jobs {
		for _, detail := range jobFaults(j, byJob[j.Spec.ID]) {
			found = append(found, Violation{rule, string(j.Spec.ID), detail})
		}
	}
	return found
}

// jobFaults describes how the reported outcome of a job contradicts the runs of its tasks.
func jobFaults(j Job, runs []worker.Run) []string {
	var faults []string
	if j.Submitted == api.OutcomeNotRun && len(runs) > 0 {
		faults = append(faults, fmt.Sprintf("answered as not taken, but has %d runs", len(runs)))
	}
	total := uint32(0)
	for _, state := range slices.Sorted(maps.Keys(j.Tasks)) {
		total += j.Tasks[state]
		if !isTerminal(state) {
			faults = append(faults, fmt.Sprintf("%d tasks are still %s", j.Tasks[state], state))
		}
	}
	if j.Submitted == api.OutcomeRan && total != j.Spec.Tasks {
		faults = append(faults, fmt.Sprintf("%d tasks are told of, it has %d", total, j.Spec.Tasks))
	}
	succeeded := make(map[api.TaskID]bool)
	for _, run := range runs {
		if run.State == platform.RunSucceeded {
			succeeded[run.Task] = true
		}
		if run.End.IsZero() {
			faults = append(faults, fmt.Sprintf("task %d runs on, on %s", run.Task.Index, run.VM))
		}
	}
	if finished := j.Tasks[api.TaskFinished.String()]; int(finished) > len(succeeded) {
		faults = append(faults, fmt.Sprintf("%d tasks are told as finished, %d ended well", finished, len(succeeded)))
	}
	if pending := total - j.Tasks[api.TaskFinished.String()]; j.Cancelled && pending > 0 && j.Tasks[api.TaskCancelled.String()] == 0 {
		faults = append(faults, "cancelled, but no task is told as cancelled")
	}
	return faults
}

// isTerminal reports whether a task state, given by name, is final.
func isTerminal(state string) bool {
	return slices.ContainsFunc([]api.TaskState{api.TaskFinished, api.TaskFailed, api.TaskCancelled},
		func(s api.TaskState) bool { return s.String() == state })
}

// taskName formats a task as job ID and index.
func taskName(t api.TaskID) string {
	return fmt.Sprintf("%s/%d", cmp.Or(t.Job, "?"), t.Index)
}
