package experiment

import (
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// resultTable writes the results of an experiment as a table with one row for each
// phase and stream, followed by notes.
type resultTable struct {
	w     *tabwriter.Writer
	notes []string
}

const tableHeader = "phase\toffered/s\tsent\tgood/s\tgood %\tlate\tfailed\tnot run\tunknown\tno answer\tran p50\tp99\trefused p50\tp99\tforwarded\tretried\tslots busy\tin-band refused\tuntrue\n"

func newResultTable(w io.Writer) *resultTable {
	r := &resultTable{w: tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
	fmt.Fprint(r.w, tableHeader)
	return r
}

// addPhase adds the rows of a phase, one for each stream. Columns that apply to the
// whole phase are filled in the first row only.
func (r *resultTable) addPhase(name string, result *phaseResult) {
	for i, stats := range result.statsByStream {
		label := name
		if len(result.statsByStream) > 1 {
			label += " " + stats.stream.Caller
		}
		shared := fmt.Sprintf("%d\t%d\t%.3f\t%d\t%d", result.forwarded, result.retried, result.executors.busyShare, result.executors.refused, result.audit.contradictions())
		if i > 0 {
			shared = "\t\t\t\t"
		}
		fmt.Fprintf(r.w, "%s\t%.0f\t%d\t%.0f\t%.2f\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t%s\n",
			label, stats.stream.Rate, stats.sent, stats.goodput(), 100*float64(stats.good)/float64(max(stats.sent, 1)),
			stats.late, stats.failed, stats.notRun, stats.unknown, stats.noAnswer,
			formatQuantile(stats.ranLatency, 50), formatQuantile(stats.ranLatency, 99), formatQuantile(stats.otherLatency, 50), formatQuantile(stats.otherLatency, 99), shared)
		r.noteReasons(label, stats)
	}
}

// noteReasons adds a note with the number of skipped requests and the reasons of
// a stream's refusals.
func (r *resultTable) noteReasons(label string, stats *streamStats) {
	if len(stats.reasons) == 0 && stats.skipped == 0 {
		return
	}
	var parts []string
	for reason, n := range stats.reasons {
		parts = append(parts, fmt.Sprintf("%s=%d", reason, n))
	}
	sort.Strings(parts)
	r.note("%s: skipped=%d %s", label, stats.skipped, strings.Join(parts, " "))
}

// note adds a line below the table.
func (r *resultTable) note(format string, args ...any) {
	r.notes = append(r.notes, fmt.Sprintf(format, args...))
}

// flush writes the table and the notes.
func (r *resultTable) flush(w io.Writer) {
	_ = r.w.Flush()
	for _, n := range r.notes {
		fmt.Fprintln(w, n)
	}
}

// formatQuantile formats the latency at a quantile (0 to 100), "-" if there is
// none.
func formatQuantile(h *hdrhistogram.Histogram, q float64) string {
	if h.TotalCount() == 0 {
		return "-"
	}
	return quantile(h, q).Round(10 * time.Microsecond).String()
}

// quantile returns the latency at a quantile (0 to 100) of a histogram in
// microseconds.
func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

// loadAverage returns the load averages of the machine, or an empty string if they
// can't be read.
func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return ""
	}
	fields := strings.Fields(string(data))
	return strings.Join(fields[:min(3, len(fields))], " ")
}
