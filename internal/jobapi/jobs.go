package jobapi

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/internal/finding"
	"github.com/skylarklock/skylarklock/internal/intake"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/replica"
	"github.com/skylarklock/skylarklock/internal/work"
)

// submit takes a job. An ID that is known is the same job once more.
func (a *API) submit(r *request, id work.ID) *reply {
	body, refusal := a.read(r)
	if refusal != nil {
		return refusal
	}
	if _, known := a.Replica.Get(id); known {
		return accepted()
	}
	job, err := a.Codec.DecodeJob(body)
	if err != nil {
		return a.refuse(http.StatusBadRequest, err.Error(), 0)
	}
	job.ID = id
	job.Queue = r.queue.Name
	job.Service = r.queue.Service
	job.AcceptedMs = time.Now().UnixMilli()
	faults := &finding.List{}
	job.Validate(faults)
	if err := faults.Err(); err != nil {
		return a.refuse(http.StatusBadRequest, err.Error(), 0)
	}
	if what := unsupported(job); what != "" {
		return a.refuse(http.StatusServiceUnavailable, what+" is not supported", 0)
	}
	value, err := work.EncodeJob(job)
	if err != nil {
		return a.refuse(http.StatusInternalServerError, err.Error(), 0)
	}
	return a.store(r, platform.Record{Key: work.Key(work.KindJob, id), Value: value}, patience(r, job), retryAfter(r, job))
}

// retryAfter returns when the client should come back with a job that the store
// didn't take.
func retryAfter(r *request, j *work.Job) time.Duration {
	return min(max(busyRetryAfter, time.Duration(retryShare*float64(r.queue.LatencyObjective(j.CriticalPath())))), retryMost)
}

// patience returns how long the store is waited for with a job.
func patience(r *request, j *work.Job) time.Duration {
	wait := time.Duration(objectivePatience * float64(r.queue.LatencyObjective(j.CriticalPath())))
	if deadline, ok := r.Context().Deadline(); ok {
		wait = min(wait, time.Duration(storePatience*float64(time.Until(deadline))))
	}
	return wait
}

// unsupported names something that the job needs and that isn't built.
func unsupported(j *work.Job) string {
	for i := range j.Steps {
		s := &j.Steps[i]
		switch {
		case s.SpareCPUOnly:
			return fmt.Sprintf("steps[%d]: filling unused processors", i)
		case s.TailLatencyTarget > 0:
			return fmt.Sprintf("steps[%d]: a target for response times", i)
		}
	}
	return ""
}

// read reads a request's body within the limits in force.
func (a *API) read(r *request) ([]byte, *reply) {
	limit := r.table.Limits.MaxBodyBytes
	if r.ContentLength > limit {
		return nil, a.refuse(http.StatusRequestEntityTooLarge, "body is larger than "+strconv.FormatInt(limit, 10)+" bytes", 0)
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, a.refuse(http.StatusBadRequest, "body not read: "+err.Error(), 0)
	}
	if int64(len(body)) > limit {
		return nil, a.refuse(http.StatusRequestEntityTooLarge, "body is larger than "+strconv.FormatInt(limit, 10)+" bytes", 0)
	}
	return body, nil
}

// store makes a record durable and says so. Where the store takes nothing, the
// client should come back after some time.
func (a *API) store(r *request, record platform.Record, patience, retryAfter time.Duration) *reply {
	if a.CutOff != nil && a.CutOff() {
		// Nothing was sent, and the client's next try may reach a machine elsewhere.
		a.Logger.WithFields(logrus.Fields{"job": r.rest, "queue": r.queue.Name, "method": r.Method}).Info("request refused: this machine is cut off")
		return a.refuse(http.StatusServiceUnavailable, "this machine reaches neither the store nor the leader", busyRetryAfter)
	}
	err := a.Store.Store(r.Context(), record, patience)
	if err == nil {
		return accepted()
	}
	answer := a.notConfirmed(err, retryAfter)
	a.Logger.WithError(err).WithFields(logrus.Fields{
		"job": r.rest, "queue": r.queue.Name, "method": r.Method, "answered": answer.status,
	}).Info("request not confirmed")
	return answer
}

