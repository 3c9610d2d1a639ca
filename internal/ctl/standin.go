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

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/standin/site"
)

// maxStandinDuration is the maximum time for which stand-ins run.
const maxStandinDuration = time.Hour

// Standin returns the standin subcommand, which starts stand-ins for the platform's
// services and writes settings for entry VMs that use them.
func Standin(stdout io.Writer) *ffcli.Command {
	fs := flag.NewFlagSet("standin", flag.ContinueOnError)
	dir := fs.String("dir", "", "`directory` that the settings are written to")
	dcs := fs.String("data-centres", "dc-a,dc-b", "names, separated by commas")
	entries := fs.Int("entries", 2, "entry VMs of each data centre")
	vms := fs.Int("vms", 12, "worker VMs of each data centre")
	executors := fs.Int("executors", 12, "executors of torquebench in each data centre")
	duration := fs.Duration("for", 10*time.Minute, "how long to run, at most 1h")
	return &ffcli.Command{
		Name:       "standin",
		ShortUsage: "skylarkctl standin -dir DIRECTORY [flags]",
		ShortHelp:  "starts stand-ins of the log, VM list, workers and executors",
		FlagSet:    fs,
		Options:    []ff.Option{ff.WithEnvVarPrefix(EnvPrefix)},
		Exec: func(ctx context.Context, _ []string) error {
			if *dir == "" || *duration > maxStandinDuration {
				return flag.ErrHelp
			}
			cfg := site.Config{
				VMsPerDataCentre: *vms, VMsPerRack: 6,
				Capacity: api.Resources{MilliCPU: 32_000, MemoryMB: 64 << 10},
				Services: []site.Service{{
					Name: "torquebench", ExecutorsPerDataCentre: *executors, Slots: 8, Connections: 60,
					ServiceTime: 40 * time.Millisecond, Spread: 0.5,
				}},
			}
			for _, name := range strings.Split(*dcs, ",") {
				cfg.DataCentres = append(cfg.DataCentres, api.DataCentre(name))
			}
			return runStandin(ctx, stdout, cfg, *dir, *entries, *duration)
		},
	}
}

func runStandin(ctx context.Context, stdout io.Writer, cfg site.Config, dir string, entries int, duration time.Duration) error {
	s, err := site.Start(cfg)
	if err != nil {
		return err
	}
	defer s.Close()
	all, err := s.EntrySettings(entries)
	if err != nil {
		return err
	}
	for _, e := range all {
		data, err := json.MarshalIndent(e, "", "  ")
		if err != nil {
			return err
		}
		path := filepath.Join(dir, string(e.NodeID)+".json")
		if err := os.WriteFile(path, append(data, '\n'), 0o644); err != nil {
			return err
		}
		fmt.Fprintf(stdout, "settings=%s callers=%s operators=%s\n", path, e.Listen.Callers, e.Listen.Operators)
	}
	fmt.Fprintf(stdout, "log=%s vm_list=%s workers=%s\n", s.LogAddress, s.VMListAddress, s.WorkerAddress)
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	<-ctx.Done()
	return nil
}
