package ctl

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const sampleLogLines = `time="2026-09-06T15:00:01Z" level=info msg="request not confirmed" answered=503 data_centre=z1 error="the store has been silent for a while" job=00000000000000a1 node=n1 queue=q
no event
time="2026-09-06T15:00:02Z" level=info msg="job ended" advised_ms=20 data_centre=z1 ended_ms=900 epoch=3 job=00000000000000b2 node=n2 objective_ms=1000 queue=q started_ms=40 state=completed
`

func TestStoryAndTally(t *testing.T) {
	file := filepath.Join(t.TempDir(), "lines")
	if err := os.WriteFile(file, []byte(sampleLogLines), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name   string
		args   []string
		stdin  string
		code   int
		output string
	}{
		{"refused", []string{"story", "-lines", file, "00000000000000a1"}, "", ExitOK, "00000000000000a1 refused: the store took nothing\n"},
		{"completed", []string{"story", "00000000000000b2"}, sampleLogLines, ExitOK, "advised after 20ms, started after 40ms, ended after 900ms\n"},
		{"not in the lines", []string{"story", "00000000000000c3"}, sampleLogLines, ExitOK, "00000000000000c3 not seen: the lines don't tell\n"},
		{"invalid ID", []string{"story", "a1"}, sampleLogLines, ExitBadInput, "16 hexadecimal"},
		{"no job", []string{"story"}, sampleLogLines, ExitBadInput, "one job"},
		{"no such file", []string{"tally", "-lines", file + "x"}, "", ExitBadInput, "no such file"},
		{"tally", []string{"tally"}, sampleLogLines, ExitOK, "1     q      refused    the store took nothing\n"},
		{"account", []string{"account", "-lines", file}, "", ExitOK, "q      in time      1     900"},
		{"account by unknown key", []string{"account", "-by", "colour"}, sampleLogLines, ExitBadInput, "unknown key \"colour\""},
		{"account of a job", []string{"account", "00000000000000b2"}, sampleLogLines, ExitBadInput, "no arguments"},
		{"skipped lines", []string{"tally"}, sampleLogLines, ExitOK, "1 lines hold no event"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out bytes.Buffer
			stdin := strings.NewReader(c.stdin)
			root := New(&out, &out, Story(stdin, &out), Tally(stdin, &out), Account(stdin, &out))
			if code := Run(t.Context(), root, c.args, &out); code != c.code {
				t.Errorf("exit code %d, want %d", code, c.code)
			}
			if !strings.Contains(out.String(), c.output) {
				t.Errorf("output %q does not contain %q", out.String(), c.output)
			}
		})
	}
}
