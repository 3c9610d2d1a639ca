package plan

import (
	"time"

	"github.com/skylarklock/skylarklock/internal/platform"
)

// Limits of estimates from reported progress.
const (
	// minProgressPercent is the least progress with which a run's end and pace are estimated,
	// since progress is reported in whole percents.
	minProgressPercent = 4
	// overdueEndDelay is the remaining time assumed of a run whose estimated end has
	// passed: an end is reported within moments.
	overdueEndDelay = 100 * time.Millisecond
	// minPaceSpan is the shortest time, on the executor's clock, over which a pace is
	// measured.
	minPaceSpan = 300 * time.Millisecond
)

// progress is how far a run has come according to its executor's reports. Estimates of run
// times are off by up to nine tenths either way; the work done so far predicts the end to a
// few percent.
type progress struct {
	first, last progressPoint // first and newest known points
	// firstReported is the first reported point. previousMark and mark are later ones, each
	// at least minPaceSpan after the one before. The usual pace is measured from
	// firstReported to previousMark, the recent one from previousMark on.
	firstReported, previousMark, mark progressPoint
}

// progressPoint is the share of a run's work that was done at a time.
type progressPoint struct {
	percent int
	at      time.Time // zero if no point is known
	clock   platform.ExecutorClock
}

// add records the reported progress of a run that has been running since a time.
func (p *progress) add(percent int, clock platform.ExecutorClock, since time.Time, resumed bool, now time.Time) {
	if percent >= 100 {
		return // the run is long-running or about to end
	}
	current := progressPoint{percent: percent, at: now, clock: clock}
	if p.first.at.IsZero() {
		p.first = current // a resumed run may have continued from this point
		if !resumed {
			p.first = progressPoint{at: since}
		}
		p.firstReported, p.previousMark, p.mark = current, current, current
	}
	if clock.Sub(p.mark.clock) >= minPaceSpan {
		p.previousMark, p.mark = p.mark, current
	}
	p.last = current
}

// estimateEnd estimates when the run ends. It returns false if the run hasn't progressed
// far enough.
func (p *progress) estimateEnd() (time.Time, bool) {
	done, elapsed := p.last.percent-p.first.percent, p.last.at.Sub(p.first.at)
	if done < minProgressPercent || elapsed <= 0 {
		return time.Time{}, false
	}
	remaining := time.Duration(float64(100-p.last.percent) / float64(done) * float64(elapsed))
	return p.last.at.Add(remaining), true
}

// paces returns the usual and the recent pace of the run, in percent per second. It returns
// false while either of them isn't known.
func (p *progress) paces() (usual, recent float64, known bool) {
	usualSpan, recentSpan := p.previousMark.clock.Sub(p.firstReported.clock), p.last.clock.Sub(p.previousMark.clock)
	done := p.previousMark.percent - p.firstReported.percent
	if usualSpan < minPaceSpan || recentSpan < minPaceSpan || done < minProgressPercent {
		return 0, 0, false
	}
	return float64(done) / usualSpan.Seconds(), float64(p.last.percent-p.previousMark.percent) / recentSpan.Seconds(), true
}
