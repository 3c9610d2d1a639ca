package experiment

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/skylarklock/skylarklock/internal/router"
)

// Command returns the subcommand that runs experiments. Flags can also be set by
// environment variables with envPrefix.
func Command(stdout io.Writer, envPrefix string) *ffcli.Command {
	fs := flag.NewFlagSet("experiment", flag.ContinueOnError)
	bothPolicies := router.PolicyLeastLoaded + "," + router.PolicyBaseline
	cell := fs.String("cell", "voltwren", "whose sizes: voltwren or agence")
	policy := fs.String("policy", bothPolicies, "routing policies to compare, separated by commas")
	var cfg Config
	fs.IntVar(&cfg.PhaseSeconds, "seconds", 10, "length of each measured phase, 1 to 60")
	fs.DurationVar(&cfg.ServiceTime, "service-time", 400*time.Millisecond, "mean service time of the executors")
	fs.DurationVar(&cfg.Timeout, "timeout", 1200*time.Millisecond, "of callers' requests")
	fs.BoolVar(&cfg.WaitForSlot, "wait", false, "executors let requests wait beyond their slots")
	fs.BoolVar(&cfg.PerEntry, "per-entry", false, "the same share of the load for each entry VM, not each data centre")
	fs.DurationVar(&cfg.LogDelay, "log-delay", 5*time.Millisecond, "delay of every call of the log")
	fs.DurationVar(&cfg.BatchDelay, "batch-delay", 0, "journal.batch_delay of the entry VMs; 0: the default")
	fs.Float64Var(&cfg.AppendsPerSecond, "appends", 0, "journal.appends_per_second of the entry VMs; 0: the default")
	fs.DurationVar(&cfg.Heartbeat, "heartbeat", 0, "hold.heartbeat of the entry VMs; 0: the default")
	fs.IntVar(&cfg.ExecutorsPerDataCentre, "executors", 0, "executors in each data centre; 0: the cell's")
	fs.Uint64Var(&cfg.Seed, "seed", 1, "of the load")
	return &ffcli.Command{
		Name:       "experiment",
		ShortUsage: "skylarkctl experiment [flags] " + strings.Join(Names(), "|"),
		ShortHelp:  "measures entry VMs between stand-ins, against the baseline policy",
		FlagSet:    fs,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return errors.Newf("experiment: want one of %v", Names())
			}
			sizes, ok := Cells[*cell]
			if !ok {
				return errors.Newf("experiment: no cell %q", *cell)
			}
			if cfg.ExecutorsPerDataCentre > 0 {
				sizes.ExecutorsPerDataCentre = cfg.ExecutorsPerDataCentre
			}
			cfg.Cell = sizes
			cfg.Policies = strings.Split(*policy, ",")
			if err := Run(ctx, stdout, args[0], cfg); err != nil {
				return fmt.Errorf("experiment %s: %w", args[0], err)
			}
			return nil
		},
	}
}
