package entry

import (
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

// CellStream returns the stream of a data centre.
func CellStream(dc api.DataCentre) string {
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
	configs *config.Machine
	owners  *ownership.Machine
	marks   *reqkey.Machine
	tasks   *cell.Machine

	config *journal.Replica
	cell   *journal.Replica
}

// newStreams makes the machines and the replicas that feed them. entries
// tells how many entry VMs share the budget of appends.
func newStreams(s *settings.Settings, log platform.Log, origin journal.Origin, entries func() int, counters *counter.Set, logger logrus.FieldLogger) (*streams, error) {
	st := &streams{
		configs: config.NewMachine(),
		owners:  ownership.NewMachine(),
		marks:   reqkey.NewMachine(),
	}
	st.tasks = cell.New(epochSource{owners: st.owners}, counters)
	budget := func(share float64) func() float64 {
		return func() float64 {
			return share * s.Journal.AppendsPerSecond / float64(max(1, entries()))
		}
	}
	var err error
	st.config, err = journal.NewReplica(journal.Config{
		Stream: ConfigStream, Origin: origin, Log: log,
		Machines:         []journal.Machine{st.configs},
		AppendsPerSecond: budget(configShare),
		Logger:           logger,
		FlushInterval:    s.Journal.BatchDelay.Std(),
		MaxRecordBytes:   s.Journal.BatchBytes,
		MaxBacklogBytes:  s.Journal.BacklogBytes,
		ReadMax:          s.Log.ReadRecords,
		AppendTimeout:    s.Log.AppendTimeout.Std(),
		PollWait:         s.Log.ReadWait.Std(),
		ReadTimeout:      s.Log.ReadTimeout.Std(),
		SnapshotEvery:    uint64(s.Journal.SnapshotRecords),
		SnapshotInterval: s.Journal.SnapshotInterval.Std(),
		BackoffMin:       s.Log.RetryMin.Std(),
		BackoffMax:       s.Log.RetryMax.Std(),
	})
	if err != nil {
		return nil, err
	}
	st.cell, err = journal.NewReplica(journal.Config{
		Stream: CellStream(s.DataCentre), Origin: origin, Log: log,
		Machines:         []journal.Machine{st.owners, st.marks, st.tasks},
		AppendsPerSecond: budget(1 - configShare),
		Logger:           logger,
		FlushInterval:    s.Journal.BatchDelay.Std(),
		MaxRecordBytes:   s.Journal.BatchBytes,
		MaxBacklogBytes:  s.Journal.BacklogBytes,
		ReadMax:          s.Log.ReadRecords,
		AppendTimeout:    s.Log.AppendTimeout.Std(),
		PollWait:         min(s.Log.ReadWait.Std(), s.Hold.Hold.Std()/confirmationsPerHold),
		ReadTimeout:      s.Log.ReadTimeout.Std(),
		SnapshotEvery:    uint64(s.Journal.SnapshotRecords),
		SnapshotInterval: s.Journal.SnapshotInterval.Std(),
		BackoffMin:       s.Log.RetryMin.Std(),
		BackoffMax:       s.Log.RetryMax.Std(),
	})
	if err != nil {
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
	owners *ownership.Machine
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
