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
	// reported is the first that was reported, before and mark are later ones, each at
	// least paceSpan before the next: the newest pace is that since before, the usual one
	// that from reported up to it.
	reported, before, mark point
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
			p.from = point{at: since}
		}
		p.reported, p.before, p.mark = here, here, here
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
	first, second := p.before.clock.Sub(p.reported.clock), p.last.clock.Sub(p.before.clock)
	done := p.before.percent - p.reported.percent
	if first < paceSpan || second < paceSpan || done < toldEnough {
		return 0, 0, false
	}
	return float64(done) / first.Seconds(), float64(p.last.percent-p.before.percent) / second.Seconds(), true
}
