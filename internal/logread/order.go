package logread

import (
	"cmp"
	"slices"
	"time"
)

// Event is a line with its time in the order of all lines.
type Event struct {
	*Line
	// Time is the line's time by a clock that all machines share, as far as the lines tell:
	// a machine's own lines never go back, and what a leader wrote comes after what
	// leaders before it wrote when they began.
	Time time.Time
}

// Ordered returns the lines in an order that contradicts no cause that they tell, with
// clocks corrected for that. Clocks of machines may jump and differ.
func (l *Lines) Ordered() []Event {
	shift := make(map[string]time.Duration) // by machine
	last := make(map[string]time.Time)      // corrected, of its newest line
	began := make(map[uint64]time.Time)     // corrected, when a leader began, by epoch
	events := make([]Event, 0, len(l.All))
	for _, line := range l.leadersFirst() {
		at := line.Timestamp.Add(shift[line.Node])
		floor := last[line.Node]
		if line.Epoch > 0 {
			floor = later(floor, latestBefore(began, line.Epoch))
		}
		if at.Before(floor) {
			shift[line.Node] += floor.Sub(at)
			at = floor
		}
		last[line.Node] = at
		if _, known := began[line.Epoch]; line.Epoch > 0 && !known {
			began[line.Epoch] = at
		}
		events = append(events, Event{Line: line, Time: at})
	}
	slices.SortStableFunc(events, func(a, b Event) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Number, b.Number))
	})
	return events
}

// leadersFirst returns the lines so that each machine's keep their order and those of a
// leader come after the beginnings of leaders with lower epochs, where both can be had.
func (l *Lines) leadersFirst() []*Line {
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
			if len(queues[node]) > 0 && (next == "" || before(queues[node][0], queues[next][0])) {
				next = node
			}
		}
		out = append(out, queues[next][0])
		queues[next] = queues[next][1:]
	}
	return out
}

// before reports whether a line is taken before another machine's.
func before(a, b *Line) bool {
	if a.Epoch > 0 && b.Epoch > 0 && a.Epoch != b.Epoch {
		return a.Epoch < b.Epoch
	}
	return a.Timestamp.Before(b.Timestamp)
}

// latestBefore returns when the last leader before an epoch began.
func latestBefore(began map[uint64]time.Time, epoch uint64) time.Time {
	var latest time.Time
	for e, at := range began {
		if e < epoch {
			latest = later(latest, at)
		}
	}
	return latest
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}
