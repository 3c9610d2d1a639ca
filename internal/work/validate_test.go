package work

import (
	"math"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/internal/finding"
)

// Numbers whose sums and products overflow made due times negative, estimates shorter than nothing and gangs
// smaller than a workspace's cap.
func TestNumbersOutOfRangeAreRejected(t *testing.T) {
	valid := func() *Job {
		return &Job{
			Repetitions: MaxRepetitions, Interval: MaxInterval, FirstRunMs: MaxFirstRunMs,
			Steps: []Step{{TaskCount: 1, Estimate: MaxEstimate}, {TaskCount: 1, Estimate: MaxEstimate, DependsOn: []int{0}}},
		}
	}
	for _, c := range []struct {
		name   string
		change func(*Job)
		valid  bool
	}{
		{"nothing", func(*Job) {}, true},
		{"interval", func(j *Job) { j.Interval++ }, false},
		{"negative interval", func(j *Job) { j.Interval = -1 }, false},
		{"first run", func(j *Job) { j.FirstRunMs = math.MaxInt64 }, false},
		{"negative first run", func(j *Job) { j.FirstRunMs = -1 }, false},
		{"estimate", func(j *Job) { j.Steps[1].Estimate = math.MaxInt64 }, false},
		{"processors", func(j *Job) { j.Steps[0].TaskResources.MilliCPU = math.MaxInt64 }, false},
		{"memory", func(j *Job) { j.Steps[0].TaskResources.MemoryMB = math.MaxInt64 }, false},
		{"accelerators", func(j *Job) { j.Steps[0].TaskResources.Accelerators = -1 }, false},
		{"tasks", func(j *Job) { j.Steps[0].TaskCount, j.Steps[1].TaskCount = math.MaxInt, math.MaxInt }, false},
	} {
		j := valid()
		c.change(j)
		l := &finding.List{}
		j.Validate(l)
		if err := l.Err(); (err == nil) != c.valid {
			t.Errorf("%s: %v", c.name, err)
		}
		if c.valid && (j.CriticalPath() < 0 || j.DueMs(MaxRepetitions) < 0 || j.DueMs(1) < j.FirstRunMs || time.Duration(MaxTasks)*MaxResources < 0) {
			t.Errorf("%s: an overflow within the limits", c.name)
		}
	}
}
