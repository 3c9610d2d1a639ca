package experiment

import (
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/load"
	"github.com/skylarklock/skylarklock/internal/standin/executor"
)

// answerAudit is the result of checking callers' answers against the executors'
// records. All counts except checked must be zero.
type answerAudit struct {
	checked          int
	ranTwice         int // non-idempotent, but ran more than once
	ranDespiteNotRun int // answered as not run, but ran
	ranWithoutRecord int // answered as run, but no executor ran it
}

// contradictions returns the number of answers that the records contradict.
func (a answerAudit) contradictions() int {
	return a.ranTwice + a.ranDespiteNotRun + a.ranWithoutRecord
}

// auditAnswers checks samples against the executors' records. The records hold the
// runs of earlier phases as well, whose request IDs are different.
func (c *cell) auditAnswers(samples []load.Sample, streams []load.Stream) answerAudit {
	runs := make(map[string]int, len(samples))
	for _, exec := range c.Site.Executors {
		for id, list := range exec.Record().Runs {
			runs[id] += len(list)
		}
	}
	var audit answerAudit
	for _, s := range samples {
		stream := streams[s.Stream]
		if stream.Direct {
			continue
		}
		audit.checked++
		n := runs[s.ID]
		switch {
		case n > 1 && !stream.Idempotent:
			audit.ranTwice++
		case n > 0 && s.Outcome == api.OutcomeNotRun && stream.RepeatShare == 0:
			audit.ranDespiteNotRun++
		case n == 0 && s.Outcome == api.OutcomeRan:
			audit.ranWithoutRecord++
		}
	}
	return audit
}

// executorStats holds statistics from the records of the executors of one service.
type executorStats struct {
	busyShare float64 // share of the slots' time that was in use, 0 to 1
	refused   int     // requests refused in-band since the executors were started
}

// collectExecutorStats reads the records of the executors of a service. The busy
// share is that of the period between from and to.
func (c *cell) collectExecutorStats(service string, from, to time.Time) executorStats {
	var s executorStats
	var busyTime, slotTime time.Duration
	for _, vm := range c.Site.VMs {
		for _, ep := range vm.Endpoints {
			if ep.Service != service {
				continue
			}
			record := c.Site.Executors[ep.ID].Record()
			s.refused += record.Refused
			slotTime += time.Duration(ep.Slots) * to.Sub(from)
			for _, list := range record.Runs {
				for _, run := range list {
					busyTime += overlap(run, from, to)
				}
			}
		}
	}
	s.busyShare = busyTime.Seconds() / max(slotTime.Seconds(), 1e-9)
	return s
}

// overlap returns how long a run lasted between from and to.
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
