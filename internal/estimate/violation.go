package estimate

import (
	"fmt"
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// Action is what to do about a task, in increasing severity.
type Action int

// Actions. A checkpoint stops the task so that it resumes on another VM; a stop
// loses its work.
const (
	ActionNone Action = iota
	ActionThrottle
	ActionCheckpoint
	ActionStop
)

var actionNames = [...]string{"none", "throttle", "checkpoint", "stop"}

// String returns the action's name as reported to operators.
func (a Action) String() string {
	if a < 0 || int(a) >= len(actionNames) {
		return "invalid"
	}
	return actionNames[a]
}

// Decision is an action and the reason for it.
type Decision struct {
	Action Action
	Reason api.Reason // ReasonOveruse or ReasonOverrun; empty with ActionNone
	Detail string
}

// violation records the last action taken against a task.
type violation struct {
	action     Action
	reason     api.Reason
	measuredAt time.Time // time of the measurement that led to the action
}

// nextAction returns the next action against a task. It starts with the mildest
// action that can help and escalates with each report that still shows the
// violation and was measured more than GracePeriod after the last action.
func (e *Estimator) nextAction(spec api.JobSpec, r Report) Decision {
	first, reason, detail := e.detectViolation(spec, r)
	if reason == "" {
		delete(e.violations, r.Task)
		return Decision{}
	}
	last, known := e.violations[r.Task]
	if known && last.reason == reason && r.MeasuredAt.Sub(last.measuredAt) <= e.cfg.GracePeriod {
		return Decision{}
	}
	action := first
	if known && last.reason == reason {
		action = max(action, last.action+1)
	}
	action = min(action, ActionStop)
	if action == ActionCheckpoint && !spec.Checkpointable {
		action = ActionStop
	}
	e.violations[r.Task] = violation{action: action, reason: reason, measuredAt: r.MeasuredAt}
	return Decision{Action: action, Reason: reason, Detail: detail}
}

// detectViolation returns the violation that a report shows, if any, and the
// mildest action that can help: throttling reduces processor usage, but neither
// memory usage nor run time.
func (e *Estimator) detectViolation(spec api.JobSpec, r Report) (Action, api.Reason, string) {
	limit := e.cfg.Policy.OveruseFactor
	if exceeds(r.Usage.MemoryMB, spec.Resources.MemoryMB, limit) {
		return ActionCheckpoint, api.ReasonOveruse, fmt.Sprintf(
			"uses %d MB, declared %d", r.Usage.MemoryMB, spec.Resources.MemoryMB)
	}
	if exceeds(r.Usage.MilliCPU, spec.Resources.MilliCPU, limit) {
		return ActionThrottle, api.ReasonOveruse, fmt.Sprintf(
			"uses %d thousandths of a processor, declared %d", r.Usage.MilliCPU, spec.Resources.MilliCPU)
	}
	ran := r.MeasuredAt.Sub(r.StartedAt)
	expected := max(spec.RunTime, e.Estimate(spec).RunTime)
	if exceeds(int64(ran), int64(expected), e.cfg.Policy.OverrunFactor) {
		return ActionCheckpoint, api.ReasonOverrun, fmt.Sprintf("runs for %v, expected %v", ran, expected)
	}
	return ActionNone, "", ""
}

// exceeds reports whether amount is more than factor times the declared amount. It
// returns false if nothing was declared.
func exceeds(amount, declared int64, factor float64) bool {
	return declared > 0 && float64(amount) > factor*float64(declared)
}
