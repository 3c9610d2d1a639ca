package work

import (
	"math/rand/v2"
	"testing"
	"time"
)

// layeredJob returns a job of steps that each depend on all earlier ones, up to a number.
func layeredJob(steps, dependencies int) *Job {
	j := &Job{}
	for i := range steps {
		s := Step{TaskCount: 1, Estimate: time.Second}
		for before := max(0, i-dependencies); before < i; before++ {
			s.DependsOn = append(s.DependsOn, before)
		}
		j.Steps = append(j.Steps, s)
	}
	return j
}

// longestFrom returns the longest chain from a step by visiting all chains.
func longestFrom(j *Job, i int) time.Duration {
	longest := time.Duration(0)
	for k := i + 1; k < len(j.Steps); k++ {
		for _, before := range j.Steps[k].DependsOn {
			if before == i {
				longest = max(longest, longestFrom(j, k))
			}
		}
	}
	return j.Steps[i].Estimate + longest
}

func TestCriticalPaths(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		j := &Job{}
		for i := range 1 + r.IntN(8) {
			s := Step{Estimate: time.Duration(r.IntN(5)) * time.Second}
			for before := range i {
				if r.IntN(3) == 0 {
					s.DependsOn = append(s.DependsOn, before)
				}
			}
			j.Steps = append(j.Steps, s)
		}
		longest := time.Duration(0)
		for i, got := range j.CriticalPaths() {
			want := longestFrom(j, i)
			longest = max(longest, want)
			if got != want {
				t.Fatalf("step %d of %+v: %v, want %v", i, j.Steps, got, want)
			}
		}
		if got := j.CriticalPath(); got != longest {
			t.Fatalf("%+v: %v, want %v", j.Steps, got, longest)
		}
	}
}

// Each step that depends on all earlier ones doubled the time of planning a job, and a few of them held the
// planner for longer than any lease.
func TestCriticalPathOfManyDependencies(t *testing.T) {
	done := make(chan time.Duration, 1)
	go func() { done <- layeredJob(MaxSteps, MaxSteps).CriticalPath() }()
	select {
	case got := <-done:
		if want := MaxSteps * time.Second; got != want {
			t.Errorf("the critical path is %v, want %v", got, want)
		}
	case <-time.After(30 * time.Second):
		t.Fatalf("no result for %d steps", MaxSteps)
	}
}

// An interval that is no whole number of milliseconds was cut, and later occurrences started early.
func TestDueTimesOfFractionalIntervals(t *testing.T) {
	for _, c := range []struct {
		interval   time.Duration
		occurrence int
		want       int64
	}{
		{1500 * time.Microsecond, 0, 1000},
		{1500 * time.Microsecond, 1, 1002},
		{1500 * time.Microsecond, 2, 1003},
		{1500 * time.Microsecond, 10_000, 16_000},
		{time.Second / 3, 3_000, 1_001_000},
		{time.Second, 7, 8000},
	} {
		j := &Job{FirstRunMs: 1000, Interval: c.interval, Repetitions: MaxRepetitions}
		if got := j.DueMs(c.occurrence); got != c.want {
			t.Errorf("occurrence %d every %v is due at %d, want %d", c.occurrence, c.interval, got, c.want)
		}
	}
}
