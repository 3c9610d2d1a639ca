package logread

import (
	"cmp"
	"slices"
	"strings"
)

// Count is how many jobs of a queue had an outcome for a cause.
type Count struct {
	Queue   string
	Outcome Outcome
	Cause   Cause
	Jobs    int
}

// Tally tells the stories of all jobs that the lines name by themselves, and counts them, the
// most frequent first.
func Tally(events []Event) []Count {
	of := make(map[string][]Event) // the lines that concern a job, by its ID
	var cell []Event
	for _, e := range events {
		if e.concernsCell() {
			cell = append(cell, e)
		}
		for _, job := range e.jobs() {
			of[job] = append(of[job], e)
		}
	}
	counts := make(map[Count]int)
	for job, own := range of {
		all := slices.Concat(own, cell)
		slices.SortStableFunc(all, func(a, b Event) int {
			return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Number, b.Number))
		})
		s := TraceJob(all, job)
		counts[Count{Queue: s.Queue, Outcome: s.Outcome, Cause: s.Cause}]++
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

// jobs returns the IDs of the jobs that a line names.
func (l *Line) jobs() []string {
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
