package estimate

import (
	"fmt"
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// Action is what to do about a task, from mild to stern.
type Action int

// Actions. A checkpoint stops the task and lets it go on elsewhere; a stop
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

// Decision is an action with its reason.
type Decision struct {
	Action Action
	Reason api.Reason // ReasonOveruse or ReasonOverrun; empty with ActionNone
	Detail string
}

// offence is what was last done about a task.
type offence struct {
	action Action
	reason api.Reason
	acted  time.Time // measurement that it was decided on
}

// judge returns the next action against a task: the mildest that can help,
// then a sterner one with each report, measured more than the grace after
// the last action, that still shows the offence.
func (e *Estimator) judge(spec api.JobSpec, r Report) Decision {
	first, reason, detail := e.offenceOf(spec, r)
	if reason == "" {
		delete(e.offences, r.Task)
		return Decision{}
	}
	last, known := e.offences[r.Task]
	if known && last.reason == reason && r.MeasuredAt.Sub(last.acted) <= e.cfg.GracePeriod {
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
	e.offences[r.Task] = offence{action: action, reason: reason, acted: r.MeasuredAt}
	return Decision{Action: action, Reason: reason, Detail: detail}
}

// offenceOf returns the offence a report shows, if any, and the mildest
// action that can help: throttling takes processors back, but neither memory
// nor time.
func (e *Estimator) offenceOf(spec api.JobSpec, r Report) (Action, api.Reason, string) {
	limit := e.cfg.Policy.OveruseFactor
	if over(r.Usage.MemoryMB, spec.Resources.MemoryMB, limit) {
		return ActionCheckpoint, api.ReasonOveruse, fmt.Sprintf(
			"uses %d MB, declared %d", r.Usage.MemoryMB, spec.Resources.MemoryMB)
	}
	if over(r.Usage.MilliCPU, spec.Resources.MilliCPU, limit) {
		return ActionThrottle, api.ReasonOveruse, fmt.Sprintf(
			"uses %d thousandths of a processor, declared %d", r.Usage.MilliCPU, spec.Resources.MilliCPU)
	}
	ran := r.MeasuredAt.Sub(r.StartedAt)
	expected := max(spec.RunTime, e.Estimate(spec).RunTime)
	if over(int64(ran), int64(expected), e.cfg.Policy.OverrunFactor) {
		return ActionCheckpoint, api.ReasonOverrun, fmt.Sprintf("runs for %v, expected %v", ran, expected)
	}
	return ActionNone, "", ""
}

// over reports whether amount exceeds what was declared by the factor;
// nothing exceeds what was not declared.
func over(amount, declared int64, factor float64) bool {
	return declared > 0 && float64(amount) > factor*float64(declared)
}
