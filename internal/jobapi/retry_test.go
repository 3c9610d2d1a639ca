package jobapi

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/internal/intake"
	"github.com/skylarklock/skylarklock/internal/logging"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/queue"
	"github.com/skylarklock/skylarklock/internal/replica"
	"github.com/skylarklock/skylarklock/internal/work"
)

// refusingStore stores nothing.
type refusingStore struct{}

func (refusingStore) Store(context.Context, platform.Record, time.Duration) error {
	return intake.ErrNotStored
}

// Clients try a few times. Told to come back each second, they had no try left when
// an outage of 5 s ended, also for jobs that could wait for 10 s and longer. So
// they come back after a part of the job's objective, in whole seconds.
func TestRetryAfterFollowsTheLatencyObjective(t *testing.T) {
	for _, c := range []struct {
		name       string
		work       time.Duration // estimated
		retryAfter string
	}{
		{"a check of 1 s, due in 1.75 s", time.Second, "1"},
		{"a trace of 4 s, due in 6.25 s", 4 * time.Second, "2"},
		{"a sweep of 7 s, due in 10.75 s", 7 * time.Second, "2"},
		{"work of a minute", time.Minute, "3"},
	} {
		api := &API{
			Codec: Codec{
				Remaining:   func(http.Header) (time.Duration, bool) { return 3 * time.Second, true },
				EncodeError: func(string, time.Duration) ([]byte, error) { return []byte("{}"), nil },
				DecodeJob: func([]byte) (*work.Job, error) {
					return &work.Job{Steps: []work.Step{{TaskCount: 1, Estimate: c.work}}}, nil
				},
			},
			CurrentConfig: func() *queue.Configuration {
				return &queue.Configuration{
					Queues: []queue.Queue{{Name: "q", Host: "h", PathPrefix: "/q/", Stretch: 1.5, TargetLatency: 250 * time.Millisecond}},
					Limits: queue.Limits{MaxBodyBytes: 1 << 10},
				}
			},
			Replica: replica.New(time.Minute, logging.Nop()),
			Leaving: func() bool { return false },
			Store:   refusingStore{},
			Logger:  logging.Nop(),
		}
		request := httptest.NewRequest(http.MethodPost, "/q/00000000000000ab", strings.NewReader("{}"))
		request.Host = "h"
		w := httptest.NewRecorder()
		api.ServeHTTP(w, request)
		if got := w.Header().Get("Retry-After"); w.Code != http.StatusServiceUnavailable || got != c.retryAfter {
			t.Errorf("%s: answered %d, to come back after %s s, want %s", c.name, w.Code, got, c.retryAfter)
		}
	}
}

// A machine that reaches nobody refuses at once, without a try that could be carried
// out later: the client's next try may reach a machine elsewhere.
func TestCutOffMachineRefusesImmediately(t *testing.T) {
	store := &countingStore{}
	cut := true
	api := &API{
		Codec: Codec{
			Remaining:   func(http.Header) (time.Duration, bool) { return 3 * time.Second, true },
			EncodeError: func(string, time.Duration) ([]byte, error) { return []byte("{}"), nil },
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
		Replica: replica.New(time.Minute, logging.Nop()),
		CutOff:  func() bool { return cut },
		Leaving: func() bool { return false },
		Store:   store,
		Logger:  logging.Nop(),
	}
	hand := func() *httptest.ResponseRecorder {
		request := httptest.NewRequest(http.MethodPost, "/q/00000000000000ab", strings.NewReader("{}"))
		request.Host = "h"
		w := httptest.NewRecorder()
		api.ServeHTTP(w, request)
		return w
	}
	if w := hand(); w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") != "1" || store.tries != 0 {
		t.Errorf("answered %d, to come back after %q s, after %d tries to store", w.Code, w.Header().Get("Retry-After"), store.tries)
	}
	cut = false
	if w := hand(); w.Code != http.StatusOK || store.tries != 1 {
		t.Errorf("back again: answered %d after %d tries to store", w.Code, store.tries)
	}
}

// countingStore stores everything.
type countingStore struct{ tries int }

func (s *countingStore) Store(context.Context, platform.Record, time.Duration) error {
	s.tries++
	return nil
}
