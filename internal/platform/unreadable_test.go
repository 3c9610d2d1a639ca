package platform

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
)

// Each key is logged once until it can be read, records without a key once for
// each place, and what is remembered is bounded.
func TestUnreadableLogger(t *testing.T) {
	var logged bytes.Buffer
	logger := logrus.New()
	logger.SetOutput(&logged)
	u := &UnreadableLogger{Logger: logrus.NewEntry(logger)}
	lines := func() int { return strings.Count(logged.String(), "level=error") }
	fault := errors.New("fault")
	for range 2 {
		u.LogUnreadable(Record{Key: "a", Offset: 1}, fault)
		u.LogUnreadable(Record{Offset: 2, Err: ErrMalformed}, ErrMalformed)
		u.LogUnreadable(Record{Offset: 3, Err: ErrMalformed}, ErrMalformed)
	}
	if n := lines(); n != 3 {
		t.Errorf("three records are logged %d times:\n%s", n, &logged)
	}
	u.MarkReadable("a")
	u.LogUnreadable(Record{Key: "a", Offset: 9}, fault)
	if n := lines(); n != 4 || !strings.Contains(logged.String(), "offset=9") {
		t.Errorf("a key that was readable meanwhile: %d lines:\n%s", n, &logged)
	}
	for i := range 3 * maxUnreadable {
		u.LogUnreadable(Record{Key: fmt.Sprint(i)}, fault)
	}
	if len(u.logged) > maxUnreadable {
		t.Errorf("%d keys are remembered", len(u.logged))
	}
}
