package logread

import (
	"slices"
	"strings"
	"time"
)

// Messages that tell what becomes of jobs and of the cell.
const (
	msgEnded        = "job ended"
	msgNotConfirmed = "request not confirmed"
	msgCutOff       = "request refused: this machine is cut off"
	msgRefused      = "job refused: " // what follows is the reason
	msgGivenUp      = "job is given up: executors were lost under one of its tasks again and again"
	msgLost         = "executor is lost with its runs"
	msgLapsed       = "lease is over without a report"
	msgMoved        = "run is moved: its executor has become slow"
	msgWaits        = "step waits"
	msgLeads        = "this process leads the cell"
	msgPlans        = "this process begins to plan for the cell"
	msgNoLonger     = "this process no longer plans for the cell"
	msgStoreDown    = "store takes nothing"
	msgNoSuchJob    = "no such job"
)

// Outcome is what became of a job, as far as the lines tell.
type Outcome string

// Outcomes.
const (
	Completed    Outcome = "completed"
	Failed       Outcome = "failed"
	Cancelled    Outcome = "cancelled"
	Refused      Outcome = "refused"   // its newest answer says that it never runs
	Unknown      Outcome = "unknown"   // its newest answer says that it may run
	Undetermined Outcome = "open"      // there are lines about it, none of which tells
	NotFound     Outcome = "not known" // clients were told that there is no such job
	NotMentioned Outcome = "not seen"  // no line names it
)

// Cause is why a job was late or got nothing.
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

// JobTrace is what the lines tell of one job.
type JobTrace struct {
	Job           string
	Events        []Event // that name it, or that concern the whole cell meanwhile; of a store that takes nothing the first of each machine
	Outcome       Outcome
	Cause         Cause
	DecisiveEvent *Event // the line that says so; nil: none does
	Queue         string
	// Of a job that has ended, from its arrival; -1: not reached, or not told.
	TimeToAdvice, TimeToStart, TimeToEnd time.Duration
}

// TraceJob tells the story of a job from the lines in their order.
func TraceJob(events []Event, job string) JobTrace {
	s := JobTrace{Job: job, Outcome: NotMentioned, Cause: CauseUnknown, TimeToAdvice: -1, TimeToStart: -1, TimeToEnd: -1}
	var own []Event
	for _, e := range events {
		if e.mentions(job) {
			own = append(own, e)
		}
	}
	if len(own) == 0 {
		return s
	}
	s.judge(own)
	from, to := s.span(own)
	told := make(map[string]bool) // machines that the store took nothing from
	for _, e := range events {
		concerns := e.concernsCell() && !e.Time.Before(from) && !e.Time.After(to)
		if concerns && e.Message == msgStoreDown {
			concerns = !told[e.Node]
			told[e.Node] = true
		}
		if concerns || e.mentions(job) {
			s.Events = append(s.Events, e)
		}
	}
	s.explain()
	return s
}

// judge finds the line that decided the job's outcome.
func (s *JobTrace) judge(own []Event) {
	s.Outcome = Undetermined
	for i := range own {
		e := &own[i]
		if queue := e.Field("queue"); queue != "" {
			s.Queue = queue
		}
		switch {
		case e.Message == msgEnded:
			s.ended(e)
		case s.TimeToEnd >= 0: // what clients are told later changes nothing
		case e.Message == msgNoSuchJob && s.Outcome == Undetermined:
			s.Outcome, s.DecisiveEvent = NotFound, e
		case strings.HasPrefix(e.Message, msgRefused), e.Message == msgCutOff:
			s.Outcome, s.DecisiveEvent = Refused, e
		case e.Message == msgNotConfirmed:
			s.Outcome, s.DecisiveEvent = Refused, e
			if e.Field("answered") == "504" {
				s.Outcome = Unknown
			}
		}
	}
}

func (s *JobTrace) ended(e *Event) {
	switch e.Field("state") {
	case "completed":
		s.Outcome = Completed
	case "failed":
		s.Outcome = Failed
	case "cancelled":
		s.Outcome = Cancelled
	default:
		return
	}
	s.DecisiveEvent = e
	s.TimeToAdvice, s.TimeToStart, s.TimeToEnd = milliseconds(e, "advised_ms"), milliseconds(e, "started_ms"), milliseconds(e, "ended_ms")
}

