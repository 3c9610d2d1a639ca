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

// retryAfter is the Retry-After delay for records that were not written or whose
// outcome is unsettled.
const retryAfter = 2 * time.Second

// maxPublishIDBytes is the maximum length of api.HeaderPublishID in bytes.
const maxPublishIDBytes = 128

func (s *service) publish(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.options.MaxBodyBytes))
	if err != nil {
		s.rejectBody(w, err)
		return
	}
	rec, l := decodeSingleRecord(body)
	id := r.Header.Get(api.HeaderPublishID)
	l.Check(len(id) <= maxPublishIDBytes, api.HeaderPublishID, len(id), fmt.Sprintf("at most %d bytes", maxPublishIDBytes))
	if err := l.Err(); err != nil {
		s.writePublishOutcome(w, rec, 0, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), s.options.PublishTimeout)
	defer cancel()
	rev, err := s.Publisher.PublishWithID(ctx, id, rec)
	s.writePublishOutcome(w, rec, rev, err)
}

// decodeSingleRecord decodes a request body, which must hold exactly one record.
func decodeSingleRecord(body []byte) (api.Record, *finding.List) {
	records, l := schema.CheckFile("", body, schema.AllowUnknownSchema)
	if len(records) == 1 {
		return records[0], l
	}
	if l.Err() == nil {
		l.Add("(document)", fmt.Sprintf("%d records", len(records)), "one record")
	}
	return api.Record{}, l
}

// rejectBody answers a request whose body could not be read.
func (s *service) rejectBody(w http.ResponseWriter, err error) {
	var tooLarge *http.MaxBytesError
	if !errors.As(err, &tooLarge) {
		s.Counters.Inc(CounterGroup, api.ReasonMalformed)
		writeJSON(w, http.StatusBadRequest, api.Problem{Error: "body: " + err.Error()})
		return
	}
	s.Counters.Inc(CounterGroup, api.ReasonTooLarge)
	writeJSON(w, http.StatusRequestEntityTooLarge, api.Problem{Error: fmt.Sprintf("body larger than %d bytes", tooLarge.Limit)})
}

// writePublishOutcome counts and logs the outcome of a publication and answers the
// request.
func (s *service) writePublishOutcome(w http.ResponseWriter, rec api.Record, rev api.Revision, err error) {
	outcome := classifyPublishResult(rev, err)
	if outcome.reason != "" {
		s.Counters.Inc(CounterGroup, outcome.reason)
	}
	s.Logger.WithFields(logrus.Fields{
		"kind":     rec.Kind,
		"name":     rec.Name,
		"based_on": rec.BasedOn,
		"outcome":  outcome.answer.Outcome,
		"revision": outcome.answer.Revision,
		"in_force": outcome.answer.InForce,
		"detail":   outcome.answer.Detail,
	}).Info("record published")
	if outcome.shouldRetry {
		w.Header().Set("Retry-After", strconv.Itoa(int(retryAfter.Seconds())))
	}
	writeJSON(w, outcome.status, outcome.answer)
}

// publishOutcome is the outcome of a publication as HTTP status, counter and
// answer.
type publishOutcome struct {
	status      int
	reason      api.Reason // counted reason; empty if accepted
	shouldRetry bool       // publishing the identical record again may succeed
	answer      api.PublishAnswer
}

// classifyPublishResult converts the result of PublishWithID. Unknown errors count
// as unsettled, since the record may have been accepted.
func classifyPublishResult(rev api.Revision, err error) publishOutcome {
	var invalid *finding.List
	var conflict *config.ConflictError
	switch {
	case err == nil:
		return publishOutcome{status: http.StatusOK, answer: api.PublishAnswer{Outcome: api.PublishAccepted, Revision: rev}}
	case errors.As(err, &invalid):
		return publishOutcome{
			status: http.StatusBadRequest,
			reason: api.ReasonMalformed,
			answer: api.PublishAnswer{Outcome: api.PublishInvalid, Findings: toAPIFindings(invalid)},
		}
	case errors.As(err, &conflict):
		return publishOutcome{
			status: http.StatusConflict,
			reason: api.ReasonConflict,
			answer: api.PublishAnswer{Outcome: api.PublishConflict, InForce: conflict.InForce, Detail: conflict.Error()},
		}
	case errors.Is(err, journal.ErrNotWritten):
		return publishOutcome{
			status:      http.StatusServiceUnavailable,
			reason:      api.ReasonJournalUnavailable,
			shouldRetry: true,
			answer:      api.PublishAnswer{Outcome: api.PublishNotWritten, Detail: err.Error()},
		}
	}
	return publishOutcome{
		status:      http.StatusAccepted,
		reason:      api.ReasonJournalUnsettled,
		shouldRetry: true,
		answer:      api.PublishAnswer{Outcome: api.PublishUnsettled, Detail: err.Error()},
	}
}

func toAPIFindings(l *finding.List) []api.Finding {
	out := make([]api.Finding, len(l.Findings))
	for i, f := range l.Findings {
		out[i] = api.Finding(f)
	}
	return out
}
