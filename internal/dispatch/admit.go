package dispatch

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/internal/admission"
	"github.com/skylarklock/skylarklock/internal/assist"
	"github.com/skylarklock/skylarklock/internal/plan"
	"github.com/skylarklock/skylarklock/internal/queue"
	"github.com/skylarklock/skylarklock/internal/work"
)

// backlogs is the work that waits, all of it and what competes for the executors.
type backlogs struct {
	all, shared plan.Backlog
	at          time.Time
}

// backlogValidity is how long the work that waits counts as unchanged with Overload. In a burst hundreds of
// submissions arrive in a second, and listing what waits takes the longer the more does. What was accepted
// in the meantime is booked in the forecast.
const backlogValidity = 20 * time.Millisecond

// currentBacklogs returns the work that waits. The caller holds r.mu.
func (r *Runner) currentBacklogs(now time.Time) backlogs {
	if !r.cfg.Plan.Overload || r.backlogs.at.IsZero() || now.Sub(r.backlogs.at) >= backlogValidity {
		all := r.cell.Backlog(now)
		r.backlogs = backlogs{all: all, shared: all.Shared(), at: now}
	}
	return r.backlogs
}

// linkFullRetryAfter is the delay after which a client that was refused because of a full link
// should retry: the link's load is measured over about the last second.
const linkFullRetryAfter = time.Second

// admitRecord adds the job of a record to the cell, unless admission refuses it. Records of
// other kinds are only to be stored, and those that are stored already need no append. The caller
// holds r.mu.
func (r *Runner) admitRecord(s *submission, i int, backlog backlogs, now time.Time) {
	kind, id, err := work.ParseKey(s.records[i].Key)
	if err != nil {
		return
	}
	if s.isStored(s.records[i].Key) {
		s.results[i].Outcome = assist.Stored
		r.cfg.JobCounters.Add(confirmedJobs, 1)
		r.cfg.Logger.WithFields(logrus.Fields{"job": id, "record": s.records[i].Key, "planned": r.cell.Knows(id)}).Info("record is stored already; its submission is confirmed")
		return
	}
	if kind != work.KindJob {
		return
	}
	if e, _ := r.cfg.Replica.Get(id); e.Cancelled || r.cell.Knows(id) {
		return // cancelled before its submission was read, or submitted again
	}
	job, err := work.DecodeJob(s.records[i].Value)
	if err == nil {
		err = job.CheckPlannable(nil)
	}
	if err != nil {
		r.cfg.Logger.WithError(err).WithField("job", id).Error("unreadable job was handed in")
		s.results[i] = assist.StoreResult{Outcome: assist.NotStored} // it would be accepted and never planned
		return
	}
	if r.cfg.Plan.Overload {
		job.AcceptedMs = r.returning.FirstSubmittedMs(id, job.AcceptedMs, now)
	}
	if r.cfg.LinkFull != nil && r.cfg.LinkFull() {
		s.results[i] = assist.StoreResult{Outcome: assist.TooBusy, RetryAfter: linkFullRetryAfter}
		r.cfg.Logger.WithField("job", job.ID).Info("job refused: this machine's link is full")
		return
	}
	if decision := r.admit(job, backlog, now); decision.Reason != "" {
		s.results[i] = assist.StoreResult{Outcome: assist.TooBusy, RetryAfter: decision.RetryAfter}
		if r.cfg.Plan.Overload && decision.Reason != admission.ExceedsCap {
			r.returning.Refused(id, job.AcceptedMs, now)
		}
		return
	}
	if r.cell.AddUnconfirmedJob(job, now.UnixMilli(), now) {
		s.addedJobs = append(s.addedJobs, id)
	}
}

// admit decides whether a job is accepted, given the work that waits in the cell. The caller holds r.mu.
func (r *Runner) admit(j *work.Job, backlog backlogs, now time.Time) admission.Decision {
	config := r.cfg.Configuration()
	q := config.QueueOf(j.Queue, j.Path)
	workspace := config.Workspaces.WithID(j.Workspace)
	if workspace == nil {
		workspace = &queue.Workspace{}
	}
	if !workspace.CanRun(j) {
		return admission.Decision{Reason: admission.ExceedsCap}
	}
	firstCall := r.cell.FirstAdviceCall(q)
	shared, underCap := backlog.shared, backlog.all.UnderCap(j, workspace.Cap)
	before := shared.AheadOf(j, q, now)
	beforeAdvice := r.cfg.Peers.EstimateWait(firstCall, before.AdviceCalls(), now)
	underCapWait := underCap.AheadOf(j, q, now).ProcessingTime()
	delay := max(beforeAdvice+firstCall.Total, underCapWait)
	if f, known := r.cell.Forecast(j, q, delay, now.UnixMilli(), now); known {
		return r.admitByForecast(j, f, beforeAdvice)
	}
	request := admission.Request{
		ExpectedWait:  max(before.ProcessingTime()+beforeAdvice, underCapWait),
		MaxUsefulWait: plan.MaxUsefulWait(j, q),
		Demands: []admission.Demand{{
			Resource: "room",
			Backlog:  shared.ProcessingTimes().InTime, // what is late starts after a new job
			Added:    shared.JobProcessingTime(j),
		}, {
			Resource: assist.ClassName(firstCall),
			Backlog:  r.cfg.Peers.EstimateWait(firstCall, shared.AdviceCalls(), now),
			Added:    r.cfg.Peers.EstimateWait(firstCall, slices.Repeat([]queue.CallTime{firstCall}, len(j.Steps)), now),
		}, {
			Resource: "cap of workspace " + workspace.Name,
			Backlog:  underCap.ProcessingTime(),
			Added:    underCap.JobProcessingTime(j),
		}},
	}
	decision := r.admissionController.Decide(request, now)
	if decision.Reason != "" && r.cell.FreeNow(j, q, delay, now) {
		// Work that waits beside free executors can't use them.
		onFree := admission.Request{ExpectedWait: max(beforeAdvice, underCapWait), MaxUsefulWait: request.MaxUsefulWait, Demands: request.Demands[1:]}
		decision = r.admissionController.Decide(onFree, now)
	}
	if decision.Reason != "" {
		r.logRefusal(j, request, decision, beforeAdvice, shared.Processors())
	}
	return decision
}

func (r *Runner) logRefusal(j *work.Job, request admission.Request, decision admission.Decision, beforeAdvice time.Duration, processors int) {
	fields := logrus.Fields{
		"job": j.ID, "queue": j.Queue, "workspace": j.Workspace, "wait_ms": request.ExpectedWait.Milliseconds(), "wait_advice_ms": beforeAdvice.Milliseconds(),
		"useful_ms": request.MaxUsefulWait.Milliseconds(), "processors": processors, "retry_ms": decision.RetryAfter.Milliseconds(),
	}
	for i, name := range []string{"room", "advice", "cap"} {
		fields["backlog_"+name+"_ms"] = request.Demands[i].Backlog.Milliseconds()
		fields["adds_"+name+"_ms"] = request.Demands[i].Added.Milliseconds()
	}
	if decision.Resource != "" {
		fields["short_of"] = decision.Resource
	}
	r.cfg.Logger.WithFields(fields).Info("job refused: " + string(decision.Reason))
}
