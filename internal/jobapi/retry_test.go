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

// refusingStore is a store that accepts no records.
type refusingStore struct{}

// Store implements Store.
func (refusingStore) Store(context.Context, platform.Record, time.Duration) error {
	return intake.ErrNotStored
}

// Retry-After is a share of the job's latency objective, in whole seconds. The
// test guards against a fixed Retry-After of 1 s: clients retry only a few times, so
// they had no retry left when an outage of 5 s ended, even for jobs that could wait 10 s
// or longer.
func TestRetryAfterFollowsTheLatencyObjective(t *testing.T) {
	for _, c := range []struct {
		name       string
		estimate   time.Duration
		retryAfter string
	}{
		{"a check of 1 s, due in 1.75 s", time.Second, "1"},
		{"a trace of 4 s, due in 6.25 s", 4 * time.Second, "2"},
		{"a sweep of 7 s, due in 10.75 s", 7 * time.Second, "2"},
		{"work of a minute", time.Minute, "3"},
	} {
		api := &API{
			Codec: Codec{
				Remaining:    func(http.Header) (time.Duration, bool) { return 3 * time.Second, true },
				EncodeError:  func(string, time.Duration) ([]byte, error) { return []byte("{}"), nil },
				WorkspaceKey: func(http.Header) (queue.KeyDigest, bool) { return queue.KeyDigest{}, false },
				DecodeJob: func([]byte) (*work.Job, error) {
					return &work.Job{Steps: []work.Step{{TaskCount: 1, Estimate: c.estimate}}}, nil
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
			t.Errorf("%s: answered %d with Retry-After %q, want %q", c.name, w.Code, got, c.retryAfter)
		}
	}
}

// A machine that is cut off refuses a job immediately, without an attempt to store it
// that could take effect later. A retry of the client may reach another machine.
func TestCutOffMachineRefusesImmediately(t *testing.T) {
	store := &countingStore{}
	cutOff := true
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
		Replica: replica.New(time.Minute, logging.Nop()),
		CutOff:  func() bool { return cutOff },
		Leaving: func() bool { return false },
		Store:   store,
		Logger:  logging.Nop(),
	}
	submit := func() *httptest.ResponseRecorder {
		request := httptest.NewRequest(http.MethodPost, "/q/00000000000000ab", strings.NewReader("{}"))
		request.Host = "h"
		w := httptest.NewRecorder()
		api.ServeHTTP(w, request)
		return w
	}
	if w := submit(); w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") != "1" || store.calls != 0 {
		t.Errorf("cut off: answered %d with Retry-After %q after %d calls of Store, want 503, 1 and none", w.Code, w.Header().Get("Retry-After"), store.calls)
	}
	cutOff = false
	if w := submit(); w.Code != http.StatusOK || store.calls != 1 {
		t.Errorf("reconnected: answered %d after %d calls of Store, want 200 after one", w.Code, store.calls)
	}
}

// countingStore is a store that accepts all records and counts them.
type countingStore struct{ calls int }

// Store implements Store.
func (s *countingStore) Store(context.Context, platform.Record, time.Duration) error {
	s.calls++
	return nil
}

// A job whose record the store would refuse is refused at once, for good.
func TestJobThatTheStoreCannotTakeIsRefused(t *testing.T) {
	k := newKeyAPI(t, "null")
	k.MaxRecordBytes = 20
	k.expect(t, http.StatusRequestEntityTooLarge, http.MethodPost, jobPath, "")
	k.MaxRecordBytes = 1 << 18
	k.expect(t, http.StatusOK, http.MethodPost, jobPath, "")
}
