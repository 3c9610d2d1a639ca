package settings

import (
	"flag"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3"

	"github.com/skylarklock/skylarklock/api"
)

// EnvPrefix is the prefix of environment variables that set flags, such as
// SKYLARKLOCK_SETTINGS.
const EnvPrefix = "SKYLARKLOCK"

// Parse reads the settings from the command line of an entry VM: -settings names
// the JSON file, the other flags override individual settings. Flags can also be
// set by environment variables. The error is that of Load, flag.ErrHelp, or an
// error in the command line.
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

// overrides holds settings given on the command line. Empty fields override
// nothing.
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
