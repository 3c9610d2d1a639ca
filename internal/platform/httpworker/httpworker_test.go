package httpworker_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/platform/httpworker"
	standin "github.com/skylarklock/skylarklock/internal/standin/worker"
)

// serve hosts one stand-in VM and counts the exchanges that reach it.
func serve(t *testing.T) (*standin.VM, api.VM, *atomic.Int32, *httptest.Server) {
	t.Helper()
	v := standin.New("vm-1", api.Resources{MilliCPU: 4000}, time.Now, 0)
	host := standin.NewHost(v)
	var count atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/sync") {
			count.Add(1)
		}
		host.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	return v, api.VM{ID: "vm-1", Address: strings.TrimPrefix(server.URL, "http://") + "/w/vm-1"}, &count, server
}

// An answer lost on a reused connection is where net/http likes to repeat.
func TestLostAnswerIsUncertainAndNeverRepeated(t *testing.T) {
	v, vm, count, server := serve(t)
	c := httpworker.New(time.Second)
	report, err := c.Sync(t.Context(), vm, platform.WorkerSync{Epoch: 1})
	if err != nil || report.Incarnation == 0 {
		t.Fatal(report, err)
	}
	resp, err := http.Post(server.URL+"/faults", "application/json", strings.NewReader(`{"vm":"vm-1","faults":{"lose_answers":1}}`))
	if err != nil || resp.StatusCode != http.StatusNoContent {
		t.Fatal(resp, err)
	}
	start := platform.TaskStart{Task: api.TaskID{Job: "sweep"}, Attempt: 1, Resources: api.Resources{MilliCPU: 1000}}
	msg := platform.WorkerSync{Epoch: 1, Incarnation: report.Incarnation, LeaseExpiry: report.Clock + platform.WorkerTime(time.Hour), Starts: []platform.TaskStart{start}}
	if _, err = c.Sync(t.Context(), vm, msg); !errors.Is(err, platform.ErrWorkerUncertain) {
		t.Error(err)
	}
	if n := count.Load(); n != 2 {
		t.Errorf("%d exchanges reached the VM, want 2", n)
	}
	if runs := v.Record().Runs; len(runs) != 1 {
		t.Errorf("%+v", runs)
	}
	report, err = c.Sync(t.Context(), vm, platform.WorkerSync{Epoch: 1})
	if err != nil || len(report.Tasks) != 1 || report.Tasks[0].State != platform.RunRunning {
		t.Error(report, err)
	}
}

func TestErrorsAreMapped(t *testing.T) {
	_, vm, _, server := serve(t)
	c := httpworker.New(time.Second)
	if _, err := c.Sync(t.Context(), vm, platform.WorkerSync{Epoch: 5}); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Sync(t.Context(), vm, platform.WorkerSync{Epoch: 4}); !errors.Is(err, platform.ErrWorkerFenced) {
		t.Error("lower epoch: ", err)
	}
	other := vm
	other.ID = "vm-2"
	if _, err := c.Sync(t.Context(), other, platform.WorkerSync{Epoch: 5}); !errors.Is(err, platform.ErrWorkerUncertain) {
		t.Error("report of another VM: ", err)
	}
	redirect := httptest.NewServer(http.RedirectHandler(server.URL+"/w/vm-1/sync", http.StatusTemporaryRedirect))
	defer redirect.Close()
	other.Address = strings.TrimPrefix(redirect.URL, "http://")
	if _, err := c.Sync(t.Context(), other, platform.WorkerSync{Epoch: 5}); !errors.Is(err, platform.ErrWorkerUncertain) {
		t.Error("redirect: ", err)
	}
	server.Close()
	if _, err := httpworker.New(time.Second).Sync(t.Context(), vm, platform.WorkerSync{Epoch: 5}); !errors.Is(err, platform.ErrWorkerUnreachable) {
		t.Error("nobody listens: ", err)
	}
}
