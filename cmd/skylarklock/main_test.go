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

// childVariable makes the test binary run as the entry process itself.
const childVariable = "SKYLARKLOCK_TEST_CHILD"

// patience bounds each wait; no verdict depends on how long one takes.
const patience = 60 * time.Second

func TestMain(m *testing.M) {
	if os.Getenv(childVariable) != "" {
		os.Exit(run(os.Args[1:]))
	}
	os.Exit(m.Run())
}

// start runs an entry process with settings from path.
func start(t *testing.T, path string) (*exec.Cmd, *bytes.Buffer) {
	t.Helper()
	cmd := exec.Command(os.Args[0], "-settings", path)
	cmd.Env = append(os.Environ(), childVariable+"=1")
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

// send sends one request and returns the answer with its body.
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

func await(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if done() {
			return
		}
	}
	t.Fatalf("waited in vain: %s", what)
}

func TestEndToEndWithSeparateProcesses(t *testing.T) {
	s, err := site.Start(site.Config{
		DataCentres: []api.DataCentre{"dc-a"}, VMs: 3, VMsPerRack: 2,
		Capacity: api.Resources{MilliCPU: 32_000, MemoryMB: 64 << 10},
		Services: []site.Service{{Name: "torquebench", Executors: 3, Slots: 8, Connections: 60, ServiceTime: time.Millisecond}},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	entries, err := s.Entries(2)
	if err != nil {
		t.Fatal(err)
	}
	var processes []*exec.Cmd
	var logs []*bytes.Buffer
	for _, e := range entries {
		cmd, log := start(t, writeSettings(t, e))
		processes, logs = append(processes, cmd), append(logs, log)
	}
	caller := func(i int) string { return "http://" + entries[i].Listen.Callers }
	await(t, "readiness", func() bool {
		a, _ := send(t, http.MethodGet, caller(0)+"/v1/ready", "", nil)
		b, _ := send(t, http.MethodGet, caller(1)+"/v1/ready", "", nil)
		return a.StatusCode == http.StatusOK && b.StatusCode == http.StatusOK
	})

	record := `{"kind":"service","name":"torquebench","schema_version":2,"based_on":0,"spec":{"service":"torquebench"}}`
	if resp, text := send(t, http.MethodPost, "http://"+entries[0].Listen.Operators+"/v1/records", record, nil); resp.StatusCode != http.StatusOK {
		t.Fatalf("publish: %d %s", resp.StatusCode, text)
	}

	idempotent := map[string]string{api.HeaderRequestID: "sweep-1", api.HeaderIdempotent: "true"}
	await(t, "an idempotent request that ran", func() bool {
		resp, _ := send(t, http.MethodPost, caller(1)+"/v1/services/torquebench/sweep", "sweep", idempotent)
		return resp.Header.Get(api.HeaderOutcome) == string(api.OutcomeRan)
	})

	billed := map[string]string{api.HeaderRequestID: "billed-1"}
	for i := range 4 {
		var text string
		await(t, "the billed check's answer", func() bool {
			var resp *http.Response
			resp, text = send(t, http.MethodPost, caller(i%2)+"/v1/services/torquebench/check", "bill", billed)
			return resp.Header.Get(api.HeaderOutcome) == string(api.OutcomeRan)
		})
		if !strings.Contains(text, "billed-1") {
			t.Fatalf("answer of another request: %q", text)
		}
	}
	runs := 0
	for _, x := range s.Executors {
		runs += len(x.Record().Runs["billed-1"])
	}
	if runs != 1 {
		t.Fatalf("the billed check ran %d times", runs)
	}

	job := `{"id":"appraisal","team":"sales","class":"batch","tasks":3,"resources":{"milli_cpu":1000,"memory_mb":64},"run_time_ns":1000000}`
	if resp, text := send(t, http.MethodPost, caller(0)+"/v1/jobs", job, nil); resp.StatusCode != http.StatusAccepted {
		t.Fatalf("submit: %d %s", resp.StatusCode, text)
	}
	await(t, "the batch job's end", func() bool {
		_, text := send(t, http.MethodGet, caller(1)+"/v1/jobs/appraisal", "", nil)
		return strings.Contains(text, `"finished":3`)
	})

	for i, p := range processes {
		if err := p.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		if err := p.Wait(); err != nil {
			t.Errorf("entry %d did not end well: %v\n%s", i, err, logs[i].String())
		}
	}
}

func TestInvalidSettingsAreReportedTogether(t *testing.T) {
	path := filepath.Join(t.TempDir(), "bad.json")
	bad := `{"node_id":"","data_centre":"x","listen":{"callers":"localhost:80"},"unknown":1}`
	if err := os.WriteFile(path, []byte(bad), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd, logs := start(t, path)
	_ = cmd.Wait()
	if code := cmd.ProcessState.ExitCode(); code != exitBadInput {
		t.Errorf("exit code %d, want %d", code, exitBadInput)
	}
	for _, place := range []string{"node_id", "listen.callers", "unknown"} {
		if !strings.Contains(logs.String(), place) {
			t.Errorf("no finding at %s in:\n%s", place, logs.String())
		}
	}
}

// A second signal ends the process at once, whatever is still in flight.
func TestSecondSignalTerminatesImmediately(t *testing.T) {
	s, err := site.Start(site.Config{
		DataCentres: []api.DataCentre{"dc-a"}, VMs: 1, Capacity: api.Resources{MilliCPU: 1000, MemoryMB: 1000},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	entries, err := s.Entries(1)
	if err != nil {
		t.Fatal(err)
	}
	entries[0].ReadinessDelay = settings.Duration(time.Minute) // the drain lasts longer than the test
	entries[0].DrainDeadline = settings.Duration(2 * time.Minute)
	process, logs := start(t, writeSettings(t, entries[0]))
	ready := func() int {
		resp, _ := send(t, http.MethodGet, "http://"+entries[0].Listen.Callers+"/v1/ready", "", nil)
		return resp.StatusCode
	}
	await(t, "readiness", func() bool { return ready() == http.StatusOK })
	_ = process.Process.Signal(syscall.SIGTERM)
	await(t, "the drain", func() bool { return ready() == http.StatusServiceUnavailable })
	_ = process.Process.Signal(syscall.SIGTERM)
	_ = process.Wait()
	status, ok := process.ProcessState.Sys().(syscall.WaitStatus)
	if !ok || !status.Signaled() || status.Signal() != syscall.SIGTERM {
		t.Fatalf("ended as %v\n%s", process.ProcessState, logs.String())
	}
}
