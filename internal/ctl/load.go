package ctl

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/load"
)

// Load returns the load subcommand, which sends an open-loop load to entry VMs on
// loopback and prints the results.
func Load(stdout io.Writer) *ffcli.Command {
	fs := flag.NewFlagSet("load", flag.ContinueOnError)
	entries := fs.String("entries", "", "callers' `addresses` of entry VMs, 127.0.0.1:port, separated by commas")
	var streams streamList
	fs.Var(&streams, "stream", "`key=value,...` of one stream, may be given several times: "+streamKeys)
	cfg := load.Config{}
	fs.DurationVar(&cfg.Duration, "for", 10*time.Second, "how long to send, at most 5m")
	fs.DurationVar(&cfg.ReadinessInterval, "check", 500*time.Millisecond, "between looks at the readiness of entry VMs; 0: none")
	fs.IntVar(&cfg.MaxOpen, "max-open", 5000, "open requests of all streams")
	fs.Uint64Var(&cfg.Seed, "seed", 1, "of the times between requests")
	return &ffcli.Command{
		Name:       "load",
		ShortUsage: "skylarkctl load -entries IP:PORT,... -stream KEY=VALUE,...",
		ShortHelp:  "sends requests to entry VMs on loopback and counts what came back",
		FlagSet:    fs,
		Options:    []ff.Option{ff.WithEnvVarPrefix(EnvPrefix)},
		Exec: func(ctx context.Context, _ []string) error {
			cfg.Entries = strings.Split(*entries, ",")
			cfg.Streams = streams
			cfg.IDPrefix = fmt.Sprintf("load-%d", time.Now().UnixNano())
			return runLoad(ctx, stdout, cfg)
		},
	}
}

func runLoad(ctx context.Context, stdout io.Writer, cfg load.Config) error {
	runner, err := load.NewRunner(cfg)
	if err != nil {
		return err
	}
	for i, result := range runner.Run(ctx) {
		s := cfg.Streams[i]
		result.Print(stdout, fmt.Sprintf("%d:%s/%s", i, s.Service, s.Caller))
	}
	return ctx.Err()
}

const streamKeys = "service, rate (a second), caller, class, path, idempotent, timeout, repeat (share sent twice), bytes (of the body)"

// streamList is the value of the -stream flag.
type streamList []load.Stream

// String implements flag.Value.
func (l *streamList) String() string { return fmt.Sprint(len(*l), " streams") }

// Set implements flag.Value. It adds one stream.
func (l *streamList) Set(text string) error {
	s := load.Stream{Caller: "load", Class: string(api.ClassInteractive), Path: "/", Rate: 10, Timeout: time.Second}
	for _, pair := range strings.Split(text, ",") {
		key, value, ok := strings.Cut(pair, "=")
		if !ok {
			return fmt.Errorf("%q: want key=value", pair)
		}
		if err := setStream(&s, key, value); err != nil {
			return fmt.Errorf("%s: %w", key, err)
		}
	}
	*l = append(*l, s)
	return nil
}

// setStream sets the field of s that key names.
func setStream(s *load.Stream, key, value string) (err error) {
	switch key {
	case "service":
		s.Service = value
	case "caller":
		s.Caller = value
	case "class":
		s.Class = value
	case "path":
		s.Path = value
	case "rate":
		s.Rate, err = strconv.ParseFloat(value, 64)
	case "repeat":
		s.RepeatShare, err = strconv.ParseFloat(value, 64)
	case "bytes":
		s.BodyBytes, err = strconv.Atoi(value)
	case "idempotent":
		s.Idempotent, err = strconv.ParseBool(value)
	case "timeout":
		s.Timeout, err = time.ParseDuration(value)
	default:
		return fmt.Errorf("not one of %s", streamKeys)
	}
	return err
}
