package jobapi

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/skylarklock/skylarklock/internal/logging"
	"github.com/skylarklock/skylarklock/internal/queue"
	"github.com/skylarklock/skylarklock/platform"
)

// A process that is about to stop closes its clients' connections after any answer, so
// that they connect elsewhere.
func TestLeavingClosesConnections(t *testing.T) {
	for _, leaving := range []bool{false, true} {
		api := &API{
			Codec:         Codec{Remaining: platform.RemainingTime, EncodeError: platform.EncodeError},
			CurrentConfig: func() *queue.Configuration { return nil },
			Leaving:       func() bool { return leaving },
			Logger:        logging.Nop(),
		}
		w := httptest.NewRecorder()
		api.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "http://h/q/", nil))
		if closed := w.Header().Get("Connection") == "close"; closed != leaving {
			t.Errorf("leaving %t: Connection is %q", leaving, w.Header().Get("Connection"))
		}
	}
}
