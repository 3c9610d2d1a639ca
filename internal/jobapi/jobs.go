package jobapi

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/internal/clientlimit"
	"github.com/skylarklock/skylarklock/internal/finding"
	"github.com/skylarklock/skylarklock/internal/intake"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/queue"
	"github.com/skylarklock/skylarklock/internal/replica"
	"github.com/skylarklock/skylarklock/internal/work"
)

// submitJob stores a new job. The ID of a submission that is known is a repeated submission
// of the same job and is accepted without storing it again.
func (a *API) submitJob(r *request, id work.ID) *response {
	body, refusal := a.readBody(r)
	if refusal != nil {
		return refusal
	}
	if e, _ := a.Replica.Get(id); e.Submitted() {
		if !a.mayAccess(r, e) {
			return a.refuse(http.StatusForbidden, "the job's id can't be used", 0)
		}
		if owner := r.ownerOf(e); owner != nil && owner != r.queue {
			return a.refuse(http.StatusConflict, "a job of another queue has this id", 0)
		}
		a.Logger.WithFields(logrus.Fields{"job": id, "queue": r.queue.Name, "state": e.State(), "read_up_to": a.Replica.Position()}).Info("request confirmed: the job is stored already")
		return accepted()
	}
	var job *work.Job
	err := clientlimit.Decode(r.Request, body, func() (err error) {
		job, err = a.Codec.DecodeJob(body)
		return err
	})
	if err != nil {
		return a.refuse(http.StatusBadRequest, err.Error(), 0)
	}
	job.ID = id
	job.Queue = r.queue.Name
	job.Path = r.queue.Path
	job.Service = r.queue.Service
	job.Workspace = r.workspaceID()
	job.AcceptedMs = time.Now().UnixMilli()
	findings := &finding.List{}
	job.Validate(findings)
	if err := findings.Err(); err != nil {
		return a.refuse(http.StatusBadRequest, err.Error(), 0)
	}
	if r.workspace != nil && !r.workspace.CanRun(job) {
		return a.refuse(http.StatusServiceUnavailable, "a step needs more at once than the workspace's cap allows", 0)
	}
	job.Terms = work.Terms{MaxAttempts: r.queue.MaxAttempts, LatencyObjective: r.queue.LatencyObjective(job.CriticalPath())}
	if feature := unsupportedFeature(job); feature != "" {
		return a.refuse(http.StatusServiceUnavailable, feature+" is not supported", 0)
	}
	value, err := work.EncodeJob(job)
	if err != nil {
		return a.refuse(http.StatusInternalServerError, err.Error(), 0)
	}
	record := platform.Record{Key: work.Key(work.KindJob, id), Value: value}
	if size := len(record.Value) + len(record.Key); a.MaxRecordBytes > 0 && size >= a.MaxRecordBytes {
		return a.refuse(http.StatusRequestEntityTooLarge, fmt.Sprintf("the job's record has %d bytes, the store takes less than %d", size, a.MaxRecordBytes), 0)
	}
	if size := job.TaskCount() * minTaskRecordBytes; a.MaxRecordBytes > 0 && size >= a.MaxRecordBytes {
		return a.refuse(http.StatusRequestEntityTooLarge, fmt.Sprintf("the record of the job's progress has at least %d bytes, the store takes less than %d", size, a.MaxRecordBytes), 0)
	}
	return a.storeRecord(r, record, storeWait(r, job), retryAfter(r, job))
}

// minTaskRecordBytes is what each task takes at least in the record of its job's progress, in bytes: its phase and the
// number of its run.
const minTaskRecordBytes = 2

// retryAfter returns the time after which the client should retry a job that the store
// didn't accept.
func retryAfter(r *request, j *work.Job) time.Duration {
	return min(max(defaultRetryAfter, time.Duration(retryObjectiveShare*float64(r.queue.LatencyObjective(j.CriticalPath())))), maxRetryAfter)
}

// storeWait returns how long a job waits for an unavailable store.
func storeWait(r *request, j *work.Job) time.Duration {
	wait := time.Duration(storeWaitObjectiveShare * float64(r.queue.LatencyObjective(j.CriticalPath())))
	if deadline, ok := r.Context().Deadline(); ok {
		wait = min(wait, time.Duration(storeWaitClientShare*float64(time.Until(deadline))))
	}
	return wait
}

