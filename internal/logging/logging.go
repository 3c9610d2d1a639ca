// Package logging sets up logrus so that each event is one line of key=value
// pairs. Values that hold spaces, quotes or line breaks are quoted.
package logging

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/api"
)

// Keys of the fields that every event of a node carries.
const (
	KeyNode       = "node"
	KeyDataCentre = "data_centre"
)

// Levels are the accepted names of levels, least talkative first.
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

// ForNode returns an entry of log whose events carry the node's identity.
func ForNode(log *logrus.Logger, node api.NodeID, dc api.DataCentre) *logrus.Entry {
	return log.WithFields(logrus.Fields{KeyNode: string(node), KeyDataCentre: string(dc)})
}

// Nop returns an entry whose events go nowhere, for parts that were given no
// log and for tests.
func Nop() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}
