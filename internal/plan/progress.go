package plan

import "time"

// Bounds of what progress tells.
const (
	// toldEnough is the progress, in percent, from which it foretells a run's end:
	// it comes in whole percents.
	toldEnough = 4
	// endIsNear is what is added to a run's end that was foretold and has passed: an
	// end is reported within moments.
	endIsNear = 100 * time.Millisecond
)

// progress is how far a run has come by its executor's reports. Estimates are off by up
// to nine tenths either way; what is done by now tells the end to a few percent.
type progress struct {
	from, last point // the first and the newest that are known
}

// point is a share of a run's work that was done at a time.
type point struct {
	percent int
	at      time.Time // zero: none is known
}

// note takes in a report on a run that has been at work since some time.
func (p *progress) note(percent int, since time.Time, resumed bool, now time.Time) {
	if percent >= 100 {
		return // it lasts, or is about to end
	}
	if p.from.at.IsZero() {
		p.from = point{at: since}
		if resumed {
			p.from = point{percent: percent, at: now} // from where it went on
		}
	}
	p.last = point{percent: percent, at: now}
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
