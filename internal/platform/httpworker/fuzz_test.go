package httpworker

import (
	"bytes"
	"io"
	"net/http"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/skylarklock/skylarklock/internal/platform"
)

// FuzzReadAnswer: a report is taken only whole and only from the VM that was
// asked.
func FuzzReadAnswer(f *testing.F) {
	sound, _ := cbor.Marshal(platform.WorkerReport{VM: "v", Incarnation: 3, Clock: 5})
	f.Add(sound)
	f.Add(sound[:len(sound)/2])
	f.Add([]byte{0xa1, 0x61, 0x56, 0x61, 0x77})
	f.Fuzz(func(t *testing.T, body []byte) {
		resp := &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(body))}
		report, err := readAnswer("v", resp)
		if err == nil && report.VM != "v" {
			t.Fatalf("took the report of %q", report.VM)
		}
		_, _ = ReadSync(bytes.NewReader(body))
	})
}
