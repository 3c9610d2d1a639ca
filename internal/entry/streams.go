package entry

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/cell"
	"github.com/skylarklock/skylarklock/internal/config"
	"github.com/skylarklock/skylarklock/internal/counter"
	"github.com/skylarklock/skylarklock/internal/journal"
	"github.com/skylarklock/skylarklock/internal/ownership"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/reqkey"
	"github.com/skylarklock/skylarklock/internal/settings"
)

// ConfigStream is the stream of operators' records.
const ConfigStream = "config"

// DataCentreStream returns the stream of a data centre.
func DataCentreStream(dc api.DataCentre) string {
	return "dc/" + string(dc)
}

// configShare is the share of a node's appends that is kept for the config
// stream.
const configShare = 0.2

// confirmationsPerHold is how often a quiet stream is read in a hold time, so
// that one read that fails does not end the hold.
const confirmationsPerHold = 5

// streams are the two streams that an entry VM follows.
type streams struct {
	configs *config.StateMachine
	owners  *ownership.StateMachine
	marks   *reqkey.StateMachine
	tasks   *cell.Machine

	config *journal.Replica
	cell   *journal.Replica
}

// newStreams makes the machines and the replicas that feed them. entries
// tells how many entry VMs share the budget of appends.
func newStreams(s *settings.Settings, log platform.Log, origin journal.Origin, entries func() int, counters *counter.Set, logger logrus.FieldLogger) (*streams, error) {
	st := &streams{
		configs: config.NewStateMachine(),
		owners:  ownership.NewStateMachine(),
		marks:   reqkey.NewStateMachine(),
	}
	st.tasks = cell.New(epochSource{owners: st.owners}, counters)
	replica := func(stream string, share float64, pollWait time.Duration, machines ...journal.StateMachine) (*journal.Replica, error) {
		return journal.NewReplica(journal.Config{
			Stream: stream, Origin: origin, Log: log, StateMachines: machines, Logger: logger,
			AppendsPerSecond: func() float64 {
				return share * s.Journal.AppendsPerSecond / float64(max(1, entries()))
			},
			FlushInterval:       s.Journal.BatchDelay.Std(),
			MaxRecordBytes:      s.Journal.BatchBytes,
			MaxBacklogBytes:     s.Journal.BacklogBytes,
			MaxReadRecords:      s.Log.ReadRecords,
			AppendTimeout:       s.Log.AppendTimeout.Std(),
			PollWait:            pollWait,
			ReadTimeout:         s.Log.ReadTimeout.Std(),
			MaxSnapshotRecords:  uint64(s.Journal.SnapshotRecords),
			MaxSnapshotInterval: s.Journal.SnapshotInterval.Std(),
			BackoffMin:          s.Log.RetryMin.Std(),
			BackoffMax:          s.Log.RetryMax.Std(),
		})
	}
	readWait := s.Log.ReadWait.Std()
	holdWait := min(readWait, s.Hold.Hold.Std()/confirmationsPerHold)
	var err error
	if st.config, err = replica(ConfigStream, configShare, readWait, st.configs); err != nil {
		return nil, err
	}
	if st.cell, err = replica(DataCentreStream(s.DataCentre), 1-configShare, holdWait, st.owners, st.marks, st.tasks); err != nil {
		return nil, err
	}
	return st, nil
}

// ready reports whether both streams are complete.
func (st *streams) ready() bool {
	return st.config.Ready() && st.cell.Ready()
}

// epochSource tells the cell's machine which epoch holds the placement shard
// at the place in the log that is being applied.
type epochSource struct {
	owners *ownership.StateMachine
}

// CellEpoch implements cell.EpochSource. It is zero while nobody holds the
// shard, so that no start is accepted.
func (e epochSource) CellEpoch() api.Epoch {
	h := e.owners.Holder(ownership.Cell)
	if h.Status != ownership.StatusHeld {
		return 0
	}
	return h.Epoch
}
