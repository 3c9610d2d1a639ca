package logread

import (
	"slices"
	"strings"
	"time"
)

// Messages of the log lines that show the progress of jobs and of the cell. They must
// match what the processes write, and what earlier versions wrote.
const (
	msgJobEnded            = "job ended"
	msgRequestNotConfirmed = "request not confirmed"
	msgCutOff              = "request refused: this machine is cut off"
	msgJobRefusedPrefix    = "job refused: " // the reason follows
	msgJobGivenUp          = "job is given up: executors were lost under one of its tasks again and again"
	msgExecutorLost        = "executor is lost with its runs"
	msgLeaseExpired        = "lease is over without a report"
	msgRunMoved            = "run is moved: its executor has become slow"
	msgStepWaits           = "step waits"
	msgLeading             = "this process leads the cell"
	msgPlanningStarted     = "this process begins to plan for the cell"
	msgPlanningStopped     = "this process no longer plans for the cell"
	msgStoreUnavailable    = "store takes nothing"
	msgNoSuchJob           = "no such job"
)

// Outcome is the outcome of a job, as far as the lines show it.
type Outcome string

// Outcomes.
const (
	Completed    Outcome = "completed"
	Failed       Outcome = "failed"
	Cancelled    Outcome = "cancelled"
	Refused      Outcome = "refused"   // its newest answer states that it will never run
	Unknown      Outcome = "unknown"   // its newest answer states that it may run
	Undetermined Outcome = "open"      // the lines that name it don't show an outcome
	NotFound     Outcome = "not known" // clients got the answer that there is no such job
	NotMentioned Outcome = "not seen"  // no line names it
)

// Cause is why a job was late, refused or failed.
type Cause string

// Causes.
const (
	CauseStore           Cause = "the store took nothing"
	CauseNoLeader        Cause = "nobody planned for the cell"
	CauseAdmission       Cause = "too much waited"
	CauseLinkFull        Cause = "the leader's link was full"
	CauseCutOff          Cause = "the machine was cut off"
	CauseExecutorLost    Cause = "executors were lost with its runs"
	CauseCrashes         Cause = "a task of it crashed its executors"
	CauseMaxAttempts     Cause = "a task failed as often as its queue allows"
	CauseAdviceWait      Cause = "it waited for advice"
	CauseCapacityWait    Cause = "it waited for room"
	CauseRunTime         Cause = "its own work"
	CauseTakeover        Cause = "another leader took it over"
	CauseClientCancelled Cause = "its client cancelled it"
	CauseClientLeft      Cause = "its client left"
	CauseUnknown         Cause = "the lines don't tell"
)

// JobTrace is the history of one job, as far as the lines show it.
type JobTrace struct {
	Job string
	// Events are the lines that name the job, and those about the whole cell while the job
	// was in it. Of the lines about an unavailable store, only the first one of each machine
	// is included.
	Events        []Event
	Outcome       Outcome
	Cause         Cause
	DecisiveEvent *Event // the line that shows outcome and cause; nil: no line does
	Queue         string
	ended         bool
	// Times from the arrival of a job that has ended; -1: not reached or not logged.
	TimeToAdvice, TimeToStart, TimeToEnd time.Duration
}

// TraceJob determines the history of a job from the ordered lines.
func TraceJob(events []Event, job string) JobTrace {
	t := JobTrace{Job: job, Outcome: NotMentioned, Cause: CauseUnknown, TimeToAdvice: -1, TimeToStart: -1, TimeToEnd: -1}
	var own []Event
	for _, e := range events {
		if e.mentions(job) {
			own = append(own, e)
		}
	}
	if len(own) == 0 {
		return t
	}
	t.determineOutcome(own)
	from, to := t.span(own)
	storeUnavailable := make(map[string]bool) // machines that have logged an unavailable store
	for _, e := range events {
		relevant := e.concernsCell() && !e.Time.Before(from) && !e.Time.After(to)
		if relevant && e.Message == msgStoreUnavailable {
			relevant = !storeUnavailable[e.Node]
			storeUnavailable[e.Node] = true
		}
		if relevant || e.mentions(job) {
			t.Events = append(t.Events, e)
		}
	}
	t.determineCause()
	return t
}

// determineOutcome sets the job's outcome and queue, and the line that shows the outcome.
func (t *JobTrace) determineOutcome(own []Event) {
	t.Outcome = Undetermined
	for i := range own {
		e := &own[i]
		if queue := e.Field("queue"); queue != "" {
			t.Queue = queue
		}
		switch {
		case e.Message == msgJobEnded:
			t.recordEnd(e)
		case t.ended: // answers after the job's end don't change its outcome
		case e.Message == msgNoSuchJob && t.Outcome == Undetermined:
			t.Outcome, t.DecisiveEvent = NotFound, e
		case strings.HasPrefix(e.Message, msgJobRefusedPrefix), e.Message == msgCutOff:
			t.Outcome, t.DecisiveEvent = Refused, e
		case e.Message == msgRequestNotConfirmed:
			t.Outcome, t.DecisiveEvent = Refused, e
			if e.Field("answered") == "504" {
				t.Outcome = Unknown
			}
		}
	}
}

