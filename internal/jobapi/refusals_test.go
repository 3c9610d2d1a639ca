package jobapi

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/internal/logging"
	"github.com/skylarklock/skylarklock/internal/queue"
	"github.com/skylarklock/skylarklock/internal/refusal"
	"github.com/skylarklock/skylarklock/internal/replica"
	"github.com/skylarklock/skylarklock/internal/work"
)

// Guards against calls to the leader for jobs of a full queue, and against local refusals of jobs that are
// known or while this machine is cut off.
func TestJobOfAFullQueueIsRefusedHere(t *testing.T) {
	id, err := work.ParseID("00000000000000ab")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name          string
		verdict       refusal.Verdict
		cutOff        bool
		known         string // when the job becomes known here
		status, calls int
		retryAfter    string
	}{
		{"full", refusal.Verdict{Refused: true, Capacity: 1500 * time.Millisecond}, false, "", http.StatusTooManyRequests, 0, "2"},
		{"the client's time is short", refusal.Verdict{Refused: true, Capacity: 20 * time.Second}, false, "", http.StatusTooManyRequests, 0, "2"},
		{"not full", refusal.Verdict{}, false, "", http.StatusOK, 1, ""},
		{"cut off", refusal.Verdict{Refused: true}, true, "", http.StatusServiceUnavailable, 0, "1"},
		{"known", refusal.Verdict{Refused: true}, false, "before", http.StatusOK, 0, ""},
		{"becomes known during the decision", refusal.Verdict{Refused: true}, false, "during", http.StatusOK, 1, ""},
	} {
		store := &countingStore{}
		jobs := replica.New(time.Minute, logging.Nop())
		states := jobs.NewStateImport()
		for range replica.StateParts {
			states.Add(0, nil)
		}
		states.Complete(time.Now())
		learn := func() {
			jobs.ApplySummaries(replica.Span{From: 0, To: 1}, []work.Summary{{ID: id, Queue: "q"}}, time.Now())
		}
		if c.known == "before" {
			learn()
		}
		api := &API{
			Codec: Codec{
				Remaining:    func(http.Header) (time.Duration, bool) { return 3 * time.Second, true },
				EncodeError:  func(string, time.Duration) ([]byte, error) { return []byte("{}"), nil },
				WorkspaceKey: func(http.Header) (queue.KeyDigest, bool) { return queue.KeyDigest{}, false },
				DecodeJob: func([]byte) (*work.Job, error) {
					return &work.Job{Steps: []work.Step{{TaskCount: 1, Estimate: time.Second}}}, nil
				},
			},
			CurrentConfig: func() *queue.Configuration {
				return &queue.Configuration{
					Queues: []queue.Queue{{Name: "q", Host: "h", PathPrefix: "/q/", Stretch: 1.5}},
					Limits: queue.Limits{MaxBodyBytes: 1 << 10},
				}
			},
			Replica: jobs,
			CutOff:  func() bool { return c.cutOff },
			RefuseHere: func(j *work.Job, q *queue.Queue) refusal.Verdict {
				if j.ID != id || q.Name != "q" {
					t.Errorf("decided on job %v of queue %q", j.ID, q.Name)
				}
				if c.known == "during" {
					learn()
				}
				return c.verdict
			},
			Leaving: func() bool { return false },
			Store:   store,
			Logger:  logging.Nop(),
		}
		request := httptest.NewRequest(http.MethodPost, "/q/"+id.String(), strings.NewReader("{}"))
		request.Host = "h"
		w := httptest.NewRecorder()
		api.ServeHTTP(w, request)
		if got := w.Header().Get("Retry-After"); w.Code != c.status || store.calls != c.calls || got != c.retryAfter {
			t.Errorf("%s: answered %d with Retry-After %q after %d calls of Store, want %d, %q and %d", c.name, w.Code, got, store.calls, c.status, c.retryAfter, c.calls)
		}
	}
}
