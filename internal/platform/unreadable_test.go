package platform

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

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

// Guards against a log that grows without bound: more unreadable records than keys that are kept, written again and again, gave a
// line each time.
func TestManyUnreadableRecordsHaveFewLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var logged bytes.Buffer
		logger := logrus.New()
		logger.SetOutput(&logged)
		u := &UnreadableLogger{Logger: logrus.NewEntry(logger)}
		const keys, rounds = 3 * maxUnreadableKeys, 40
		for round := range rounds {
			for i := range keys {
				u.LogUnreadable(Record{Key: fmt.Sprint(i), Offset: Offset(round*keys + i)}, errors.New("fault"))
			}
			time.Sleep(1500 * time.Millisecond)
		}
		if n := strings.Count(logged.String(), "\n"); n > maxUnreadableKeys+1 {
			t.Errorf("%d unreadable records, written %d times in a minute, give %d lines", keys, rounds, n)
		}
		time.Sleep(unreadableLogPeriod)
		before := logged.Len()
		u.LogUnreadable(Record{Key: "another"}, errors.New("fault"))
		if logged.Len() == before {
			t.Error("an unreadable record has no line after all others were dropped")
		}
	})
}
