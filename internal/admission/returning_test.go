package admission

import (
	"testing"
	"time"
)

// A job that comes back counts from its first attempt, so that it isn't accepted as if it had all its
// time left, and is forgotten after the window.
func TestReturningJobCountsFromItsFirstAttempt(t *testing.T) {
	var r Returning[int]
	ms := start.UnixMilli()
	r.Refused(1, ms, start)
	r.Refused(1, ms+1000, start.Add(time.Second))
	for _, c := range []struct {
		name      string
		id        int
		submitted int64
		at        time.Duration
		want      int64
	}{
		{"returning", 1, ms + 2000, 2 * time.Second, ms},
		{"new", 2, ms + 2000, 2 * time.Second, ms + 2000},
		{"clock of the machine set back", 1, ms - 3000, 2 * time.Second, ms - 3000},
		{"clock of the machine set forward", 1, ms + 3_600_000, 3 * time.Second, ms + 3_600_000 - returnWindow.Milliseconds()},
		{"after the window", 1, ms + 20_000, 20 * time.Second, ms + 20_000},
	} {
		if got := r.FirstSubmittedMs(c.id, c.submitted, start.Add(c.at)); got != c.want {
			t.Errorf("%s: %d, want %d", c.name, got-ms, c.want-ms)
		}
	}
	if len(r.first) != 0 || len(r.order) != 0 {
		t.Errorf("%d jobs are remembered after the window", len(r.first))
	}
}

// The memory of refused jobs is bounded while callers keep submitting new ones.
func TestReturningIsBounded(t *testing.T) {
	var r Returning[int]
	for i := range 2 * maxReturning {
		r.Refused(i, 0, start)
	}
	if len(r.first) != maxReturning || len(r.order) != maxReturning {
		t.Errorf("%d jobs", len(r.first))
	}
}
