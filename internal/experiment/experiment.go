package experiment

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"sort"

	"github.com/cockroachdb/errors"
)

// experiments holds the function of each experiment by its name.
var experiments = map[string]func(context.Context, Config, *resultTable) error{
	"faults":   measureFaults,
	"flood":    measureFlood,
	"handover": measureHandover,
	"idle":     measureIdle,
	"inforce":  measureInForce,
	"latency":  measureLatency,
	"marks":    measureMarks,
	"outage":   measureOutage,
	"overload": measureOverload,
	"stop":     measureStop,
}

// Names returns the names of all experiments, sorted.
func Names() []string {
	var names []string
	for name := range experiments {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Run runs one experiment and writes its parameters and results to w.
func Run(ctx context.Context, w io.Writer, name string, cfg Config) error {
	run, ok := experiments[name]
	if !ok {
		return errors.Newf("no experiment %q, want one of %v", name, Names())
	}
	if err := cfg.Validate(); err != nil {
		return err
	}
	fmt.Fprintf(w, "experiment=%s cell=%s entries=%v executors=%dx%d slots=%d service_time=%s timeout=%s seconds=%d wait=%t per_entry=%t log_delay=%s cpus=%d load_average=%q\n",
		name, cfg.Cell.Name, cfg.Cell.Entries, len(cfg.Cell.DataCentres), cfg.Cell.ExecutorsPerDataCentre, slots,
		cfg.ServiceTime, cfg.Timeout, cfg.PhaseSeconds, cfg.WaitForSlot, cfg.PerEntry, cfg.LogDelay, runtime.NumCPU(), loadAverage())
	r := newResultTable(w)
	err := run(ctx, cfg, r)
	r.flush(w)
	fmt.Fprintf(w, "load_average=%q\n", loadAverage())
	return err
}
