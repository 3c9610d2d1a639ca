package work

import (
	"fmt"
	"time"

	"github.com/skylarklock/skylarklock/internal/finding"
)

// Limits of a submission. MaxSpecificationBytes is the platform's limit. The
// others keep a single job from filling a machine's memory and are far above
// what users submit (at most 60 tasks in a step, 4 steps).
const (
	MaxSpecificationBytes = 4000 // bytes
	MaxSteps              = 100
	MaxTasks              = 5_000 // in all steps of a job; their progress must fit into one record of the store
	MaxRepetitions        = 1_000_000
)

// Limits of the numbers of a submission. Within them no sum or product that planning forms overflows.
const (
	MaxEstimate   = 30 * 24 * time.Hour
	MaxInterval   = 10 * 365 * 24 * time.Hour
	MaxFirstRunMs = 1 << 50 // milliseconds since 1970
	MaxResources  = 1 << 40 // of a task, of each kind and in its unit
)

// Validate adds a finding for every invalid field of a submission.
func (j *Job) Validate(l *finding.List) {
	l.Check(len(j.Specification) <= MaxSpecificationBytes, "specification", len(j.Specification), fmt.Sprintf("at most %d bytes", MaxSpecificationBytes))
	l.Check(len(j.Steps) > 0 && len(j.Steps) <= MaxSteps, "steps", len(j.Steps), fmt.Sprintf("1 to %d", MaxSteps))
	l.Check(j.Repetitions >= 0 && j.Repetitions <= MaxRepetitions, "repetitions", j.Repetitions, fmt.Sprintf("0 to %d", MaxRepetitions))
	l.Check(j.Interval >= 0 && j.Interval <= MaxInterval, "interval", j.Interval, fmt.Sprintf("0 to %v", MaxInterval))
	l.Check(j.FirstRunMs >= 0 && j.FirstRunMs <= MaxFirstRunMs, "first_run", j.FirstRunMs, fmt.Sprintf("0 to %d", int64(MaxFirstRunMs)))
	tasks := 0
	for i := range j.Steps {
		j.Steps[i].validate(l, i)
		tasks += min(max(0, j.Steps[i].TaskCount), MaxTasks+1) // which is too many; the sum doesn't overflow
	}
	l.Check(tasks <= MaxTasks, "steps", tasks, fmt.Sprintf("at most %d tasks", MaxTasks))
}

// validate adds a finding for every invalid field of step i. A step may only
// depend on earlier steps, which rules out cycles.
func (s *Step) validate(l *finding.List, i int) {
	place := fmt.Sprintf("steps[%d].", i)
	l.Check(s.TaskCount > 0, place+"count", s.TaskCount, "1 or more")
	for _, r := range []struct {
		name   string
		amount int64
	}{{"cpu", s.TaskResources.MilliCPU}, {"memory", s.TaskResources.MemoryMB}, {"accelerators", s.TaskResources.Accelerators}} {
		l.Check(r.amount >= 0 && r.amount <= MaxResources, place+r.name, r.amount, fmt.Sprintf("0 to %d", int64(MaxResources)))
	}
	l.Check(s.Estimate >= 0 && s.Estimate <= MaxEstimate, place+"estimate", s.Estimate, fmt.Sprintf("0 to %v", MaxEstimate))
	l.Check(s.MaxPerVM >= 0, place+"max_per_vm", s.MaxPerVM, "0 or more")
	l.Check(s.MaxUnavailable >= 0, place+"may_miss", s.MaxUnavailable, "0 or more")
	for _, before := range s.DependsOn {
		l.Check(before >= 0 && before < i, place+"after", before, "the number of an earlier step")
	}
}
