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

// ConfigStream is the name of the stream of operators' records.
const ConfigStream = "config"

// DataCentreStream returns the name of a data centre's stream.
func DataCentreStream(dc api.DataCentre) string {
	return "dc/" + string(dc)
}

// configAppendShare is the share of a node's appends that is reserved for the config
// stream.
const configAppendShare = 0.2

// readsPerHold is how often an idle stream is read within the hold duration, so that
// one failed read does not end the hold.
const readsPerHold = 5

// streams holds the two streams that an entry VM follows: the state machines and
// the replicas that feed them.
type streams struct {
	configState    *config.StateMachine
	ownershipState *ownership.StateMachine
	markState      *reqkey.StateMachine
	cellState      *cell.StateMachine

	config *journal.Replica
	cell   *journal.Replica
}

// newStreams creates the state machines and the replicas that feed them. entries
// returns how many entry VMs share the append budget.
func newStreams(s *settings.Settings, log platform.Log, origin journal.Origin, entries func() int, counters *counter.Set, logger logrus.FieldLogger) (*streams, error) {
	st := &streams{
		configState:    config.NewStateMachine(),
		ownershipState: ownership.NewStateMachine(),
		markState:      reqkey.NewStateMachine(),
	}
	st.cellState = cell.New(epochSource{ownershipState: st.ownershipState}, counters)
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
	holdWait := min(readWait, s.Hold.Hold.Std()/readsPerHold)
	var err error
	if st.config, err = replica(ConfigStream, configAppendShare, readWait, st.configState); err != nil {
		return nil, err
	}
	if st.cell, err = replica(DataCentreStream(s.DataCentre), 1-configAppendShare, holdWait, st.ownershipState, st.markState, st.cellState); err != nil {
		return nil, err
	}
	return st, nil
}

// ready reports whether the state of both streams is complete.
func (st *streams) ready() bool {
	return st.config.Ready() && st.cell.Ready()
}

// epochSource provides the cell's state machine with the epoch of the placement
// shard at the log position that is being applied.
type epochSource struct {
	ownershipState *ownership.StateMachine
}

// CellEpoch implements cell.EpochSource. It returns zero while nobody holds the
// shard, so that no start is accepted.
func (e epochSource) CellEpoch() api.Epoch {
	h := e.ownershipState.Holder(ownership.Cell)
	if h.Status != ownership.StatusHeld {
		return 0
	}
	return h.Epoch
}
