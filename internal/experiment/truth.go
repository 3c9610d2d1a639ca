package experiment

import (
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/load"
	"github.com/skylarklock/skylarklock/internal/standin/executor"
)

// truth holds what callers were told against the executors' records. All
// counts but the first must be zero.
type truth struct {
	checked    int
	runTwice   int // non-idempotent, ran more than once
	notRunRan  int // told not-run, but ran
	ranNowhere int // told ran, but no executor ran it
}

// untrue is the number of answers that the records contradict.
func (t truth) untrue() int { return t.runTwice + t.notRunRan + t.ranNowhere }

// check compares samples with the executors' records. The records are dropped
// from memory with the cell only, so ids of earlier phases don't matter.
func (c *cell) check(samples []load.Sample, streams []load.Stream) truth {
	runs := make(map[string]int, len(samples))
	for _, x := range c.Site.Executors {
		for id, list := range x.Record().Runs {
			runs[id] += len(list)
		}
	}
	var t truth
	for _, s := range samples {
		stream := streams[s.Stream]
		if stream.Direct {
			continue
		}
		t.checked++
		n := runs[s.ID]
		switch {
		case n > 1 && !stream.Idempotent:
			t.runTwice++
		case n > 0 && s.Outcome == api.OutcomeNotRun && stream.RepeatShare == 0:
			t.notRunRan++
		case n == 0 && s.Outcome == api.OutcomeRan:
			t.ranNowhere++
		}
	}
	return t
}

// executorsSeen is what the executors of one service recorded in a stretch of
// time.
type executorsSeen struct {
	busy    float64 // share of their slots' time, 0 to 1
	refused int     // in-band, since they were started
}

// seen looks at the records of a service between two instants.
func (c *cell) seen(service string, from, to time.Time) executorsSeen {
	var s executorsSeen
	var used, all time.Duration
	for _, vm := range c.Site.VMs {
		for _, ep := range vm.Endpoints {
			if ep.Service != service {
				continue
			}
			record := c.Site.Executors[ep.ID].Record()
			s.refused += record.Refused
			all += time.Duration(ep.Slots) * to.Sub(from)
			for _, list := range record.Runs {
				for _, run := range list {
					used += overlap(run, from, to)
				}
			}
		}
	}
	s.busy = used.Seconds() / max(all.Seconds(), 1e-9)
	return s
}

// overlap returns how long a run lasted between two instants.
func overlap(run executor.Run, from, to time.Time) time.Duration {
	end := run.End
	if end.IsZero() || end.After(to) {
		end = to
	}
	start := run.Start
	if start.Before(from) {
		start = from
	}
	return max(end.Sub(start), 0)
}
