package platform

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
)

// Each key is logged once until it can be read, records without a key are logged once
// for each offset, and the number of stored keys is bounded.
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
		t.Errorf("three unreadable records give %d log lines:\n%s", n, &logged)
	}
	u.MarkReadable("a")
	u.LogUnreadable(Record{Key: "a", Offset: 9}, fault)
	if n := lines(); n != 4 || !strings.Contains(logged.String(), "offset=9") {
		t.Errorf("a key that was readable in between: %d log lines:\n%s", n, &logged)
	}
	for i := range 3 * maxUnreadableKeys {
		u.LogUnreadable(Record{Key: fmt.Sprint(i)}, fault)
	}
	if len(u.loggedOffsets) > maxUnreadableKeys {
		t.Errorf("%d keys are stored", len(u.loggedOffsets))
	}
}
