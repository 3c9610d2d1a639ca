package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/settings"
	"github.com/skylarklock/skylarklock/internal/standin/site"
)

// childEnvVar is the environment variable that makes the test binary run as
// the entry process.
const childEnvVar = "SKYLARKLOCK_TEST_CHILD"

// waitTimeout bounds each wait. No test result depends on how long a wait
// takes, as long as it ends in time.
const waitTimeout = 60 * time.Second

func TestMain(m *testing.M) {
	if os.Getenv(childEnvVar) != "" {
		os.Exit(run(os.Args[1:]))
	}
	os.Exit(m.Run())
}

// startEntry starts an entry process with the settings file at path. It returns
// the process and its log output.
func startEntry(t *testing.T, path string) (*exec.Cmd, *bytes.Buffer) {
	t.Helper()
	cmd := exec.Command(os.Args[0], "-settings", path)
	cmd.Env = append(os.Environ(), childEnvVar+"=1")
	var logs bytes.Buffer
	cmd.Stderr = &logs
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	return cmd, &logs
}

func writeSettings(t *testing.T, s *settings.Settings) string {
	t.Helper()
	data, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), string(s.NodeID)+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// send sends one request and returns the response with its body. If the request
// fails, the response is empty and the text is the error.
func send(t *testing.T, method, url, body string, header map[string]string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return &http.Response{}, err.Error()
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return resp, string(text)
}

// waitFor polls until done returns true, and fails the test after waitTimeout.
func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if done() {
			return
		}
	}
	t.Fatalf("timed out waiting for %s", what)
}

