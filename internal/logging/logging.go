// Package logging configures logrus to write each event as one line of key=value pairs.
// Values that contain spaces, quotes or line breaks are quoted.
package logging

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/api"
)

// Keys of the fields that all events of a node have.
const (
	KeyNode       = "node"
	KeyDataCentre = "data_centre"
)

// Levels are the accepted names of log levels, in order of increasing verbosity.
var Levels = []string{"error", "warning", "info", "debug"}

// New returns a logger that writes to w at level, one of Levels.
func New(w io.Writer, level string) (*logrus.Logger, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "logging: level")
	}
	log := logrus.New()
	log.SetOutput(w)
	log.SetLevel(parsed)
	log.SetFormatter(&logrus.TextFormatter{
		DisableColors:    true,
		FullTimestamp:    true,
		TimestampFormat:  time.RFC3339Nano,
		QuoteEmptyFields: true,
	})
	return log, nil
}

// ForNode returns an entry of log whose events have the node's ID and data centre as
// fields.
func ForNode(log *logrus.Logger, node api.NodeID, dc api.DataCentre) *logrus.Entry {
	return log.WithFields(logrus.Fields{KeyNode: string(node), KeyDataCentre: string(dc)})
}

// Nop returns an entry that discards all events, for components without a logger and
// for tests.
func Nop() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}
