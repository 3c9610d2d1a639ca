package load

import (
	"fmt"
	"io"
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/skylarklock/skylarklock/api"
)

// Range and precision of the latency histograms, in microseconds.
const (
	histogramMin    = 1
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

// Sample is one answered or failed request.
type Sample struct {
	ID      string
	Stream  int
	Due     time.Duration // from the start of the run
	Latency time.Duration // from due to the whole answer
	Outcome api.Outcome   // empty when no answer came
	Reason  api.Reason
	Status  int
	Err     error // why no whole answer came
	// Answer and Checksum are set with Runner.KeepAnswers.
	Answer   []byte
	Checksum string // of a stand-in's answer, from its trailer
}

// Result is what a run gathered for one stream. It is safe for concurrent use.
type Result struct {
	mu       sync.Mutex
	sent     int
	skipped  int
	outcomes map[api.Outcome]int
	reasons  map[api.Reason]int
	ran      *hdrhistogram.Histogram
	refused  *hdrhistogram.Histogram
}

func newResult() *Result {
	return &Result{
		outcomes: map[api.Outcome]int{},
		reasons:  map[api.Reason]int{},
		ran:      hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
		refused:  hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
	}
}

func (r *Result) add(s Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	r.outcomes[s.Outcome]++
	if s.Reason != "" {
		r.reasons[s.Reason]++
	}
	h := r.refused
	if s.Outcome == api.OutcomeRan {
		h = r.ran
	}
	// A latency beyond the range is kept at its end.
	_ = h.RecordValue(min(max(s.Latency.Microseconds(), histogramMin), histogramMax))
}

func (r *Result) skip() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.skipped++
}

// Sent is the number of requests that were sent.
func (r *Result) Sent() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sent
}

// Skipped is the number of requests that the bound on open requests kept back.
func (r *Result) Skipped() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.skipped
}

// Count is the number of answers with outcome o; the empty outcome counts
// requests without an answer.
func (r *Result) Count(o api.Outcome) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.outcomes[o]
}

// RanLatency is the latency at quantile q (0 to 100) of the requests that ran.
func (r *Result) RanLatency(q float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.ran.ValueAtQuantile(q)) * time.Microsecond
}

// OtherLatency is the latency at quantile q of all other answers.
func (r *Result) OtherLatency(q float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.refused.ValueAtQuantile(q)) * time.Microsecond
}

// Print writes the result as key=value lines.
func (r *Result) Print(w io.Writer, name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(w, "stream=%s sent=%d skipped=%d ran=%d not_run=%d unknown=%d no_answer=%d\n", name, r.sent, r.skipped,
		r.outcomes[api.OutcomeRan], r.outcomes[api.OutcomeNotRun], r.outcomes[api.OutcomeUnknown], r.outcomes[""])
	printLatency(w, name, "ran", r.ran)
	printLatency(w, name, "other", r.refused)
	reasons := make([]string, 0, len(r.reasons))
	for reason := range r.reasons {
		reasons = append(reasons, string(reason))
	}
	sort.Strings(reasons)
	for _, reason := range reasons {
		fmt.Fprintf(w, "stream=%s reason=%s count=%d\n", name, reason, r.reasons[api.Reason(reason)])
	}
}

func printLatency(w io.Writer, name, outcome string, h *hdrhistogram.Histogram) {
	if h.TotalCount() == 0 {
		return
	}
	fmt.Fprintf(w, "stream=%s outcome=%s p50_us=%d p99_us=%d max_us=%d\n", name, outcome,
		h.ValueAtQuantile(50), h.ValueAtQuantile(99), h.Max())
}
