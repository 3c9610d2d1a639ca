package ctl

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/skylarklock/skylarklock/internal/capacity"
)

// capacityTimeout is the maximum duration of a run of all measurements.
const capacityTimeout = 3 * time.Minute

// capacityResult is the result of one measurement, as written to points.json.
type capacityResult struct {
	Series      capacity.Series `json:"series"`
	Fit         capacity.Fit    `json:"fit"`
	LoadAverage string          `json:"load_average"`
	Took        time.Duration   `json:"took_ns"`
}

// Capacity returns the capacity subcommand, which measures the slopes given in
// docs/CAPACITY.md.
func Capacity(stdout io.Writer) *ffcli.Command {
	fs := flag.NewFlagSet("capacity", flag.ContinueOnError)
	only := fs.String("only", "", "`names` of measurements, or their beginnings, separated by commas; all by default")
	out := fs.String("out", "", "`directory` that plots and raw points are written to")
	return &ffcli.Command{
		Name:       "capacity",
		ShortUsage: "skylarkctl capacity [-only NAMES] [-out DIRECTORY]",
		ShortHelp:  "measures what each role costs at several sizes, in process",
		FlagSet:    fs,
		Options:    []ff.Option{ff.WithEnvVarPrefix(EnvPrefix)},
		Exec: func(ctx context.Context, _ []string) error {
			ctx, cancel := context.WithTimeout(ctx, capacityTimeout)
			defer cancel()
			if *out != "" {
				if err := os.MkdirAll(*out, 0o755); err != nil {
					return err
				}
			}
			results, err := runCapacity(ctx, stdout, strings.Split(*only, ","), *out)
			if err != nil || *out == "" {
				return err
			}
			return writePoints(filepath.Join(*out, "points.json"), results)
		},
	}
}

// runCapacity runs the measurements whose names start with an element of only and
// prints their results. Unless out is empty, it also writes plots to that
// directory.
func runCapacity(ctx context.Context, stdout io.Writer, only []string, out string) ([]capacityResult, error) {
	fmt.Fprintf(stdout, "machine=%q load_average=%s\n", capacity.DescribeMachine(), capacity.LoadAverage())
	var results []capacityResult
	for _, m := range capacity.AllMeasurements() {
		if !isSelected(m.Name, only) {
			continue
		}
		r, err := measure(ctx, m)
		if err != nil {
			return results, err
		}
		results = append(results, r)
		r.print(stdout)
		if out == "" {
			continue
		}
		if err := capacity.Plot(r.Series, r.Fit, filepath.Join(out, m.Name+".svg")); err != nil {
			return results, err
		}
	}
	if len(results) == 0 {
		return nil, badInput("capacity: no measurement named %q", only)
	}
	return results, nil
}

// isSelected reports whether name starts with an element of only.
func isSelected(name string, only []string) bool {
	for _, prefix := range only {
		if strings.HasPrefix(name, prefix) {
			return true
		}
	}
	return false
}

func measure(ctx context.Context, m capacity.Measurement) (capacityResult, error) {
	load, start := capacity.LoadAverage(), time.Now()
	series, err := m.Measure(ctx)
	if err != nil {
		return capacityResult{}, err
	}
	fit, err := capacity.NewFit(series)
	return capacityResult{Series: series, Fit: fit, LoadAverage: load, Took: time.Since(start)}, err
}

// print writes the points and the fit as key=value lines.
func (r capacityResult) print(w io.Writer) {
	for _, p := range r.Series.Points {
		fmt.Fprintf(w, "measurement=%s size=%g cost=%.6g\n", r.Series.Name, p.Size, p.Cost)
	}
	fmt.Fprintf(w, "measurement=%s x=%q y=%q slope=%.5g intercept=%.5g residual=%.3f load_average=%s took=%s\n",
		r.Series.Name, r.Series.XLabel, r.Series.YLabel, r.Fit.Slope, r.Fit.Intercept, r.Fit.Residual, r.LoadAverage, r.Took.Round(10*time.Millisecond))
}

func writePoints(path string, results []capacityResult) error {
	data, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return err
	}
	return errors.Wrap(os.WriteFile(path, append(data, '\n'), 0o644), "raw points")
}
