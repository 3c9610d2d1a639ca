package work

import "github.com/cockroachdb/errors"

// maxPlannableTasks bounds the tasks of a step in a record. Builds with other limits of
// submissions may have accepted more than MaxTasks.
const maxPlannableTasks = 1 << 20

// CheckPlannable fails unless a leader can plan the job from its record and that of its
// progress, which is nil if nothing of it has started. Records are decoded one by one, so
// that they fit together is not known before.
func (j *Job) CheckPlannable(p *Progress) error {
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return errors.Newf("work: job has %d steps", len(j.Steps))
	}
	for i := range j.Steps {
		s := &j.Steps[i]
		if s.TaskCount < 1 || s.TaskCount > maxPlannableTasks {
			return errors.Newf("work: step %d has %d tasks", i, s.TaskCount)
		}
		for _, before := range s.DependsOn {
			if before < 0 || before >= i {
				return errors.Newf("work: step %d depends on step %d", i, before)
			}
		}
	}
	if p == nil {
		return nil
	}
	return p.checkFor(j)
}

// checkFor fails unless the progress can be that of the job.
func (p *Progress) checkFor(j *Job) error {
	if p.State > Cancelled {
		return errors.Newf("work: progress has state %d", p.State)
	}
	for _, number := range append([]int{p.FinishedBelow}, p.FinishedOutOfOrder...) {
		if number < 0 || number > j.Occurrences() {
			return errors.Newf("work: occurrence %d of %d has ended", number, j.Occurrences())
		}
	}
	for i := range p.Occurrences {
		o := &p.Occurrences[i]
		if o.Number < 0 || o.Number >= j.Occurrences() || len(o.Steps) > len(j.Steps) {
			return errors.Newf("work: progress has %d of %d steps of occurrence %d of %d", len(o.Steps), len(j.Steps), o.Number, j.Occurrences())
		}
		for k, tasks := range o.Steps {
			if len(tasks) > j.Steps[k].TaskCount {
				return errors.Newf("work: progress has %d of %d tasks of step %d", len(tasks), j.Steps[k].TaskCount, k)
			}
			for index, t := range tasks {
				if t.Phase > Done || t.Phase == Started && (t.ExecutorIndex < 0 || t.ExecutorIndex >= len(p.Executors)) {
					return errors.Newf("work: task %d of step %d is in phase %d on executor %d of %d", index, k, t.Phase, t.ExecutorIndex, len(p.Executors))
				}
			}
		}
	}
	return nil
}
