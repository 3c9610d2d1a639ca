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

// report writes the table of an experiment, one row for each phase and
// stream.
type report struct {
	w     *tabwriter.Writer
	notes []string
}

const columns = "phase\toffered/s\tsent\tgood/s\tgood %\tlate\tfailed\tnot run\tunknown\tno answer\tran p50\tp99\trefused p50\tp99\tforwarded\tretried\tslots busy\tin-band refused\tuntrue\n"

func newReport(w io.Writer) *report {
	r := &report{w: tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
	fmt.Fprint(r.w, columns)
	return r
}

// add adds the rows of a phase.
func (r *report) add(name string, o *outcome) {
	for i, t := range o.tallies {
		label := name
		if len(o.tallies) > 1 {
			label += " " + t.stream.Caller
		}
		shared := fmt.Sprintf("%d\t%d\t%.3f\t%d\t%d", o.forwarded, o.retried, o.seen.busy, o.seen.refused, o.truth.untrue())
		if i > 0 {
			shared = "\t\t\t\t"
		}
		fmt.Fprintf(r.w, "%s\t%.0f\t%d\t%.0f\t%.2f\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t%s\n",
			label, t.stream.Rate, t.sent, t.goodput(), 100*float64(t.good)/float64(max(t.sent, 1)),
			t.late, t.failed, t.notRun, t.unknown, t.noAnswer,
			at(t.ran, 50), at(t.ran, 99), at(t.refused, 50), at(t.refused, 99), shared)
		r.reasons(label, t)
	}
}

// reasons keeps the reasons of a stream's refusals for the end of the table.
func (r *report) reasons(label string, t *tally) {
	if len(t.reasons) == 0 && t.skipped == 0 {
		return
	}
	var parts []string
	for reason, n := range t.reasons {
		parts = append(parts, fmt.Sprintf("%s=%d", reason, n))
	}
	sort.Strings(parts)
	r.note("%s: skipped=%d %s", label, t.skipped, strings.Join(parts, " "))
}

// note adds a line below the table.
func (r *report) note(format string, args ...any) {
	r.notes = append(r.notes, fmt.Sprintf(format, args...))
}

// flush writes the table and the notes.
func (r *report) flush(w io.Writer) {
	_ = r.w.Flush()
	for _, n := range r.notes {
		fmt.Fprintln(w, n)
	}
}

// at formats the latency at a quantile (0 to 100).
func at(h *hdrhistogram.Histogram, q float64) string {
	if h.TotalCount() == 0 {
		return "-"
	}
	return quantile(h, q).Round(10 * time.Microsecond).String()
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

// loadAverage returns the machine's load averages, empty where they can't be
// read.
func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return ""
	}
	fields := strings.Fields(string(data))
	return strings.Join(fields[:min(3, len(fields))], " ")
}
