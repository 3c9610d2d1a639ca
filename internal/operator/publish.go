package operator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/config"
	"github.com/skylarklock/skylarklock/internal/finding"
	"github.com/skylarklock/skylarklock/internal/journal"
	"github.com/skylarklock/skylarklock/internal/schema"
)

// retryAfter is told to operators whose record was not written or unsettled.
const retryAfter = 2 * time.Second

// maxPublishID bounds api.HeaderPublishID, in bytes.
const maxPublishID = 128

func (s *service) publish(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.options.MaxBodyBytes))
	if err != nil {
		s.refuseBody(w, err)
		return
	}
	rec, l := onlyRecord(body)
	id := r.Header.Get(api.HeaderPublishID)
	l.Check(len(id) <= maxPublishID, api.HeaderPublishID, len(id), fmt.Sprintf("at most %d bytes", maxPublishID))
	if err := l.Err(); err != nil {
		s.answer(w, rec, 0, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), s.options.PublishTimeout)
	defer cancel()
	rev, err := s.Publisher.PublishWithID(ctx, id, rec)
	s.answer(w, rec, rev, err)
}

// onlyRecord reads the one record of a request's body.
func onlyRecord(body []byte) (api.Record, *finding.List) {
	records, l := schema.CheckFile("", body, schema.AllowUnknownSchema)
	if len(records) == 1 {
		return records[0], l
	}
	if l.Err() == nil {
		l.Add("(document)", fmt.Sprintf("%d records", len(records)), "one record")
	}
	return api.Record{}, l
}

func (s *service) refuseBody(w http.ResponseWriter, err error) {
	var tooLarge *http.MaxBytesError
	if !errors.As(err, &tooLarge) {
		s.Counters.Inc(CounterGroup, api.ReasonMalformed)
		writeJSON(w, http.StatusBadRequest, api.Problem{Error: "body: " + err.Error()})
		return
	}
	s.Counters.Inc(CounterGroup, api.ReasonTooLarge)
	writeJSON(w, http.StatusRequestEntityTooLarge, api.Problem{Error: fmt.Sprintf("body larger than %d bytes", tooLarge.Limit)})
}

// answer tells the operator what became of the record.
func (s *service) answer(w http.ResponseWriter, rec api.Record, rev api.Revision, err error) {
	v := judge(rev, err)
	if v.reason != "" {
		s.Counters.Inc(CounterGroup, v.reason)
	}
	s.Logger.WithFields(logrus.Fields{
		"kind":     rec.Kind,
		"name":     rec.Name,
		"based_on": rec.BasedOn,
		"outcome":  v.answer.Outcome,
		"revision": v.answer.Revision,
		"in_force": v.answer.InForce,
		"detail":   v.answer.Detail,
	}).Info("record published")
	if v.retry {
		w.Header().Set("Retry-After", strconv.Itoa(int(retryAfter.Seconds())))
	}
	writeJSON(w, v.status, v.answer)
}

// verdict is the outcome of a publication in terms of HTTP and counters.
type verdict struct {
	status int
	reason api.Reason // empty: accepted
	retry  bool       // publishing the same again makes sense
	answer api.PublishAnswer
}

// judge turns the result of PublishAs into a verdict. An error that it
// doesn't know counts as unsettled, since nothing rules the record out.
func judge(rev api.Revision, err error) verdict {
	var invalid *finding.List
	var conflict *config.ConflictError
	switch {
	case err == nil:
		return verdict{status: http.StatusOK, answer: api.PublishAnswer{Outcome: api.PublishAccepted, Revision: rev}}
	case errors.As(err, &invalid):
		return verdict{
			status: http.StatusBadRequest,
			reason: api.ReasonMalformed,
			answer: api.PublishAnswer{Outcome: api.PublishInvalid, Findings: findings(invalid)},
		}
	case errors.As(err, &conflict):
		return verdict{
			status: http.StatusConflict,
			reason: api.ReasonConflict,
			answer: api.PublishAnswer{Outcome: api.PublishConflict, InForce: conflict.InForce, Detail: conflict.Error()},
		}
	case errors.Is(err, journal.ErrNotWritten):
		return verdict{
			status: http.StatusServiceUnavailable,
			reason: api.ReasonJournalUnavailable,
			retry:  true,
			answer: api.PublishAnswer{Outcome: api.PublishNotWritten, Detail: err.Error()},
		}
	}
	return verdict{
		status: http.StatusAccepted,
		reason: api.ReasonJournalUnsettled,
		retry:  true,
		answer: api.PublishAnswer{Outcome: api.PublishUnsettled, Detail: err.Error()},
	}
}

func findings(l *finding.List) []api.Finding {
	out := make([]api.Finding, len(l.Findings))
	for i, f := range l.Findings {
		out[i] = api.Finding(f)
	}
	return out
}
