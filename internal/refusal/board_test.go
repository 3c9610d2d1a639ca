package refusal

import (
	"encoding/binary"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/skylarklock/skylarklock/internal/work"
)

var (
	full = Key{Queue: "urgent", Workspace: 7}
	// epochStart is without a monotonic reading, as all times in these tests.
	epochStart = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	typical    = Size{Processing: 1000, Memory: 1000, Objective: time.Second}
)

// newsAt returns a list that refuses the given keys, with passIntervals of an hour.
func newsAt(at time.Duration, keys ...Key) *News {
	n := &News{AtMs: at.Milliseconds()}
	for _, k := range keys {
		n.Refused = append(n.Refused, Entry{
			Queue: k.Queue, Workspace: k.Workspace, CapacityMs: 2000, SpreadMs: 3000, IntervalMs: time.Hour.Milliseconds(),
			Processing: 500, Memory: 500, ObjectiveMs: 2000,
		})
	}
	return n
}

// Guards against refusing what the leader has not refused: other queues and workspaces, smaller or more
// patient jobs, news of another leader, an unknown leader.
func TestOnlyListedJobsAreRefused(t *testing.T) {
	for _, c := range []struct {
		name   string
		key    Key
		size   Size
		leader uint64
		want   bool
	}{
		{"listed", full, typical, 5, true},
		{"another workspace", Key{"urgent", 8}, typical, 5, false},
		{"another queue", Key{"batch", 7}, typical, 5, false},
		{"less processing", full, Size{499, 1000, time.Second}, 5, false},
		{"less memory", full, Size{1000, 499, time.Second}, 5, false},
		{"more patient", full, Size{1000, 1000, 2*time.Second + 1}, 5, false},
		{"leader unknown", full, typical, 0, false},
		{"next leader", full, typical, 6, false},
		{"former leader", full, typical, 4, false},
	} {
		var b Board
		b.Receive(5, newsAt(0, full), "m", epochStart)
		if got := b.Decide(c.key, c.size, epochOf(c.leader), epochStart); got.Refused != c.want {
			t.Errorf("%s: refused %v, want %v", c.name, got.Refused, c.want)
		}
	}
}

// Guards against refusals on old news: nothing newer arrives, or the newest was overtaken or delayed on the
// way, as while the process is suspended.
func TestOldNewsRefusesNothing(t *testing.T) {
	refuses := func(b *Board, after time.Duration) bool {
		return b.Decide(full, typical, 5, epochStart.Add(after)).Refused
	}
	receive := func(b *Board, made, received time.Duration, keys ...Key) {
		b.Receive(5, newsAt(made, keys...), "m", epochStart.Add(received))
	}
	t.Run("nothing newer arrives", func(t *testing.T) {
		var b Board
		receive(&b, 0, 0, full)
		if !refuses(&b, maxAge) || refuses(&b, maxAge+1) {
			t.Errorf("refuses at maxAge %v and after it %v", refuses(&b, maxAge), refuses(&b, maxAge+1))
		}
	})
	t.Run("delayed", func(t *testing.T) {
		var b Board
		receive(&b, 0, 0, full)
		receive(&b, 100*time.Millisecond, 5*time.Second, full)
		if refuses(&b, 5*time.Second) {
			t.Error("refuses by a list that was under way for 4.9 s")
		}
		receive(&b, 5100*time.Millisecond, 5101*time.Millisecond, full)
		if !refuses(&b, 5101*time.Millisecond) {
			t.Error("doesn't refuse by a prompt list after a delayed one")
		}
	})
	t.Run("overtaken", func(t *testing.T) {
		var b Board
		receive(&b, 200*time.Millisecond, 0)
		receive(&b, 100*time.Millisecond, time.Millisecond, full)
		if refuses(&b, 2*time.Millisecond) {
			t.Error("refuses by a list that a newer one has replaced")
		}
	})
	t.Run("nothing is refused any more", func(t *testing.T) {
		var b Board
		receive(&b, 0, 0, full)
		b.Receive(5, nil, "m", epochStart.Add(time.Millisecond))
		if refuses(&b, 2*time.Millisecond) {
			t.Error("refuses after a delivery without a list")
		}
	})
}

