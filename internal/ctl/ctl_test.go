package ctl

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// scriptedEntry is a fake entry VM that returns the given answers in order and
// then repeats the last one.
type scriptedEntry struct {
	answers  []string // each is a status code, a space and a body
	requests []string // method, path and publish ID of each request
}

func (s *scriptedEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.requests = append(s.requests, strings.TrimSpace(r.Method+" "+r.URL.Path+" "+r.Header.Get(api.HeaderPublishID)))
	next := s.answers[0]
	if len(s.answers) > 1 {
		s.answers = s.answers[1:]
	}
	status := map[string]int{"200": 200, "202": 202, "400": 400, "404": 404, "409": 409, "503": 503}[next[:3]]
	if status == 503 || status == 202 {
		w.Header().Set("Retry-After", "7")
	}
	w.WriteHeader(status)
	_, _ = io.WriteString(w, next[4:])
}

// TestExitCodesAndOutput runs subcommands against scripted answers and checks the
// exit code, the output, the number of requests and the retry delays.
func TestExitCodesAndOutput(t *testing.T) {
	dir := t.TempDir()
	file := func(name, content string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	good := file("good.json", `{"kind":"quota","name":"t","schema_version":1,"spec":{}}`)
	bad := file("bad.json", `[{"kind":"quota","name":"t","schema_version":1,"spec":{"weight":0,"wieght":1}}]`)
	accepted := `200 {"outcome":"accepted","revision":4}`
	cases := []struct {
		name     string
		args     []string
		answers  []string
		code     int
		output   string // expected part of the output
		requests int    // expected number
		waits    int    // expected number of retry delays
	}{
		{"no subcommand", nil, nil, ExitBadInput, "SUBCOMMANDS", 0, 0},
		{"unknown flag", []string{"status", "-x"}, nil, ExitBadInput, "-x", 0, 0},
		{"no entry", []string{"status"}, nil, ExitBadInput, "-entry", 0, 0},
		{"valid", []string{"validate", good}, nil, ExitOK, "records=1 faults=0", 0, 0},
		{"all findings of all files", []string{"validate", bad, bad}, nil, ExitBadInput, "bad.json: [0].spec.weight: found 0, want 1 to", 0, 0},
		{"invalid settings", []string{"validate", "-settings", good}, nil, ExitBadInput, "good.json: node_id: want 1 to 64", 0, 0},
		{"invalid records are not published", []string{"publish", good, bad}, nil, ExitBadInput, "[0].spec.wieght", 0, 0},
		{"accepted", []string{"publish", "-publish-id", "me", good, good}, []string{accepted}, ExitOK, "outcome=accepted revision=4", 2, 0},
		{"conflict", []string{"publish", good, good}, []string{`409 {"outcome":"conflict","in_force":9,"detail":"taken"}`}, ExitConflict, "in_force=9", 1, 0},
		{"invalid according to the entry VM", []string{"publish", good}, []string{`400 {"outcome":"invalid","findings":[{"path":"spec.x","allowed":"y"}]}`}, ExitBadInput, "good.json[0]: spec.x: want y", 1, 0},
		{"outcome known after retries", []string{"publish", good}, []string{`503 {"outcome":"not-written"}`, `202 {"outcome":"unsettled"}`, accepted}, ExitOK, "accepted", 3, 2},
		{"conflict that does not cover an earlier attempt", []string{"publish", "-attempts", "2", good}, []string{`202 {"outcome":"unsettled"}`, `409 {"outcome":"conflict","in_force":0}`}, ExitFailed, "gave up after 2", 2, 1},
		{"conflict that covers an earlier attempt", []string{"publish", good}, []string{`202 {"outcome":"unsettled"}`, `409 {"outcome":"conflict","in_force":9}`}, ExitConflict, "conflict", 2, 1},
		{"outcome never known", []string{"publish", "-attempts", "2", good}, []string{`202 {"outcome":"unsettled"}`}, ExitFailed, "gave up after 2", 2, 1},
		{"refused permanently", []string{"publish", good}, []string{`404 {"error":"not here"}`}, ExitBadInput, "404 not here", 1, 0},
		{"explained", []string{"explain", "task", "j", "3"}, []string{`200 {"job":"j","state":"pending","reason":"no_capacity"}`}, ExitOK, `"reason": "no_capacity"`, 1, 0},
		{"unknown job", []string{"explain", "job", "k"}, []string{`404 {"error":"no job k"}`}, ExitFailed, "404 no job k", 1, 0},
		{"bad index", []string{"explain", "task", "j", "-1"}, nil, ExitBadInput, "index", 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			entry := &scriptedEntry{answers: c.answers}
			server := httptest.NewServer(entry)
			defer server.Close()
			t.Setenv("SKYLARKCTL_ENTRY", server.URL)
			if c.name == "no entry" {
				t.Setenv("SKYLARKCTL_ENTRY", "")
			}
			var out bytes.Buffer
			var waits []time.Duration
			cmd := &command{stdout: &out, sleep: func(_ context.Context, d time.Duration) error {
				waits = append(waits, d)
				return nil
			}}
			code := Run(t.Context(), newRoot(cmd, &out, nil), c.args, &out)
			if code != c.code || !strings.Contains(out.String(), c.output) {
				t.Errorf("exit code %d, want %d; printed:\n%s", code, c.code, out.String())
			}
			if len(entry.requests) != c.requests || len(waits) != c.waits {
				t.Errorf("unexpected number of requests or waits: requests %v, waits %v", entry.requests, waits)
			}
			for _, d := range waits {
				if d != 7*time.Second {
					t.Errorf("waited %v, want the Retry-After delay of 7s", d)
				}
			}
			if c.name == "accepted" && entry.requests[1] != "POST /v1/records me" {
				t.Errorf("requests %v, want a publish id in the second", entry.requests)
			}
		})
	}
}
