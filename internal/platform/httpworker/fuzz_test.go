package httpworker

import (
	"bytes"
	"io"
	"net/http"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/skylarklock/skylarklock/internal/platform"
)

// FuzzReadAnswer checks that a report is accepted only if it is complete and from the
// VM that was called.
func FuzzReadAnswer(f *testing.F) {
	valid, _ := cbor.Marshal(platform.WorkerReport{VM: "v", Incarnation: 3, Clock: 5})
	f.Add(valid)
	f.Add(valid[:len(valid)/2])
	f.Add([]byte{0xa1, 0x61, 0x56, 0x61, 0x77})
	f.Fuzz(func(t *testing.T, body []byte) {
		resp := &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(body))}
		report, err := readAnswer("v", resp)
		if err == nil && report.VM != "v" {
			t.Fatalf("accepted a report of VM %q", report.VM)
		}
		_, _ = ReadSync(bytes.NewReader(body))
	})
}
