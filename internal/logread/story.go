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
	Completed Outcome = "completed"
	Failed    Outcome = "failed"
	Cancelled Outcome = "cancelled"
	Refused   Outcome = "refused"   // its newest answer says that it never runs
	Unknown   Outcome = "unknown"   // its newest answer says that it may run
	Open      Outcome = "open"      // there are lines about it, none of which tells
	NotKnown  Outcome = "not known" // clients were told that there is no such job
	NotSeen   Outcome = "not seen"  // no line names it
)

// Cause is why a job was late or got nothing.
type Cause string

// Causes.
const (
	CauseStore     Cause = "the store took nothing"
	CauseLeader    Cause = "nobody planned for the cell"
	CauseAdmission Cause = "too much waited"
	CauseLink      Cause = "the leader's link was full"
	CauseCut       Cause = "the machine was cut off"
	CauseLost      Cause = "executors were lost with its runs"
	CauseCrashes   Cause = "a task of it crashed its executors"
	CauseAttempts  Cause = "a task failed as often as its queue allows"
	CauseAdvice    Cause = "it waited for advice"
	CauseRoom      Cause = "it waited for room"
	CauseWork      Cause = "its own work"
	CauseTakeover  Cause = "another leader took it over"
	CauseClient    Cause = "its client cancelled it"
	CauseLeft      Cause = "its client left"
	CauseUntold    Cause = "the lines don't tell"
)

// Story is what the lines tell of one job.
type Story struct {
	Job     string
	Events  []Event // that name it, or that concern the whole cell meanwhile; of a store that takes nothing the first of each machine
	Outcome Outcome
	Cause   Cause
	Decided *Event // the line that says so; nil: none does
	Queue   string
	// Of a job that has ended, from its arrival; -1: not reached, or not told.
	Advised, Started, Ended time.Duration
}

// Tell tells the story of a job from the lines in their order.
func Tell(events []Event, job string) Story {
	s := Story{Job: job, Outcome: NotSeen, Cause: CauseUntold, Advised: -1, Started: -1, Ended: -1}
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
func (s *Story) judge(own []Event) {
	s.Outcome = Open
	for i := range own {
		e := &own[i]
		if queue := e.Field("queue"); queue != "" {
			s.Queue = queue
		}
		switch {
		case e.Message == msgEnded:
			s.ended(e)
		case s.Ended >= 0: // what clients are told later changes nothing
		case e.Message == msgNoSuchJob && s.Outcome == Open:
			s.Outcome, s.Decided = NotKnown, e
		case strings.HasPrefix(e.Message, msgRefused), e.Message == msgCutOff:
			s.Outcome, s.Decided = Refused, e
		case e.Message == msgNotConfirmed:
			s.Outcome, s.Decided = Refused, e
			if e.Field("answered") == "504" {
				s.Outcome = Unknown
			}
		}
	}
}

func (s *Story) ended(e *Event) {
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
	s.Decided = e
	s.Advised, s.Started, s.Ended = milliseconds(e, "advised_ms"), milliseconds(e, "started_ms"), milliseconds(e, "ended_ms")
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
func (s *Story) span(own []Event) (from, to time.Time) {
	from, to = own[0].Time, own[len(own)-1].Time
	if s.Ended >= 0 {
		if arrived := s.Decided.Time.Add(-s.Ended); arrived.Before(from) {
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
func (s *Story) explain() {
	switch s.Outcome {
	case Refused, Unknown:
		s.Cause = refusalCause(s.Decided)
	case Cancelled:
		s.Cause = CauseClient
	case Failed:
		s.Cause = CauseAttempts
		if e := s.find(msgGivenUp); e != nil {
			s.Cause, s.Decided = CauseCrashes, e
		}
	case Completed:
		s.Cause, s.Decided = s.slowest()
	}
}

// refusalCause returns why a request got no 2xx.
func refusalCause(e *Event) Cause {
	reason := e.Field("error") + e.Message
	switch {
	case e.Message == msgCutOff:
		return CauseCut
	case strings.Contains(reason, "context canceled"):
		return CauseLeft
	case strings.Contains(reason, "link is full"):
		return CauseLink
	case strings.HasPrefix(e.Message, msgRefused), strings.Contains(reason, "too much waits"), strings.Contains(reason, "too late to be of use"):
		return CauseAdmission
	case strings.Contains(reason, "store"), strings.Contains(reason, "append"), strings.Contains(reason, "deadline exceeded"):
		return CauseStore
	default:
		return CauseUntold
	}
}

// slowest returns what took most of a completed job's time, and the line that shows it.
func (s *Story) slowest() (Cause, *Event) {
	for _, lost := range []string{msgLost, msgLapsed} {
		if e := s.find(lost); e != nil {
			return CauseLost, e
		}
	}
	if s.Advised < 0 || s.Started < 0 { // this leader saw neither
		if e := s.lastPlans(); e != nil {
			return CauseTakeover, e
		}
		return CauseUntold, s.Decided
	}
	waits, room, work := s.Advised, s.Started-s.Advised, s.Ended-s.Started
	if e := s.gap(); e != nil && waits+room > work/2 {
		return CauseLeader, e
	}
	switch max(waits, room, work) {
	case work:
		return CauseWork, s.Decided
	case waits:
		return CauseAdvice, s.Decided
	default:
		return CauseRoom, s.Decided
	}
}

// gap returns the line with which planning began anew while the job waited, if any.
func (s *Story) gap() *Event {
	started := s.Decided.Time.Add(s.Started - s.Ended)
	i := slices.IndexFunc(s.Events, func(e Event) bool { return e.Message == msgPlans && !e.Time.After(started) })
	if i < 0 {
		return nil
	}
	return &s.Events[i]
}

// lastPlans returns the newest line with which a leader began to plan, if any.
func (s *Story) lastPlans() *Event {
	for i := len(s.Events) - 1; i >= 0; i-- {
		if s.Events[i].Message == msgPlans {
			return &s.Events[i]
		}
	}
	return nil
}

// find returns the first of the story's lines about the job with a message.
func (s *Story) find(message string) *Event {
	for i := range s.Events {
		if e := &s.Events[i]; e.Message == message && e.mentions(s.Job) {
			return e
		}
	}
	return nil
}
