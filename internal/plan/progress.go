package plan

import (
	"time"

	"github.com/skylarklock/skylarklock/internal/platform"
)

// Bounds of what progress tells.
const (
	// toldEnough is the progress, in percent, from which it foretells a run's end and
	// tells its pace: it comes in whole percents.
	toldEnough = 4
	// endIsNear is what is added to a run's end that was foretold and has passed: an
	// end is reported within moments.
	endIsNear = 100 * time.Millisecond
	// paceSpan is the least time, on the executor's clock, over which a pace is taken.
	paceSpan = 300 * time.Millisecond
)

// progress is how far a run has come by its executor's reports. Estimates are off by up
// to nine tenths either way; what is done by now tells the end to a few percent.
type progress struct {
	from, last point // the first and the newest that are known
	// before and mark are points between them, each at least paceSpan before the next:
	// the newest pace is that since before, the usual one that up to it.
	before, mark point
}

// point is a share of a run's work that was done at a time.
type point struct {
	percent int
	at      time.Time // zero: none is known
	clock   platform.ExecutorClock
}

// note takes in a report on a run that has been at work since some time.
func (p *progress) note(percent int, clock platform.ExecutorClock, since time.Time, resumed bool, now time.Time) {
	if percent >= 100 {
		return // it lasts, or is about to end
	}
	here := point{percent: percent, at: now, clock: clock}
	if p.from.at.IsZero() {
		p.from = here // it may have gone on from there
		if !resumed {
			p.from = point{at: since, clock: clock.Add(-now.Sub(since))}
		}
		p.before, p.mark = p.from, p.from
	}
	if clock.Sub(p.mark.clock) >= paceSpan {
		p.before, p.mark = p.mark, here
	}
	p.last = here
}

// end foretells when the run ends; false if it hasn't come far enough.
func (p *progress) end() (time.Time, bool) {
	done, took := p.last.percent-p.from.percent, p.last.at.Sub(p.from.at)
	if done < toldEnough || took <= 0 {
		return time.Time{}, false
	}
	left := time.Duration(float64(100-p.last.percent) / float64(done) * float64(took))
	return p.last.at.Add(left), true
}

// paces returns how much of its work the run does in a second, in percent: usually, and
// of late. It is false while one of them isn't known.
func (p *progress) paces() (usual, late float64, known bool) {
	first, second := p.before.clock.Sub(p.from.clock), p.last.clock.Sub(p.before.clock)
	if first < paceSpan || second < paceSpan || p.before.percent-p.from.percent < toldEnough {
		return 0, 0, false
	}
	return float64(p.before.percent-p.from.percent) / first.Seconds(), float64(p.last.percent-p.before.percent) / second.Seconds(), true
}
