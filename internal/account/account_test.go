package account

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// The stages of a timeline add up to the whole time in whatever order they come, also when attempts
// are repeated. Time that no stage has would make an account point at the wrong cause.
func TestStagesAddUpToTheWholeTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var line Timeline
		line.Enter(Advice, start)
		now := start
		for range rapid.IntRange(0, 30).Draw(t, "changes") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5_000_000).Draw(t, "us")) * time.Microsecond)
			stage := Stage(rapid.IntRange(0, StageCount-1).Draw(t, "stage"))
			if rapid.Bool().Draw(t, "repeat") {
				line.Repeat(stage, now)
				if attempt := line.Of(Record) + line.Of(Order) + line.Of(Run); attempt != 0 {
					t.Fatalf("%v of an attempt that is repeated is left", attempt)
				}
				continue
			}
			line.Enter(stage, now)
		}
		line.Finish(time.Duration(rapid.IntRange(0, 5000).Draw(t, "estimate_ms"))*time.Millisecond, now)
		if got, want := line.Total(), now.Sub(start); got != want {
			t.Fatalf("the stages take %v, want %v", got, want)
		}
	})
}

// The run of a task that takes longer than estimated is split at the estimate.
func TestRunBeyondTheEstimateIsOverrun(t *testing.T) {
	var line Timeline
	line.Enter(Processors, start)
	line.Enter(Run, start.Add(100*time.Millisecond))
	line.Finish(time.Second, start.Add(1500*time.Millisecond))
	if line.Of(Processors) != 100*time.Millisecond || line.Of(Run) != time.Second || line.Of(Overrun) != 400*time.Millisecond {
		t.Errorf("got %v waiting, %v run, %v beyond the estimate", line.Of(Processors), line.Of(Run), line.Of(Overrun))
	}
}

// A clock that is set back takes no time from a stage, and a time that doesn't fit is bounded.
func TestTimesAreBounded(t *testing.T) {
	var times Times
	times.Add(Run, -time.Second)
	times.Add(Run, 100*time.Hour)
	times.Add(Run, time.Hour)
	if got := times.Of(Run); got < time.Hour || got > 72*time.Minute {
		t.Errorf("got %v", got)
	}
}
