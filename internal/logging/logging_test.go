package logging

import (
	"bytes"
	"strings"
	"testing"
)

// An event is written as one line with its fields, also if a value has line breaks and
// quotes.
func TestEachEventIsOneLine(t *testing.T) {
	var out bytes.Buffer
	log, err := New(&out, "info")
	if err != nil {
		t.Fatal(err)
	}
	ForNode(log, "n1", "bne1").WithField("detail", "a=\"b\"\nlevel=error").Info("record accepted")
	log.Debug("not shown")
	line := out.String()
	for _, part := range []string{`level=info`, `msg="record accepted"`, `node=n1`, `data_centre=bne1`, `detail="a=\"b\"\nlevel=error"`} {
		if !strings.Contains(line, part) {
			t.Errorf("%s is missing in %s", part, line)
		}
	}
	if strings.Count(line, "\n") != 1 {
		t.Errorf("one event was written as more than one line: %q", line)
	}
	if _, err := New(&out, "loud"); err == nil {
		t.Error("the unknown level loud was accepted")
	}
}
