package forecast

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// A start counts as forecast accurately if the forecast wait is off by at most accurateError
// or accurateShare of the forecast. This is what the forecasts are required to reach for nine
// of ten starts.
const (
	accurateError = 300 * time.Millisecond
	accurateShare = 1.0 / 3
)

// Range and precision of the recorded errors, in milliseconds and decimal digits.
const (
	maxError    = time.Minute
	errorDigits = 2
)

// Accuracy compares forecast waits with actual ones by queue. The zero value is ready to use.
// It is not safe for concurrent use.
type Accuracy struct {
	queues map[string]*errors
}

// errors are the differences between forecast and actual waits of one queue. A histogram
// holds no negative values, so starts before and after the forecast are recorded apart.
type errors struct {
	early    *hdrhistogram.Histogram // forecast minus actual wait in ms, if that is 0 or more
	late     *hdrhistogram.Histogram // actual wait minus forecast in ms, if that is above 0
	accurate int64
}

// Record records the first start of a job.
func (a *Accuracy) Record(queue string, forecast, actual time.Duration) {
	if a.queues == nil {
		a.queues = make(map[string]*errors)
	}
	e := a.queues[queue]
	if e == nil {
		e = &errors{
			early: hdrhistogram.New(1, maxError.Milliseconds(), errorDigits),
			late:  hdrhistogram.New(1, maxError.Milliseconds(), errorDigits),
		}
		a.queues[queue] = e
	}
	h, off := e.early, forecast-actual
	if off < 0 {
		h, off = e.late, -off
	}
	_ = h.RecordValue(min(off, maxError).Milliseconds()) // fails only for values out of range
	if off <= max(accurateError, time.Duration(accurateShare*float64(forecast))) {
		e.accurate++
	}
}

// Summary describes the accuracy of the forecasts for one queue.
type Summary struct {
	Queue    string
	Starts   int64
	Accurate float64       // share of starts within 300 ms or a third of the forecast
	P10      time.Duration // forecast minus actual wait: a tenth of the starts were later than this says
	P50      time.Duration
	P90      time.Duration // and nine tenths
}

// Take returns the summaries of the queues with starts since the last call, by name, and
// begins anew.
func (a *Accuracy) Take() []Summary {
	var out []Summary
	for name, e := range a.queues {
		n := e.early.TotalCount() + e.late.TotalCount()
		out = append(out, Summary{Queue: name, Starts: n, Accurate: float64(e.accurate) / float64(n), P10: e.quantile(0.1), P50: e.quantile(0.5), P90: e.quantile(0.9)})
	}
	a.queues = nil
	slices.SortFunc(out, func(x, y Summary) int {
		if x.Queue < y.Queue {
			return -1
		}
		return 1
	})
	return out
}

// quantile returns a quantile of forecast minus actual wait.
func (e *errors) quantile(q float64) time.Duration {
	late, early := float64(e.late.TotalCount()), float64(e.early.TotalCount())
	rank := q * (late + early)
	if rank < late {
		return -time.Duration(e.late.ValueAtQuantile(100*(1-rank/late))) * time.Millisecond
	}
	return time.Duration(e.early.ValueAtQuantile(100*(rank-late)/max(1, early))) * time.Millisecond
}
