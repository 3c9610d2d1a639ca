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

// capacityLimit bounds one run of all measurements.
const capacityLimit = 3 * time.Minute

// capacityResult is one measurement as written to the file of raw points.
type capacityResult struct {
	Series      capacity.Series `json:"series"`
	Fit         capacity.Fit    `json:"fit"`
	LoadAverage string          `json:"load_average"`
	Took        time.Duration   `json:"took_ns"`
}

// Capacity returns the subcommand that measures the slopes of
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
			ctx, cancel := context.WithTimeout(ctx, capacityLimit)
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

// runCapacity runs the chosen measurements and prints each.
func runCapacity(ctx context.Context, stdout io.Writer, only []string, out string) ([]capacityResult, error) {
	fmt.Fprintf(stdout, "machine=%q load_average=%s\n", capacity.Machine(), capacity.LoadAverage())
	var results []capacityResult
	for _, m := range capacity.All() {
		if !chosen(m.Name, only) {
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

func chosen(name string, only []string) bool {
	for _, prefix := range only {
		if strings.HasPrefix(name, prefix) {
			return true
		}
	}
	return false
}

func measure(ctx context.Context, m capacity.Measurement) (capacityResult, error) {
	load, began := capacity.LoadAverage(), time.Now()
	series, err := m.Measure(ctx)
	if err != nil {
		return capacityResult{}, err
	}
	fit, err := capacity.NewFit(series)
	return capacityResult{Series: series, Fit: fit, LoadAverage: load, Took: time.Since(began)}, err
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
