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

// Sample is the result of one request.
type Sample struct {
	ID      string
	Stream  int
	Due     time.Duration // scheduled time, since the start of the run
	Latency time.Duration // from the scheduled time to the complete answer or the failure
	Outcome api.Outcome   // empty if there was no complete answer
	Reason  api.Reason
	Status  int
	Err     error // reason why there was no complete answer
	// Answer is the body, set only with Runner.KeepAnswers.
	Answer   []byte
	Checksum string // from the trailer of a stand-in's answer
}

// Result holds the statistics of one stream. It is safe for concurrent use.
type Result struct {
	mu            sync.Mutex
	sent          int
	skipped       int
	outcomeCounts map[api.Outcome]int
	reasonCounts  map[api.Reason]int
	ranLatency    *hdrhistogram.Histogram
	otherLatency  *hdrhistogram.Histogram
}

func newResult() *Result {
	return &Result{
		outcomeCounts: map[api.Outcome]int{},
		reasonCounts:  map[api.Reason]int{},
		ranLatency:    hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
		otherLatency:  hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
	}
}

func (r *Result) add(s Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	r.outcomeCounts[s.Outcome]++
	if s.Reason != "" {
		r.reasonCounts[s.Reason]++
	}
	h := r.otherLatency
	if s.Outcome == api.OutcomeRan {
		h = r.ranLatency
	}
	// Latencies outside the range of the histogram are clamped to it.
	_ = h.RecordValue(min(max(s.Latency.Microseconds(), histogramMin), histogramMax))
}

func (r *Result) countSkipped() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.skipped++
}

// Sent returns the number of requests that were sent.
func (r *Result) Sent() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sent
}

// Skipped returns the number of requests that were not sent because of the limit
// on open requests.
func (r *Result) Skipped() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.skipped
}

// Count returns the number of answers with outcome o; the empty outcome counts
// requests without an answer.
func (r *Result) Count(o api.Outcome) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.outcomeCounts[o]
}

// RanLatency returns the latency at quantile q (0 to 100) of the requests that
// ran.
func (r *Result) RanLatency(q float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.ranLatency.ValueAtQuantile(q)) * time.Microsecond
}

// OtherLatency returns the latency at quantile q (0 to 100) of all other requests,
// those without an answer included.
func (r *Result) OtherLatency(q float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.otherLatency.ValueAtQuantile(q)) * time.Microsecond
}

// Print writes the result as key=value lines; name identifies the stream.
func (r *Result) Print(w io.Writer, name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(w, "stream=%s sent=%d skipped=%d ran=%d not_run=%d unknown=%d no_answer=%d\n", name, r.sent, r.skipped,
		r.outcomeCounts[api.OutcomeRan], r.outcomeCounts[api.OutcomeNotRun], r.outcomeCounts[api.OutcomeUnknown], r.outcomeCounts[""])
	printLatency(w, name, "ran", r.ranLatency)
	printLatency(w, name, "other", r.otherLatency)
	reasons := make([]string, 0, len(r.reasonCounts))
	for reason := range r.reasonCounts {
		reasons = append(reasons, string(reason))
	}
	sort.Strings(reasons)
	for _, reason := range reasons {
		fmt.Fprintf(w, "stream=%s reason=%s count=%d\n", name, reason, r.reasonCounts[api.Reason(reason)])
	}
}

func printLatency(w io.Writer, name, outcome string, h *hdrhistogram.Histogram) {
	if h.TotalCount() == 0 {
		return
	}
	fmt.Fprintf(w, "stream=%s outcome=%s p50_us=%d p99_us=%d max_us=%d\n", name, outcome,
		h.ValueAtQuantile(50), h.ValueAtQuantile(99), h.Max())
}
