// Package blame tells whether failed runs are the fault of a step or of an executor. A step whose tasks have
// failed on several executors and never ended as done is at fault itself, and its failures are held against no
// executor. An executor on which tasks of several other jobs fail in a row is at fault.
package blame

// minExecutors is on how many executors tasks of a step must have failed for the step to be at fault.
const minExecutors = 2

// Step is what is known of the failures of a step's tasks. E identifies an executor. The zero value knows of
// none.
type Step[E comparable] struct {
	failedOn map[E]struct{} // executors on which a task has failed since tasks of the step were last well
	proven   bool           // a task has ended as done; the others are like it
}

// AddFailure records that a task has failed on an executor.
func (s *Step[E]) AddFailure(executor E) {
	if s.failedOn == nil {
		s.failedOn = make(map[E]struct{})
	}
	s.failedOn[executor] = struct{}{}
}

// AddSuccess records that a task has ended as done.
func (s *Step[E]) AddSuccess() {
	s.proven = true
	s.failedOn = nil
}

// ForgetFailures records that a task which runs until it is stopped has been well for long.
func (s *Step[E]) ForgetFailures() { s.failedOn = nil }

// AtFault reports whether the step's tasks fail wherever they start.
func (s *Step[E]) AtFault() bool { return !s.proven && len(s.failedOn) >= minExecutors }

// Executor holds the failures on an executor since a task last ended there as done. J identifies a job. The
// zero value has none.
type Executor[J, E comparable] struct {
	failed map[J]*Step[E]
}

// AddFailure records that a task of a job's step has failed.
func (x *Executor[J, E]) AddFailure(job J, step *Step[E]) {
	if x.failed == nil {
		x.failed = make(map[J]*Step[E])
	}
	x.failed[job] = step
}

// Clear forgets all failures.
func (x *Executor[J, E]) Clear() { clear(x.failed) }

// IsEmpty reports whether there are no failures, whoever is at fault.
func (x *Executor[J, E]) IsEmpty() bool { return len(x.failed) == 0 }

// Streak returns the number of jobs of which a task has failed in a row, without those whose steps are at
// fault themselves.
func (x *Executor[J, E]) Streak() int {
	n := 0
	for _, s := range x.failed {
		if !s.AtFault() {
			n++
		}
	}
	return n
}
