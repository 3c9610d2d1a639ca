package httpworker_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/platform/httpworker"
	standin "github.com/skylarklock/skylarklock/internal/standin/worker"
)

// serve runs a server with one stand-in VM and counts the exchanges that it receives.
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

// The answer is lost on a reused connection, since net/http may retry in that case.
func TestLostAnswerIsUncertainAndNotRetried(t *testing.T) {
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
		t.Errorf("the VM received %d exchanges, want 2", n)
	}
	if runs := v.Record().Runs; len(runs) != 1 {
		t.Errorf("runs %+v, want one", runs)
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
		t.Error("closed server: ", err)
	}
}

// BenchmarkExchange measures exchanges with a VM that runs 25 tasks.
func BenchmarkExchange(b *testing.B) {
	v := standin.New("vm-1", api.Resources{MilliCPU: 64_000}, time.Now, 0)
	server := httptest.NewServer(standin.NewHost(v))
	defer server.Close()
	vm := api.VM{ID: "vm-1", Address: strings.TrimPrefix(server.URL, "http://") + "/w/vm-1"}
	c := httpworker.New(time.Second)
	msg := platform.WorkerSync{Epoch: 1, Incarnation: 1, LeaseExpiry: platform.WorkerTime(time.Hour)}
	for i := range uint32(25) {
		msg.Starts = append(msg.Starts, platform.TaskStart{Task: api.TaskID{Job: "team-01/job-000001", Index: i}, Attempt: 1, Resources: api.Resources{MilliCPU: 1000, MemoryMB: 2000}})
	}
	if _, err := c.Sync(b.Context(), vm, msg); err != nil {
		b.Fatal(err)
	}
	msg.Starts = nil
	var report platform.WorkerReport
	for b.Loop() {
		report, _ = c.Sync(b.Context(), vm, msg)
	}
	data, _ := cbor.Marshal(report)
	b.ReportMetric(float64(len(data)), "report-bytes")
	data, _ = cbor.Marshal(msg)
	b.ReportMetric(float64(len(data)), "message-bytes")
}
