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

// runsByTask groups the attempts on all VMs by task, in order of their start.
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

// CheckExclusiveRuns finds tasks of which two attempts ran at the same time, and
// attempts that ran twice. An attempt without an end ran until end.
func CheckExclusiveRuns(workers []worker.Record, end time.Time) []Violation {
	const rule = "one-place"
	var found []Violation
	for task, runs := range runsByTask(workers) {
		var last worker.Run // of those so far, the one that ended last
		attempts := make(map[uint32]bool)
		for i, run := range runs {
			if run.End.IsZero() {
				run.End = end
			}
			if i > 0 && run.Start.Before(last.End) {
				detail := fmt.Sprintf("attempt %d on %s until %v, attempt %d on %s from %v",
					last.Attempt, last.VM, last.End, run.Attempt, run.VM, run.Start)
				found = append(found, Violation{rule, name(task), detail})
			}
			if attempts[run.Attempt] {
				found = append(found, Violation{rule, name(task), fmt.Sprintf("attempt %d ran twice", run.Attempt)})
			}
			attempts[run.Attempt] = true
			if i == 0 || run.End.After(last.End) {
				last = run
			}
		}
	}
	return found
}

// CheckCapacity finds VMs that were given more than they hold.
func CheckCapacity(workers []worker.Record) []Violation {
	var found []Violation
	for _, w := range workers {
		if !w.MaxInUse.Fits(w.Capacity) {
			found = append(found, Violation{"capacity", string(w.VM), fmt.Sprintf("%+v in use, capacity %+v", w.MaxInUse, w.Capacity)})
		}
	}
	return found
}

// CheckNoNewWork finds work that was started on an endpoint or VM later than
// within after it was announced to be leaving.
func CheckNoNewWork(leavings []LeavingNotice, endpoints []Endpoint, workers []worker.Record, within time.Duration) []Violation {
	const rule = "leaving"
	var found []Violation
	late := func(subject, work string, start, announced time.Time) {
		if after := start.Sub(announced); after > within {
			found = append(found, Violation{rule, subject, fmt.Sprintf("%s started %v after", work, after)})
		}
	}
	for _, l := range leavings {
		for _, ep := range endpoints {
			if l.Endpoint == "" || ep.Spec.ID != l.Endpoint {
				continue
			}
			for id, runs := range ep.Runs {
				for _, run := range runs {
					late(string(ep.Spec.ID), id, run.Start, l.At)
				}
			}
		}
		for _, w := range workers {
			if l.Endpoint != "" || w.VM != l.VM {
				continue
			}
			for _, run := range w.Runs {
				late(string(w.VM), name(run.Task), run.Start, l.At)
			}
		}
	}
	return found
}

// CheckJobs finds accepted jobs that did not come to their end, tasks
// reported as finished that never ended well on a VM, jobs that ran although
// they were answered as not taken, and tasks of cancelled jobs that run on.
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

func jobFaults(j Job, runs []worker.Run) []string {
	var faults []string
	if j.Submitted == api.OutcomeNotRun && len(runs) > 0 {
		faults = append(faults, fmt.Sprintf("answered as not taken, but has %d runs", len(runs)))
	}
	total := uint32(0)
	for _, state := range slices.Sorted(maps.Keys(j.Tasks)) {
		total += j.Tasks[state]
		if !terminal(state) {
			faults = append(faults, fmt.Sprintf("%d tasks are still %s", j.Tasks[state], state))
		}
	}
	if j.Submitted == api.OutcomeRan && total != j.Spec.Tasks {
		faults = append(faults, fmt.Sprintf("%d tasks are told of, it has %d", total, j.Spec.Tasks))
	}
	well := make(map[api.TaskID]bool)
	for _, run := range runs {
		if run.State == platform.RunSucceeded {
			well[run.Task] = true
		}
		if run.End.IsZero() {
			faults = append(faults, fmt.Sprintf("task %d runs on, on %s", run.Task.Index, run.VM))
		}
	}
	if finished := j.Tasks[api.TaskFinished.String()]; int(finished) > len(well) {
		faults = append(faults, fmt.Sprintf("%d tasks are told as finished, %d ended well", finished, len(well)))
	}
	if pending := total - j.Tasks[api.TaskFinished.String()]; j.Cancelled && pending > 0 && j.Tasks[api.TaskCancelled.String()] == 0 {
		faults = append(faults, "cancelled, but no task is told as cancelled")
	}
	return faults
}

// terminal reports whether a task in the named state never changes again.
func terminal(state string) bool {
	return slices.ContainsFunc([]api.TaskState{api.TaskFinished, api.TaskFailed, api.TaskCancelled},
		func(s api.TaskState) bool { return s.String() == state })
}

func name(t api.TaskID) string {
	return fmt.Sprintf("%s/%d", cmp.Or(t.Job, "?"), t.Index)
}
