package settings

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/skylarklock/skylarklock/internal/finding"
)

const minimal = `{
  "node_id": "bne1-a", "data_centre": "bne1", "data_centres": ["bne1", "bne2"],
  "listen": {"callers": "0.0.0.0:8000", "operators": "10.0.0.1:8001", "peers": "10.0.0.1:8002"},
  "log": {"urls": ["http://10.9.0.1:7000"]},
  "vm_list": {"url": "http://10.9.0.1:7001"}
}`

func TestMinimalSettingsGetDefaults(t *testing.T) {
	s, err := Decode("s.json", []byte(minimal))
	if err != nil {
		t.Fatal(err)
	}
	if s.AdvertisePeer != "10.0.0.1:8002" || s.Hold.Hold != Default().Hold.Hold {
		t.Fatalf("got %+v", s)
	}
	data, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Decode("again", data); err != nil {
		t.Fatalf("marshalled settings do not decode: %v", err)
	}
}

// TestAllFindingsAreReportedWithPaths checks that all invalid settings of a file
// are reported together, each with its path, the file and the allowed values.
func TestAllFindingsAreReportedWithPaths(t *testing.T) {
	invalid := `{
	  "node_id": "bad id", "data_centre": "bne1", "data_centres": ["bne1", "bne1"],
	  "listen": {"callers": "localhost:80", "operators": "10.0.0.1:1", "peers": "0.0.0.0:2", "admins": "x"},
	  "peers": ["10.0.0.2:8002", "10.0.0.3:0"],
	  "log": {"urls": ["http://log.example:7000"], "append_timeout": 2},
	  "vm_list": {"url": "ftp://10.9.0.1:7001", "interval": null},
	  "hold": {"hold": "100ms", "hold": "3s", "drift": "low"},
	  "limits": {"max_body_bytes": 1}, "log_level": "loud"
	}`
	_, err := Decode("s.json", []byte(invalid))
	var l *finding.List
	if !errors.As(err, &l) {
		t.Fatalf("got %v", err)
	}
	got := map[string]bool{}
	for _, f := range l.Findings {
		got[f.Path] = true
		if f.File != "s.json" || f.Allowed == "" {
			t.Errorf("incomplete finding %+v", f)
		}
	}
	want := []string{
		"node_id", "data_centres[1]", "listen.callers", "listen.admins", "advertise_peer", "peers[1]",
		"log.urls[0]", "log.append_timeout", "vm_list.url", "vm_list.interval", "hold.hold",
		"hold.drift", "limits.max_body_bytes", "log_level",
	}
	for _, path := range want {
		if !got[path] {
			t.Errorf("no finding for %s in:\n%v", path, err)
		}
	}
	if len(got) != len(want) {
		t.Errorf("findings for %d paths, want %d:\n%v", len(got), len(want), err)
	}
}

func TestSyntaxErrorNamesLine(t *testing.T) {
	_, err := Decode("s.json", []byte("{\n  \"node_id\": }"))
	var l *finding.List
	if !errors.As(err, &l) || len(l.Findings) != 1 || l.Findings[0].Value != "line 2, column 14: invalid character '}' looking for beginning of value" {
		t.Fatalf("got %v", err)
	}
}

func TestFlagsAndEnvironmentOverrideSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.json")
	if err := os.WriteFile(path, []byte(minimal), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("SKYLARKLOCK_LOG_LEVEL", "debug")
	s, err := Parse([]string{"-settings", path, "-node-id", "bne1-b"})
	if err != nil || s.NodeID != "bne1-b" || s.LogLevel != "debug" {
		t.Fatalf("got %+v, %v", s, err)
	}
}

// FuzzDecode decodes arbitrary data. Accepted settings must pass Validate, and
// rejected ones must have findings.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(minimal))
	f.Add([]byte(`{"hold":{"hold":"9999999h"},"peers":[null],"x":{}}`))
	f.Add([]byte(`[{"log":`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Decode("f", data)
		var l *finding.List
		switch {
		case err == nil && s.Validate() != nil:
			t.Fatal("accepted settings fail Validate")
		case err != nil && (!errors.As(err, &l) || len(l.Findings) == 0):
			t.Fatalf("rejected without findings: %v", err)
		}
	})
}