// recordEnd sets outcome and times from the line that reports the job's end.
func (t *JobTrace) recordEnd(e *Event) {
	switch e.Field("state") {
	case "completed":
		t.Outcome = Completed
	case "failed":
		t.Outcome = Failed
	case "cancelled":
		t.Outcome = Cancelled
	default:
		return
	}
	t.DecisiveEvent = e
	t.ended = true
	t.TimeToAdvice, t.TimeToStart, t.TimeToEnd = millisecondsField(e, "advised_ms"), millisecondsField(e, "started_ms"), millisecondsField(e, "ended_ms")
}

// millisecondsField returns the value of a field in milliseconds, or -1 if the line
// doesn't have it or it is negative.
func millisecondsField(e *Event, name string) time.Duration {
	n, ok := e.Int(name)
	if !ok || n < 0 {
		return -1
	}
	return time.Duration(n) * time.Millisecond
}

// span returns the period in which the job was in the cell.
func (t *JobTrace) span(own []Event) (from, to time.Time) {
	from, to = own[0].Time, own[len(own)-1].Time
	if t.TimeToEnd >= 0 {
		if arrival := t.DecisiveEvent.Time.Add(-t.TimeToEnd); arrival.Before(from) {
			from = arrival
		}
	}
	return from, to
}

// concernsCell reports whether a line shows that planning started or stopped, or that the
// store was unavailable.
func (l *Line) concernsCell() bool {
	switch l.Message {
	case msgLeading, msgPlanningStarted, msgPlanningStopped, msgStoreUnavailable:
		return true
	default:
		return false
	}
}

// determineCause sets the cause of the outcome and, if another line shows it, that line.
func (t *JobTrace) determineCause() {
	switch t.Outcome {
	case Refused, Unknown:
		t.Cause = refusalCause(t.DecisiveEvent)
	case Cancelled:
		t.Cause = CauseClientCancelled
	case Failed:
		t.Cause = CauseMaxAttempts
		if e := t.findEvent(msgJobGivenUp); e != nil {
			t.Cause, t.DecisiveEvent = CauseCrashes, e
		}
	case Completed:
		t.Cause, t.DecisiveEvent = t.longestPhase()
	}
}

// refusalCause returns why a request was not answered with a 2xx status.
func refusalCause(e *Event) Cause {
	reason := e.Field("error") + e.Message
	switch {
	case e.Message == msgCutOff:
		return CauseCutOff
	case strings.Contains(reason, "context canceled"):
		return CauseClientLeft
	case strings.Contains(reason, "link is full"):
		return CauseLinkFull
	case strings.HasPrefix(e.Message, msgJobRefusedPrefix), strings.Contains(reason, "too much waits"), strings.Contains(reason, "too late to be of use"):
		return CauseAdmission
	case strings.Contains(reason, "store"), strings.Contains(reason, "append"), strings.Contains(reason, "deadline exceeded"):
		return CauseStore
	default:
		return CauseUnknown
	}
}

// longestPhase returns what took most of a completed job's time, and the line that shows
// it. A lost executor takes precedence over the durations.
func (t *JobTrace) longestPhase() (Cause, *Event) {
	for _, message := range []string{msgExecutorLost, msgLeaseExpired} {
		if e := t.findEvent(message); e != nil {
			return CauseExecutorLost, e
		}
	}
	if t.TimeToAdvice < 0 || t.TimeToStart < 0 { // the leader that saw the end didn't see advice or start
		if e := t.lastPlanningStart(); e != nil {
			return CauseTakeover, e
		}
		return CauseUnknown, t.DecisiveEvent
	}
	adviceWait, capacityWait, runTime := t.TimeToAdvice, t.TimeToStart-t.TimeToAdvice, t.TimeToEnd-t.TimeToStart
	if e := t.planningRestart(); e != nil && adviceWait+capacityWait > runTime/2 {
		return CauseNoLeader, e
	}
	switch max(adviceWait, capacityWait, runTime) {
	case runTime:
		return CauseRunTime, t.DecisiveEvent
	case adviceWait:
		return CauseAdviceWait, t.DecisiveEvent
	default:
		return CauseCapacityWait, t.DecisiveEvent
	}
}

// planningRestart returns the first line with which a leader began to plan before the job
// started, or nil.
func (t *JobTrace) planningRestart() *Event {
	startTime := t.DecisiveEvent.Time.Add(t.TimeToStart - t.TimeToEnd)
	i := slices.IndexFunc(t.Events, func(e Event) bool { return e.Message == msgPlanningStarted && !e.Time.After(startTime) })
	if i < 0 {
		return nil
	}
	return &t.Events[i]
}

// lastPlanningStart returns the last line with which a leader began to plan, or nil.
func (t *JobTrace) lastPlanningStart() *Event {
	for i := len(t.Events) - 1; i >= 0; i-- {
		if t.Events[i].Message == msgPlanningStarted {
			return &t.Events[i]
		}
	}
	return nil
}

// findEvent returns the first line with the given message that names the job, or nil.
func (t *JobTrace) findEvent(message string) *Event {
	for i := range t.Events {
		if e := &t.Events[i]; e.Message == message && e.mentions(t.Job) {
			return e
		}
	}
	return nil
}
