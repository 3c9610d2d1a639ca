package entry

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/logging"
	"github.com/skylarklock/skylarklock/internal/settings"
	"github.com/skylarklock/skylarklock/internal/standin/logserver"
	"github.com/skylarklock/skylarklock/internal/standin/site"
)

// An entry VM that starts while the log is down takes the configuration in
// force from a peer, is not ready before, and serves by it.
func TestStartWithLogDownTakesStateFromPeers(t *testing.T) {
	t.Parallel()
	s, err := site.Start(site.Config{
		DataCentres: []api.DataCentre{"a"}, VMs: 1, Capacity: api.Resources{MilliCPU: 1000, MemoryMB: 1000},
		Services: []site.Service{{Name: "torquebench", Executors: 2, Slots: 8, Connections: 60}},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	entries, err := s.Entries(2)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		e.DrainDeadline = settings.Duration(time.Second) // nothing can be handed on without the log
	}
	old := startForTest(t, entries[0])
	awaitForTest(t, "the first entry VM to be ready", func() bool { return old.Status().Ready })
	record := `{"kind":"service","name":"torquebench","schema_version":2,"based_on":0,"spec":{"timeout_ms":4321}}`
	resp, err := http.Post("http://"+entries[0].Listen.Operators+"/v1/records", "application/json", strings.NewReader(record))
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("publish: %v, %v", resp, err)
	}
	resp.Body.Close()

	s.Log.SetFaults(logserver.Faults{Down: true})
	late := startForTest(t, entries[1])
	if late.Status().Ready {
		t.Fatal("ready without any state")
	}
	awaitForTest(t, "the late entry VM to be ready", func() bool { return late.Status().Ready })
	spec, ok := late.streams.configs.Service("torquebench")
	if !ok || spec.TimeoutMs != 4321 || late.Status().Revision != old.Status().Revision {
		t.Fatalf("state taken: %+v, revision %d", spec, late.Status().Revision)
	}
}

// startForTest runs a node until the test ends.
func startForTest(t *testing.T, s *settings.Settings) *Node {
	t.Helper()
	log, err := logging.New(io.Discard, "error")
	if err != nil {
		t.Fatal(err)
	}
	n, err := New(s, log)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = n.Run(ctx)
	}()
	t.Cleanup(func() {
		stop()
		<-ended
	})
	return n
}

// awaitForTest waits with a patience that no verdict depends on.
func awaitForTest(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if done() {
			return
		}
	}
	t.Fatalf("waited in vain for %s", what)
}
