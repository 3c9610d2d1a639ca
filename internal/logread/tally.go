package logread

import (
	"cmp"
	"slices"
	"strings"
)

// Count is the number of jobs of a queue with the same outcome and cause.
type Count struct {
	Queue   string
	Outcome Outcome
	Cause   Cause
	Jobs    int
}

// Tally traces each job that the lines name and counts the jobs by queue, outcome and
// cause, in order of decreasing count.
func Tally(events []Event) []Count {
	byJob := make(map[string][]Event) // the lines that name a job, by its ID
	var cellEvents []Event
	for _, e := range events {
		if e.concernsCell() {
			cellEvents = append(cellEvents, e)
		}
		for _, job := range e.jobIDs() {
			byJob[job] = append(byJob[job], e)
		}
	}
	counts := make(map[Count]int)
	for job, own := range byJob {
		all := slices.Concat(own, cellEvents)
		slices.SortStableFunc(all, func(a, b Event) int {
			return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Number, b.Number))
		})
		t := TraceJob(all, job)
		counts[Count{Queue: t.Queue, Outcome: t.Outcome, Cause: t.Cause}]++
	}
	out := make([]Count, 0, len(counts))
	for c, n := range counts {
		c.Jobs = n
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b Count) int {
		return cmp.Or(cmp.Compare(b.Jobs, a.Jobs), strings.Compare(a.Queue, b.Queue),
			strings.Compare(string(a.Outcome), string(b.Outcome)), strings.Compare(string(a.Cause), string(b.Cause)))
	})
	return out
}

// jobIDs returns the IDs of the jobs that a line names as job, task, step or lost run.
func (l *Line) jobIDs() []string {
	var ids []string
	add := func(text string) {
		id, _, _ := strings.Cut(text, ".")
		if id != "" && !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	for _, name := range []string{"job", "task", "step"} {
		add(l.Field(name))
	}
	for run := range strings.FieldsSeq(l.Field("lost")) {
		add(run)
	}
	return ids
}
