package jobapi

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/skylarklock/skylarklock/internal/work"
)

// Guards against refusals that are larger than what was refused.
func TestRefusalOfManyFaultsIsShort(t *testing.T) {
	k := newKeyAPI(t, "null")
	step := `{"after":[-1` + strings.Repeat(",-1", work.MaxSteps-1) + `]}`
	body := `{"steps":[` + step + strings.Repeat(","+step, 29) + `]}`
	r := httptest.NewRequest(http.MethodPost, "http://h"+jobPath, strings.NewReader(body))
	w := httptest.NewRecorder()
	k.ServeHTTP(w, r)
	if w.Code != http.StatusBadRequest || w.Body.Len() > len(body) {
		t.Errorf("a submission of %d bytes with many faults: answered %d with %d bytes, want %d", len(body), w.Code, w.Body.Len(), http.StatusBadRequest)
	}
	if !strings.Contains(w.Body.String(), "more") {
		t.Errorf("the answer doesn't say that there are more: %.200s", w.Body)
	}
}
