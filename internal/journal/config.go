package journal

import (
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/internal/defaults"
	"github.com/skylarklock/skylarklock/internal/finding"
	"github.com/skylarklock/skylarklock/internal/logging"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// Defaults of Config.
const (
	DefaultFlushInterval       = 5 * time.Millisecond
	DefaultMaxRecordBytes      = 256 << 10
	DefaultMaxBacklogBytes     = 4 << 20
	DefaultAppendsPerSecond    = 20
	DefaultAppendBurst         = 2
	DefaultAppendTimeout       = 2 * time.Second
	DefaultReadTimeout         = 2 * time.Second
	DefaultPollWait            = 500 * time.Millisecond
	DefaultReadInterval        = 10 * time.Millisecond
	DefaultMaxReadRecords      = 1000
	DefaultMaxSnapshotRecords  = 20000
	DefaultMaxSnapshotInterval = 10 * time.Minute
	DefaultMaxSnapshotBytes    = 64 << 20
	DefaultBackoffMin          = 20 * time.Millisecond
	DefaultBackoffMax          = 2 * time.Second
)

// Config holds the settings of a Replica. Zero fields get the defaults.
type Config struct {
	Stream        string         // name of the stream in the platform's log
	Origin        Origin         // this process; each start has a new incarnation
	Log           platform.Log   // shared by all replicas of the process
	StateMachines []StateMachine // fed by the stream; their entry types must not overlap

	FlushInterval    time.Duration  // maximum wait for more entries before an append
	MaxRecordBytes   int            // the log's size limit of a record
	MaxBacklogBytes  int            // maximum size of all entries whose outcome is not yet known
	AppendsPerSecond func() float64 // this node's current share of the log's append budget; values below 0.5 count as 0.5
	AppendBurst      int            // appends that may be sent without a pause
	AppendTimeout    time.Duration  // timeout of one append

	MaxReadRecords int           // maximum number of records in one read
	PollWait       time.Duration // how long a read waits at the end of the stream; bounds the age of ConfirmedAt
	ReadInterval   time.Duration // minimum time between the starts of two reads
	ReadTimeout    time.Duration // timeout of one read, in addition to PollWait

	MaxSnapshotRecords  uint64        // maximum number of records between snapshots
	MaxSnapshotInterval time.Duration // maximum time between snapshots; keep it below a quarter of the log's retention
	RetainedRecords     uint64        // records that the log keeps, if it counts them; a snapshot is written at least every quarter of them
	MaxSnapshotBytes    int           // larger snapshots are neither written nor read

	BackoffMin time.Duration // backoff after the first failure
	BackoffMax time.Duration // maximum backoff after a failure

	Random func() float64   // returns jitter in [0, 1); safe for concurrent use
	Now    func() time.Time // local clock with a monotonic reading
	Logger logrus.FieldLogger
}

// withDefaults returns c with the zero fields set to their defaults.
func (c Config) withDefaults() Config {
	defaults.Set(&c.FlushInterval, DefaultFlushInterval)
	defaults.Set(&c.MaxRecordBytes, DefaultMaxRecordBytes)
	defaults.Set(&c.MaxBacklogBytes, DefaultMaxBacklogBytes)
	defaults.Set(&c.AppendBurst, DefaultAppendBurst)
	defaults.Set(&c.AppendTimeout, DefaultAppendTimeout)
	defaults.Set(&c.MaxReadRecords, DefaultMaxReadRecords)
	defaults.Set(&c.PollWait, DefaultPollWait)
	defaults.Set(&c.ReadInterval, DefaultReadInterval)
	defaults.Set(&c.ReadTimeout, DefaultReadTimeout)
	defaults.Set(&c.MaxSnapshotRecords, DefaultMaxSnapshotRecords)
	defaults.Set(&c.MaxSnapshotInterval, DefaultMaxSnapshotInterval)
	defaults.Set(&c.MaxSnapshotBytes, DefaultMaxSnapshotBytes)
	defaults.Set(&c.BackoffMin, DefaultBackoffMin)
	defaults.Set(&c.BackoffMax, DefaultBackoffMax)
	if c.AppendsPerSecond == nil {
		c.AppendsPerSecond = func() float64 { return DefaultAppendsPerSecond }
	}
	if c.Random == nil {
		c.Random = rand.Float64
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Logger == nil {
		c.Logger = logging.Nop()
	}
	return c
}

// Validate returns every invalid field of c, after the defaults are applied,
// as a *finding.List.
func (c Config) Validate() error {
	c = c.withDefaults()
	var l finding.List
	l.Check(c.Stream != "", "stream", nil, "a name")
	l.Check(c.Origin.Node != "", "origin.node", nil, "a name")
	l.Check(c.Origin.Incarnation != 0, "origin.incarnation", c.Origin.Incarnation, "not zero")
	l.Check(c.Log != nil, "log", nil, "a log")
	l.Check(c.MaxRecordBytes >= minRecordBytes, "max_record_bytes", c.MaxRecordBytes, "1024 or more")
	l.Check(c.MaxBacklogBytes >= c.MaxRecordBytes, "max_backlog_bytes", c.MaxBacklogBytes, "max_record_bytes or more")
	l.Check(c.AppendBurst > 0, "append_burst", c.AppendBurst, "1 or more")
	l.Check(c.MaxReadRecords > 0, "read_max", c.MaxReadRecords, "1 or more")
	l.Check(c.MaxSnapshotBytes > 0, "max_snapshot_bytes", c.MaxSnapshotBytes, "above zero")
	l.Check(c.BackoffMax >= c.BackoffMin, "backoff_max", c.BackoffMax, "backoff_min or more")
	c.validateDurations(&l)
	c.validateStateMachines(&l)
	return l.Err()
}

func (c Config) validateDurations(l *finding.List) {
	l.Check(c.FlushInterval > 0, "flush_interval", c.FlushInterval, "above zero")
	l.Check(c.AppendTimeout > 0, "append_timeout", c.AppendTimeout, "above zero")
	l.Check(c.PollWait > 0, "poll_wait", c.PollWait, "above zero")
	l.Check(c.ReadInterval > 0, "read_interval", c.ReadInterval, "above zero")
	l.Check(c.ReadTimeout > 0, "read_timeout", c.ReadTimeout, "above zero")
	l.Check(c.MaxSnapshotInterval > 0, "snapshot_interval", c.MaxSnapshotInterval, "above zero")
	l.Check(c.BackoffMin > 0, "backoff_min", c.BackoffMin, "above zero")
}

func (c Config) validateStateMachines(l *finding.List) {
	seen := make(map[EntryType]bool)
	for _, m := range c.StateMachines {
		l.Check(len(m.Types()) > 0, "machines", nil, "entry types for each")
		for _, t := range m.Types() {
			l.Check(!seen[t], "machines", t, "each entry type once")
			l.Check(t < TypeSnapshotFirst, "machines", t, "types below the journal's own")
			seen[t] = true
		}
	}
}
