package logread

import (
	"cmp"
	"slices"
	"time"
)

// Event is a line with its position in the common order of all lines.
type Event struct {
	*Line
	// Time is the line's time on a clock common to all machines, as far as that can be
	// reconstructed from the lines: it never decreases over the lines of a machine, and the
	// lines of a leader come after the first lines of all leaders with lower epochs.
	Time time.Time
}

// Ordered returns the lines in an order that is consistent with the causality that they
// show. The clocks of machines may jump and differ, so they are corrected accordingly.
func (l *Lines) Ordered() []Event {
	clockOffset := make(map[string]time.Duration) // correction, by machine
	lastTime := make(map[string]time.Time)        // corrected time of the newest line, by machine
	startTimes := make(map[uint64]time.Time)      // corrected time of a leader's first line, by epoch
	events := make([]Event, 0, len(l.All))
	for _, line := range l.mergeByEpoch() {
		at := line.Timestamp.Add(clockOffset[line.Node])
		earliest := lastTime[line.Node]
		if line.Epoch > 0 {
			earliest = later(earliest, latestStartBefore(startTimes, line.Epoch))
		}
		if at.Before(earliest) {
			clockOffset[line.Node] += earliest.Sub(at)
			at = earliest
		}
		lastTime[line.Node] = at
		if _, known := startTimes[line.Epoch]; line.Epoch > 0 && !known {
			startTimes[line.Epoch] = at
		}
		events = append(events, Event{Line: line, Time: at})
	}
	slices.SortStableFunc(events, func(a, b Event) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Number, b.Number))
	})
	return events
}

// mergeByEpoch merges the lines of all machines. The lines of each machine keep their
// order. As far as that allows, the lines of a leader come after the first lines of leaders
// with lower epochs.
func (l *Lines) mergeByEpoch() []*Line {
	queues := make(map[string][]*Line)
	var nodes []string
	for _, line := range l.All {
		if _, known := queues[line.Node]; !known {
			nodes = append(nodes, line.Node)
		}
		queues[line.Node] = append(queues[line.Node], line)
	}
	out := make([]*Line, 0, len(l.All))
	for len(out) < len(l.All) {
		next := ""
		for _, node := range nodes {
			if len(queues[node]) > 0 && (next == "" || precedes(queues[node][0], queues[next][0])) {
				next = node
			}
		}
		out = append(out, queues[next][0])
		queues[next] = queues[next][1:]
	}
	return out
}

// precedes reports whether line a is merged before line b of another machine.
func precedes(a, b *Line) bool {
	if a.Epoch > 0 && b.Epoch > 0 && a.Epoch != b.Epoch {
		return a.Epoch < b.Epoch
	}
	return a.Timestamp.Before(b.Timestamp)
}

// latestStartBefore returns the latest start time of the leaders with lower epochs.
func latestStartBefore(startTimes map[uint64]time.Time, epoch uint64) time.Time {
	var latest time.Time
	for e, at := range startTimes {
		if e < epoch {
			latest = later(latest, at)
		}
	}
	return latest
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}