// TestEndToEndWithSeparateProcesses runs two entry processes with stand-ins of
// the platform: a record is published, an idempotent request runs, a
// non-idempotent request that is retried through both entry VMs runs exactly
// once, a batch job finishes, and both processes shut down gracefully.
func TestEndToEndWithSeparateProcesses(t *testing.T) {
	s, err := site.Start(site.Config{
		DataCentres: []api.DataCentre{"dc-a"}, VMsPerDataCentre: 3, VMsPerRack: 2,
		Capacity: api.Resources{MilliCPU: 32_000, MemoryMB: 64 << 10},
		Services: []site.Service{{Name: "torquebench", ExecutorsPerDataCentre: 3, Slots: 8, Connections: 60, ServiceTime: time.Millisecond}},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	entries, err := s.EntrySettings(2)
	if err != nil {
		t.Fatal(err)
	}
	var processes []*exec.Cmd
	var logs []*bytes.Buffer
	for _, e := range entries {
		cmd, log := startEntry(t, writeSettings(t, e))
		processes, logs = append(processes, cmd), append(logs, log)
	}
	caller := func(i int) string { return "http://" + entries[i].Listen.Callers }
	waitFor(t, "readiness", func() bool {
		a, _ := send(t, http.MethodGet, caller(0)+"/v1/ready", "", nil)
		b, _ := send(t, http.MethodGet, caller(1)+"/v1/ready", "", nil)
		return a.StatusCode == http.StatusOK && b.StatusCode == http.StatusOK
	})

	record := `{"kind":"service","name":"torquebench","schema_version":2,"based_on":0,"spec":{"service":"torquebench"}}`
	if resp, text := send(t, http.MethodPost, "http://"+entries[0].Listen.Operators+"/v1/records", record, nil); resp.StatusCode != http.StatusOK {
		t.Fatalf("publish: %d %s", resp.StatusCode, text)
	}

	idempotent := map[string]string{api.HeaderRequestID: "sweep-1", api.HeaderIdempotent: "true"}
	waitFor(t, "the idempotent request to run", func() bool {
		resp, _ := send(t, http.MethodPost, caller(1)+"/v1/services/torquebench/sweep", "sweep", idempotent)
		return resp.Header.Get(api.HeaderOutcome) == string(api.OutcomeRan)
	})

	notIdempotent := map[string]string{api.HeaderRequestID: "billed-1"}
	for i := range 4 {
		var text string
		waitFor(t, "the answer of the non-idempotent request", func() bool {
			var resp *http.Response
			resp, text = send(t, http.MethodPost, caller(i%2)+"/v1/services/torquebench/check", "bill", notIdempotent)
			return resp.Header.Get(api.HeaderOutcome) == string(api.OutcomeRan)
		})
		if !strings.Contains(text, "billed-1") {
			t.Fatalf("got the answer of another request: %q", text)
		}
	}
	runs := 0
	for _, x := range s.Executors {
		runs += len(x.Record().Runs["billed-1"])
	}
	if runs != 1 {
		t.Fatalf("the non-idempotent request ran %d times, want 1", runs)
	}

	job := `{"id":"appraisal","team":"sales","class":"batch","tasks":3,"resources":{"milli_cpu":1000,"memory_mb":64},"run_time_ns":1000000}`
	if resp, text := send(t, http.MethodPost, caller(0)+"/v1/jobs", job, nil); resp.StatusCode != http.StatusAccepted {
		t.Fatalf("submit: %d %s", resp.StatusCode, text)
	}
	waitFor(t, "the batch job to finish", func() bool {
		_, text := send(t, http.MethodGet, caller(1)+"/v1/jobs/appraisal", "", nil)
		return strings.Contains(text, `"finished":3`)
	})

	for i, p := range processes {
		if err := p.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		if err := p.Wait(); err != nil {
			t.Errorf("entry process %d failed: %v\n%s", i, err, logs[i].String())
		}
	}
}

func TestInvalidSettingsAreReportedTogether(t *testing.T) {
	path := filepath.Join(t.TempDir(), "bad.json")
	invalid := `{"node_id":"","data_centre":"x","listen":{"callers":"localhost:80"},"unknown":1}`
	if err := os.WriteFile(path, []byte(invalid), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd, logs := startEntry(t, path)
	_ = cmd.Wait()
	if code := cmd.ProcessState.ExitCode(); code != exitBadInput {
		t.Errorf("exit code %d, want %d", code, exitBadInput)
	}
	for _, field := range []string{"node_id", "listen.callers", "unknown"} {
		if !strings.Contains(logs.String(), field) {
			t.Errorf("no finding for %s in:\n%s", field, logs.String())
		}
	}
}

// TestSecondSignalTerminatesImmediately sends a second SIGTERM during a drain
// and checks that it terminates the process before the drain ends.
func TestSecondSignalTerminatesImmediately(t *testing.T) {
	s, err := site.Start(site.Config{
		DataCentres: []api.DataCentre{"dc-a"}, VMsPerDataCentre: 1, Capacity: api.Resources{MilliCPU: 1000, MemoryMB: 1000},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	entries, err := s.EntrySettings(1)
	if err != nil {
		t.Fatal(err)
	}
	entries[0].ReadinessDelay = settings.Duration(time.Minute) // the drain lasts longer than the test
	entries[0].DrainDeadline = settings.Duration(2 * time.Minute)
	process, logs := startEntry(t, writeSettings(t, entries[0]))
	ready := func() int {
		resp, _ := send(t, http.MethodGet, "http://"+entries[0].Listen.Callers+"/v1/ready", "", nil)
		return resp.StatusCode
	}
	waitFor(t, "readiness", func() bool { return ready() == http.StatusOK })
	_ = process.Process.Signal(syscall.SIGTERM)
	waitFor(t, "the drain to start", func() bool { return ready() == http.StatusServiceUnavailable })
	_ = process.Process.Signal(syscall.SIGTERM)
	_ = process.Wait()
	status, ok := process.ProcessState.Sys().(syscall.WaitStatus)
	if !ok || !status.Signaled() || status.Signal() != syscall.SIGTERM {
		t.Fatalf("process state is %v, want terminated by SIGTERM\n%s", process.ProcessState, logs.String())
	}
}
