package main

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Spans of the rule LOST for tasks that last: the span without a run that breaks it, the calm that has to lie before
// that span, and the time that a task has after its last run.
const (
	idle         = 3 * time.Second
	calmBefore   = 4 * time.Second
	afterLastRun = 6 * time.Second
)

// span is a time from one moment to another.
type span struct{ from, to time.Time }

// judgeLasting reports whether a task of a job that lasts had no run for the rule's span while it was calm, from 6 s
// after its last run or from when it was handed in. Disturbances begin at the given moments and last for a time. The
// service has room for the job several times over all the while, and less than half of its capacity is in use.
func (c *cell) judgeLasting(j *job, disturbed []time.Time, lasts time.Duration) bool {
	now := time.Now()
	runs := make(map[string][]startEvent)
	for _, r := range c.runs() {
		runs[r.task] = append(runs[r.task], r)
	}
	broken := 0
	var longest time.Duration
	for i := range j.tasks {
		task := fmt.Sprintf("%s.0.0.%d", j.id, i)
		for _, gap := range gaps(j.sentAt, now, runs[task]) {
			for _, calm := range calmParts(gap, disturbed, lasts) {
				if length := calm.to.Sub(calm.from); length >= idle {
					broken++
					longest = max(longest, gap.to.Sub(gap.from))
					c.log.note("judge", "%s had no run from %.1f to %.1f s, calm and counted from %.1f to %.1f s", task,
						gap.from.Sub(c.begun).Seconds(), gap.to.Sub(c.begun).Seconds(), calm.from.Sub(c.begun).Seconds(), calm.to.Sub(c.begun).Seconds())
				}
			}
		}
	}
	c.log.say("%d spans of 3 s and more, in calm, in which a task of the job that lasts had no run; the longest time without one was %.1f s", broken, longest.Seconds())
	return broken > 0
}

// gaps returns when none of the runs was there, beyond the time that a task has after its last run.
func gaps(from, to time.Time, runs []startEvent) []span {
	slices.SortFunc(runs, func(a, b startEvent) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	var out []span
	for _, r := range runs {
		if r.at.After(from) {
			out = append(out, span{from, r.at})
		}
		if r.ended.IsZero() {
			return out
		}
		from = r.ended.Add(afterLastRun)
	}
	if to.After(from) {
		out = append(out, span{from, to})
	}
	return out
}

// calmParts returns the parts of a span without a disturbance in them or in the 4 s before them.
func calmParts(s span, disturbed []time.Time, lasts time.Duration) []span {
	parts := []span{s}
	for _, d := range disturbed {
		until := d.Add(lasts + calmBefore)
		var next []span
		for _, p := range parts {
			if p.from.Before(d) {
				next = append(next, span{p.from, minTime(p.to, d)})
			}
			if p.to.After(until) {
				next = append(next, span{maxTime(p.from, until), p.to})
			}
		}
		parts = next
	}
	return parts
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