// notConfirmed returns the answer to a request whose record was not stored, or
// of which that isn't known.
func (a *API) notConfirmed(err error, retryAfter time.Duration) *reply {
	var busy *intake.BusyError
	switch {
	case errors.As(err, &busy):
		return a.refuse(http.StatusTooManyRequests, "too much waits before it for the job to end in time", busy.RetryAfter)
	case errors.Is(err, intake.ErrNotStored):
		return a.refuse(http.StatusServiceUnavailable, "the store takes nothing at the moment", retryAfter)
	default:
		return a.refuse(http.StatusGatewayTimeout, "it is not known whether the store took the request", 0)
	}
}

func accepted() *reply { return &reply{status: http.StatusOK, body: []byte("{}")} }

// find returns what is known of a job. Of one that isn't known here the store
// is asked first, since it may just have been accepted elsewhere.
func (a *API) find(r *request, id work.ID) (replica.Entry, *reply) {
	e, known := a.Replica.Get(id)
	if !known || !e.Submitted() {
		if err := a.Sync(r.Context()); err != nil {
			a.Logger.WithError(err).WithField("job", id).Info("job not known here and the store gives no answer")
			return e, a.refuse(http.StatusServiceUnavailable, "the store gives no answer", busyRetryAfter)
		}
		e, known = a.Replica.Get(id)
	}
	if !known || !e.Submitted() || e.Queue() != r.queue.Name {
		a.Logger.WithFields(logrus.Fields{
			"job": id, "queue": r.queue.Name, "has_records": known, "has_submission": e.Submitted(), "read_up_to": a.Replica.Position(),
		}).Info("no such job")
		return e, a.refuse(http.StatusGone, "no such job", 0)
	}
	return e, nil
}

// state tells where a job stands.
func (a *API) state(r *request, id work.ID) *reply {
	e, refusal := a.find(r, id)
	if refusal != nil {
		return refusal
	}
	return &reply{status: http.StatusOK, body: a.Codec.EncodeState(e.State())}
}

// cancelPatience is how long the store is waited for with a cancel.
const cancelPatience = time.Second

// cancel cancels a job that has not ended.
func (a *API) cancel(r *request, id work.ID) *reply {
	e, refusal := a.find(r, id)
	if refusal != nil {
		return refusal
	}
	if e.State().Final() {
		return &reply{status: http.StatusOK, body: a.Codec.EncodeState(e.State())}
	}
	return a.store(r, platform.Record{Key: work.Key(work.KindCancellation, id), Value: work.CancellationValue}, cancelPatience, busyRetryAfter)
}

// pendingAge is how old the number of pending jobs may be; clients allow 2 s.
const pendingAge = 1500 * time.Millisecond

// pending tells how many jobs of the queue have not begun. A machine that may
// have missed something for a while asks first, and tells nothing rather than a
// number that may be wrong.
func (a *API) pending(r *request) *reply {
	if a.Replica.Lag(time.Now()) > pendingAge {
		if err := a.Sync(r.Context()); err != nil {
			a.Logger.WithError(err).WithField("queue", r.queue.Name).Info("number of pending jobs not known here")
			return a.refuse(http.StatusServiceUnavailable, "the store gives no answer", busyRetryAfter)
		}
	}
	body, err := a.Codec.EncodePending(a.Replica.PendingJobs(r.queue.Name))
	if err != nil {
		return a.refuse(http.StatusInternalServerError, err.Error(), 0)
	}
	return &reply{status: http.StatusOK, body: body}
}

// write sends the answer.
func (a *API) write(w http.ResponseWriter, answer *reply) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(answer.body)))
	if answer.retryAfter > 0 {
		seconds := (answer.retryAfter + time.Second - 1) / time.Second
		h.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	if a.Leaving() {
		h.Set("Connection", "close") // or the client's next request comes here too
	}
	w.WriteHeader(answer.status)
	if _, err := w.Write(answer.body); err != nil {
		a.Logger.WithError(err).Debug("answer not delivered")
	}
}