// Two leaders with different lists: only that of the later one counts, in whichever order they arrive.
func TestListOfTheLaterLeaderCounts(t *testing.T) {
	other := Key{Queue: "batch"}
	for _, laterFirst := range []bool{false, true} {
		var b Board
		if laterFirst {
			b.Receive(6, newsAt(time.Second, other), "m", epochStart)
			b.Receive(5, newsAt(time.Hour, full), "m", epochStart)
			b.Receive(5, nil, "m", epochStart)
		} else {
			b.Receive(5, newsAt(time.Hour, full), "m", epochStart)
			b.Receive(6, newsAt(time.Second, other), "m", epochStart)
		}
		if b.Decide(full, typical, 6, epochStart).Refused || !b.Decide(other, typical, 6, epochStart).Refused {
			t.Errorf("later leader's list first %v: want only its queue refused", laterFirst)
		}
	}
}

// A machine passes one submission per interval to the leader, which otherwise would not notice that there
// is capacity again, and the machines of a cell don't do so at the same time.
func TestSubmissionsArePassedAtIntervals(t *testing.T) {
	const interval, span, gap = 8 * time.Second, 80 * time.Second, 50 * time.Millisecond
	firstPasses := make(map[time.Duration]bool)
	for machine := range 40 {
		var b Board
		passed := 0
		for at := time.Duration(0); at < span; at += gap {
			n := newsAt(at, full)
			n.Refused[0].IntervalMs = interval.Milliseconds()
			b.Receive(5, n, nodeID(machine), epochStart.Add(at))
			if !b.Decide(full, typical, 5, epochStart.Add(at)).Refused {
				if passed == 0 {
					firstPasses[at.Truncate(time.Second)] = true
				}
				passed++
			}
		}
		if passed < int(span/interval)-1 || passed > int(span/interval)+1 {
			t.Errorf("machine %d passed %d submissions in %v, want one per %v", machine, passed, span, interval)
		}
	}
	if len(firstPasses) < 6 {
		t.Errorf("the first submissions of 40 machines passed in %d different seconds of 8", len(firstPasses))
	}
}

// Clock rates differ: a machine whose clock is 100 ppm fast or slow still acts on prompt news after a day,
// and still takes news that was delayed by 2 s for old.
func TestClockDriftIsFollowed(t *testing.T) {
	for _, ppm := range []float64{-100, 0, 100} {
		var b Board
		local := func(at time.Duration) time.Time { return epochStart.Add(at + time.Duration(ppm*1e-6*float64(at))) }
		for at := time.Duration(0); at <= 24*time.Hour; at += 30 * time.Second {
			b.Receive(5, newsAt(at, full), "m", local(at))
		}
		end := 24 * time.Hour
		b.Decide(full, typical, 5, local(end)) // passed to the leader, since an interval has elapsed
		if !b.Decide(full, typical, 5, local(end)).Refused {
			t.Errorf("%v ppm: prompt news has no effect after a day", ppm)
		}
		b.Receive(5, newsAt(end+time.Second, full), "m", local(end+3*time.Second))
		if b.Decide(full, typical, 5, local(end+3*time.Second)).Refused {
			t.Errorf("%v ppm: refuses by news that was delayed by 2 s", ppm)
		}
	}
}

// Clients refused in the same second return spread over the time in which capacity is expected.
func TestReturnIsSpread(t *testing.T) {
	v := Verdict{Refused: true, Capacity: 2 * time.Second, Spread: 4 * time.Second}
	counts := make(map[time.Duration]int)
	for i := range uint64(4000) {
		var id work.ID
		binary.BigEndian.PutUint64(id[:], i) // consecutive IDs
		counts[v.RetryAfter(id, 0)]++
	}
	for s := 3 * time.Second; s <= 6*time.Second; s += time.Second {
		if counts[s] < 800 || counts[s] > 1200 {
			t.Errorf("%d of 4000 clients return after %v, want about 1000", counts[s], s)
		}
	}
	if len(counts) != 4 {
		t.Errorf("clients return at %v", counts)
	}
}

// The Retry-After is a whole number of seconds, at least one, the same for the same job, and not later
// than the client's remaining time if that is at least 1 s.
func TestRetryAfterProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := Verdict{
			Capacity: time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "capacity")),
			Spread:   time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "spread")),
		}
		remaining := time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "remaining"))
		var id work.ID
		copy(id[:], rapid.SliceOfN(rapid.Byte(), 8, 8).Draw(t, "id"))
		got := v.RetryAfter(id, remaining)
		if got < time.Second || got%time.Second != 0 || got != v.RetryAfter(id, remaining) {
			t.Fatalf("Retry-After %v", got)
		}
		if remaining > 0 && got > max(remaining, time.Second) {
			t.Fatalf("Retry-After %v, later than the remaining %v", got, remaining)
		}
		if remaining == 0 && got < v.Capacity {
			t.Fatalf("Retry-After %v, before there is capacity at %v", got, v.Capacity)
		}
	})
}
