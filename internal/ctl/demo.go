package ctl

import (
	"context"
	"flag"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/skylarklock/skylarklock/internal/demo"
)

// Demo returns the demo subcommand, which runs jobs end to end in one process.
func Demo(stdout io.Writer) *ffcli.Command {
	fs := flag.NewFlagSet("demo", flag.ContinueOnError)
	logs := fs.String("logs", "", "`file` that the entry nodes log to; empty: nowhere")
	return &ffcli.Command{
		Name:       "demo",
		ShortUsage: "skylarkctl demo [-logs FILE]",
		ShortHelp:  "runs services, batch and gang jobs with faults, and checks what was promised",
		FlagSet:    fs,
		Exec: func(ctx context.Context, _ []string) error {
			if *logs == "" {
				return demo.Run(ctx, stdout, io.Discard)
			}
			file, err := os.Create(*logs)
			if err != nil {
				return err
			}
			defer file.Close()
			return demo.Run(ctx, stdout, file)
		},
	}
}
