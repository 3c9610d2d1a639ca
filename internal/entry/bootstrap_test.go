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

// TestStartWithLogDownTakesStateFromPeers checks that an entry VM that starts
// while the log is down imports the configuration in force from a peer and serves
// by it, and is not ready before that.
func TestStartWithLogDownTakesStateFromPeers(t *testing.T) {
	t.Parallel()
	s, err := site.Start(site.Config{
		DataCentres: []api.DataCentre{"a"}, VMsPerDataCentre: 1, Capacity: api.Resources{MilliCPU: 1000, MemoryMB: 1000},
		Services: []site.Service{{Name: "torquebench", ExecutorsPerDataCentre: 2, Slots: 8, Connections: 60}},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	entries, err := s.EntrySettings(2)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		e.DrainDeadline = settings.Duration(time.Second) // shards can't be released without the log
	}
	old := startNode(t, entries[0])
	waitFor(t, "the first entry VM to be ready", func() bool { return old.Status().Ready })
	record := `{"kind":"service","name":"torquebench","schema_version":2,"based_on":0,"spec":{"timeout_ms":4321}}`
	resp, err := http.Post("http://"+entries[0].Listen.Operators+"/v1/records", "application/json", strings.NewReader(record))
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("publish: %v, %v", resp, err)
	}
	resp.Body.Close()

	s.Log.SetFaults(logserver.Faults{Down: true})
	late := startNode(t, entries[1])
	if late.Status().Ready {
		t.Fatal("the late entry VM is ready without any state")
	}
	waitFor(t, "the late entry VM to be ready", func() bool { return late.Status().Ready })
	spec, ok := late.streams.configState.Service("torquebench")
	if !ok || spec.TimeoutMs != 4321 || late.Status().Revision != old.Status().Revision {
		t.Fatalf("imported state: spec %+v, revision %d", spec, late.Status().Revision)
	}
}

// startNode runs a node until the test ends.
func startNode(t *testing.T, s *settings.Settings) *Node {
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

// waitFor waits until done returns true. The timeout is so long that the result
// doesn't depend on the speed of the machine.
func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if done() {
			return
		}
	}
	t.Fatalf("timed out waiting for %s", what)
}
