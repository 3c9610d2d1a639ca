package jobapi

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarklock/skylarklock/internal/logging"
	"github.com/skylarklock/skylarklock/internal/queue"
	"github.com/skylarklock/skylarklock/internal/replica"
	"github.com/skylarklock/skylarklock/platform"
)

// A machine whose replica lags synchronises it before it answers the number of pending
// jobs, and refuses the request if that fails.
func TestStalePendingCountIsNotReported(t *testing.T) {
	for _, c := range []struct {
		name   string
		lag    time.Duration
		sync   error
		status int
		syncs  int
	}{
		{"replica is current", time.Second, nil, http.StatusOK, 0},
		{"replica lags, the store answers", 3 * time.Second, nil, http.StatusOK, 1},
		{"replica lags, the store is unreachable", 3 * time.Second, errors.New("no answer"), http.StatusServiceUnavailable, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := replica.New(time.Minute, logging.Nop())
				r.MarkCurrent(time.Now())
				time.Sleep(c.lag)
				syncs := 0
				api := &API{
					Codec: Codec{
						Remaining:     platform.RemainingTime,
						EncodePending: platform.EncodePending,
						EncodeError:   platform.EncodeError,
						WorkspaceKey:  platform.WorkspaceKey,
					},
					CurrentConfig: func() *queue.Configuration {
						return &queue.Configuration{Queues: []queue.Queue{{Name: "q", Host: "h", PathPrefix: "/q/"}}}
					},
					Replica: r,
					Leaving: func() bool { return false },
					Sync: func(context.Context) error {
						syncs++
						return c.sync
					},
					Logger: logging.Nop(),
				}
				request := httptest.NewRequest(http.MethodGet, "/q/", nil)
				request.Host = "h"
				w := httptest.NewRecorder()
				api.ServeHTTP(w, request)
				if w.Code != c.status || syncs != c.syncs {
					t.Errorf("answered %d after %d synchronisations, want %d after %d", w.Code, syncs, c.status, c.syncs)
				}
			})
		})
	}
}