// unsupportedFeature names the first feature of the job that is not implemented; empty:
// all are.
func unsupportedFeature(j *work.Job) string {
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

// readBody reads the body of a request, up to the limit in force.
func (a *API) readBody(r *request) ([]byte, *response) {
	limit := r.config.Limits.MaxBodyBytes
	body, err := clientlimit.ReadBody(r.Request, limit)
	switch {
	case err == nil:
		return body, nil
	case errors.Is(err, clientlimit.ErrBodyTooLarge):
		return nil, a.refuse(http.StatusRequestEntityTooLarge, "body is larger than "+strconv.FormatInt(limit, 10)+" bytes", 0)
	case errors.Is(err, clientlimit.ErrOverloaded):
		return nil, a.refuse(http.StatusServiceUnavailable, err.Error(), defaultRetryAfter)
	default:
		return nil, a.refuse(http.StatusBadRequest, "body not read: "+err.Error(), 0)
	}
}

// storeRecord makes a record durable and returns the answer. maxWait bounds the wait for
// an unavailable store. If the store accepted nothing, the client is asked to retry after
// retryAfter.
func (a *API) storeRecord(r *request, record platform.Record, maxWait, retryAfter time.Duration) *response {
	if a.CutOff != nil && a.CutOff() {
		// Nothing was sent, and a retry of the client may reach a machine in another
		// data centre.
		a.Logger.WithFields(logrus.Fields{"job": r.subpath, "queue": r.queue.Name, "method": r.Method}).Info("request refused: this machine is cut off")
		return a.refuse(http.StatusServiceUnavailable, "this machine reaches neither the store nor the leader", defaultRetryAfter)
	}
	fields := logrus.Fields{"job": r.subpath, "queue": r.queue.Name, "method": r.Method}
	err := a.Store.Store(r.Context(), record, maxWait)
	fields["took_ms"] = time.Since(r.arrivedAt).Milliseconds()
	if err == nil {
		a.Logger.WithFields(fields).Info("request confirmed")
		return accepted()
	}
	resp := a.storeErrorResponse(err, retryAfter)
	fields["answered"] = resp.status
	a.Logger.WithError(err).WithFields(fields).Info("request not confirmed")
	return resp
}

// storeErrorResponse returns the answer to a request whose record was not stored, or
// may not have been stored.
func (a *API) storeErrorResponse(err error, retryAfter time.Duration) *response {
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

// accepted returns the answer to a submission or cancellation that is durable.
func accepted() *response { return &response{status: http.StatusOK, body: []byte("{}")} }

// findJob returns the replica's entry of a job, or a refusal. A job that is unknown here
// may just have been accepted elsewhere, so the replica is first synchronised. To clients of
// another workspace or queue a job is unknown.
func (a *API) findJob(r *request, id work.ID) (replica.Entry, *response) {
	e, known := a.Replica.Get(id)
	if !known || !e.Submitted() {
		if err := a.Sync(r.Context()); err != nil {
			a.Logger.WithError(err).WithField("job", id).Info("job not known here and the store gives no answer")
			return e, a.refuse(http.StatusServiceUnavailable, "the store gives no answer", defaultRetryAfter)
		}
		e, known = a.Replica.Get(id)
	}
	if !known || !e.Submitted() || r.ownerOf(e) != r.queue || !a.mayAccess(r, e) {
		a.Logger.WithFields(logrus.Fields{
			"job": id, "queue": r.queue.Name, "has_records": known, "has_submission": e.Submitted(), "accepted_by": e.Queue(), "read_up_to": a.Replica.Position(),
		}).Info("no such job")
		return e, a.refuse(http.StatusGone, "no such job", 0)
	}
	return e, nil
}

// ownerOf returns the queue that a job belongs to now, or nil if the queue was removed or isn't known.
func (r *request) ownerOf(e replica.Entry) *queue.Queue { return r.config.QueueOf(e.Queue(), e.Path()) }

// jobState answers with the state of a job.
func (a *API) jobState(r *request, id work.ID) *response {
	e, refusal := a.findJob(r, id)
	if refusal != nil {
		return refusal
	}
	if e.State().Final() {
		a.Logger.WithFields(logrus.Fields{"job": id, "queue": r.queue.Name, "state": e.State()}).Info("end of a job shown")
	}
	return &response{status: http.StatusOK, body: a.Codec.EncodeState(e.State())}
}

// cancelStoreWait is how long a cancellation waits for an unavailable store.
const cancelStoreWait = time.Second

// cancelJob stores the cancellation of a job that has not ended.
func (a *API) cancelJob(r *request, id work.ID) *response {
	e, refusal := a.findJob(r, id)
	if refusal != nil {
		return refusal
	}
	if e.State().Final() {
		return &response{status: http.StatusOK, body: a.Codec.EncodeState(e.State())}
	}
	return a.storeRecord(r, platform.Record{Key: work.Key(work.KindCancellation, id), Value: work.CancellationValue}, cancelStoreWait, defaultRetryAfter)
}

// maxPendingAge is the replica lag up to which the number of pending jobs is answered
// without synchronising first. Clients accept a number that is up to 2 s old.
const maxPendingAge = 1500 * time.Millisecond

// pendingCount answers with the number of jobs of the queue that have not started. A
// replica that lags is synchronised first; if that fails the request is refused, since
// the number may be wrong.
func (a *API) pendingCount(r *request) *response {
	if a.Replica.Lag(time.Now()) > maxPendingAge {
		if err := a.Sync(r.Context()); err != nil {
			a.Logger.WithError(err).WithField("queue", r.queue.Name).Info("number of pending jobs not known here")
			return a.refuse(http.StatusServiceUnavailable, "the store gives no answer", defaultRetryAfter)
		}
	}
	pending := a.Replica.PendingJobs(func(name string, path work.PathID) bool {
		return r.config.QueueOf(name, path) == r.queue
	})
	body, err := a.Codec.EncodePending(pending)
	if err != nil {
		return a.refuse(http.StatusInternalServerError, err.Error(), 0)
	}
	return &response{status: http.StatusOK, body: body}
}

// writeResponse writes the answer.
func (a *API) writeResponse(w http.ResponseWriter, resp *response) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(resp.body)))
	if resp.retryAfter > 0 {
		seconds := (resp.retryAfter + time.Second - 1) / time.Second
		h.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	if a.Leaving() {
		h.Set("Connection", "close") // otherwise the client's next request comes here too
	}
	w.WriteHeader(resp.status)
	if _, err := w.Write(resp.body); err != nil {
		a.Logger.WithError(err).Debug("answer not delivered")
	}
}
