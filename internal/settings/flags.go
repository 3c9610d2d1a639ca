package settings

import (
	"flag"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3"

	"github.com/skylarklock/skylarklock/api"
)

// EnvPrefix starts the names of environment variables that stand for flags,
// such as SKYLARKLOCK_SETTINGS.
const EnvPrefix = "SKYLARKLOCK"

// Parse reads the command line of an entry VM: -settings names the JSON file,
// the other flags override single settings. Flags may be given by environment
// variables too. It returns the errors of Load, flag.ErrHelp, or those of the
// command line itself.
func Parse(args []string) (*Settings, error) {
	fs := flag.NewFlagSet("skylarklock", flag.ContinueOnError)
	path := fs.String("settings", "", "JSON `file` with the settings")
	node := fs.String("node-id", "", "overrides node_id")
	level := fs.String("log-level", "", "overrides log_level")
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix(EnvPrefix)); err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	if *path == "" {
		return nil, errors.New("settings: -settings is missing")
	}
	return load(*path, overrides{node: api.NodeID(*node), level: *level})
}

// overrides are single settings given on the command line; empty ones leave
// the setting as it is.
type overrides struct {
	node  api.NodeID
	level string
}

func (o overrides) apply(s *Settings) {
	if o.node != "" {
		s.NodeID = o.node
	}
	if o.level != "" {
		s.LogLevel = o.level
	}
}