// milliseconds returns the value of a field; -1 if it has none.
func milliseconds(e *Event, name string) time.Duration {
	n, ok := e.Int(name)
	if !ok || n < 0 {
		return -1
	}
	return time.Duration(n) * time.Millisecond
}

// span returns from when to when the job was in the cell.
func (s *JobTrace) span(own []Event) (from, to time.Time) {
	from, to = own[0].Time, own[len(own)-1].Time
	if s.TimeToEnd >= 0 {
		if arrived := s.DecisiveEvent.Time.Add(-s.TimeToEnd); arrived.Before(from) {
			from = arrived
		}
	}
	return from, to
}

// concernsCell reports whether a line says whether anything could be planned or stored.
func (l *Line) concernsCell() bool {
	switch l.Message {
	case msgLeads, msgPlans, msgNoLonger, msgStoreDown:
		return true
	default:
		return false
	}
}

// explain finds the cause of the outcome.
func (s *JobTrace) explain() {
	switch s.Outcome {
	case Refused, Unknown:
		s.Cause = refusalCause(s.DecisiveEvent)
	case Cancelled:
		s.Cause = CauseClientCancelled
	case Failed:
		s.Cause = CauseMaxAttempts
		if e := s.find(msgGivenUp); e != nil {
			s.Cause, s.DecisiveEvent = CauseCrashes, e
		}
	case Completed:
		s.Cause, s.DecisiveEvent = s.slowest()
	}
}

// refusalCause returns why a request got no 2xx.
func refusalCause(e *Event) Cause {
	reason := e.Field("error") + e.Message
	switch {
	case e.Message == msgCutOff:
		return CauseCutOff
	case strings.Contains(reason, "context canceled"):
		return CauseClientLeft
	case strings.Contains(reason, "link is full"):
		return CauseLinkFull
	case strings.HasPrefix(e.Message, msgRefused), strings.Contains(reason, "too much waits"), strings.Contains(reason, "too late to be of use"):
		return CauseAdmission
	case strings.Contains(reason, "store"), strings.Contains(reason, "append"), strings.Contains(reason, "deadline exceeded"):
		return CauseStore
	default:
		return CauseUnknown
	}
}

// slowest returns what took most of a completed job's time, and the line that shows it.
func (s *JobTrace) slowest() (Cause, *Event) {
	for _, lost := range []string{msgLost, msgLapsed} {
		if e := s.find(lost); e != nil {
			return CauseExecutorLost, e
		}
	}
	if s.TimeToAdvice < 0 || s.TimeToStart < 0 { // this leader saw neither
		if e := s.lastPlans(); e != nil {
			return CauseTakeover, e
		}
		return CauseUnknown, s.DecisiveEvent
	}
	waits, room, work := s.TimeToAdvice, s.TimeToStart-s.TimeToAdvice, s.TimeToEnd-s.TimeToStart
	if e := s.gap(); e != nil && waits+room > work/2 {
		return CauseNoLeader, e
	}
	switch max(waits, room, work) {
	case work:
		return CauseRunTime, s.DecisiveEvent
	case waits:
		return CauseAdviceWait, s.DecisiveEvent
	default:
		return CauseCapacityWait, s.DecisiveEvent
	}
}

// gap returns the line with which planning began anew while the job waited, if any.
func (s *JobTrace) gap() *Event {
	started := s.DecisiveEvent.Time.Add(s.TimeToStart - s.TimeToEnd)
	i := slices.IndexFunc(s.Events, func(e Event) bool { return e.Message == msgPlans && !e.Time.After(started) })
	if i < 0 {
		return nil
	}
	return &s.Events[i]
}

// lastPlans returns the newest line with which a leader began to plan, if any.
func (s *JobTrace) lastPlans() *Event {
	for i := len(s.Events) - 1; i >= 0; i-- {
		if s.Events[i].Message == msgPlans {
			return &s.Events[i]
		}
	}
	return nil
}

// find returns the first of the story's lines about the job with a message.
func (s *JobTrace) find(message string) *Event {
	for i := range s.Events {
		if e := &s.Events[i]; e.Message == message && e.mentions(s.Job) {
			return e
		}
	}
	return nil
}
