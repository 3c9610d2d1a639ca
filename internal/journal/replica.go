package journal

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/skylarklock/skylarklock/internal/platform"
)

// Replica follows one stream, feeds the local state machines and appends the
// entries of local proposers. It implements Proposer and Follower.
//
// Run runs two loops: one reads and applies records, the other appends one
// record at a time.
type Replica struct {
	cfg      Config
	log      logrus.FieldLogger
	limiter  *rate.Limiter
	counters counters

	applied   atomic.Uint64             // platform.Offset
	confirmed atomic.Pointer[time.Time] // see Follower
	ready     atomic.Bool
	firstKept atomic.Uint64         // platform.Offset; the oldest in the log at the latest read
	readError atomic.Pointer[error] // of the latest read; nil if it succeeded

	applying   sync.Mutex // guards the fields up to mu; locked before mu
	core       *core
	generation uint64 // number of times that core's state was replaced
	logBehind  bool   // a read has shown that the log ends before core.next

	mu               sync.Mutex // guards the fields below
	batcher          batcher
	inFlight         map[uint64]*inFlightBatch // sent or being sent, not yet read back; by sequence
	lastSentSequence uint64                    // highest sequence that may be in the log
	stopped          bool
	progress         chan struct{} // closed and replaced to signal progress, see broadcastLocked
	schedule         snapshotSchedule
	snapshot         *snapshotWriter // nil unless a snapshot is being written
	tornRecords      []TornRecord

	snapshotID       uint64       // of the latest snapshot written by this replica; guarded by mu
	recordLimitBytes atomic.Int64 // maximum size of a record in bytes; reduced when the log refuses one as too large

	wake chan struct{} // signals the append loop that there may be work
}

var (
	_ Proposer = (*Replica)(nil)
	_ Follower = (*Replica)(nil)
)

// NewReplica returns a replica that is started by Run. It fails with a
// *finding.List if cfg is not valid.
func NewReplica(cfg Config) (*Replica, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	cfg = cfg.withDefaults()
	r := &Replica{
		cfg:      cfg,
		log:      cfg.Logger.WithFields(logrus.Fields{"stream": cfg.Stream, "node": cfg.Origin.Node}),
		limiter:  rate.NewLimiter(appendLimit(cfg.AppendsPerSecond()), cfg.AppendBurst),
		core:     newCore(cfg),
		batcher:  batcher{maxBytes: cfg.MaxBacklogBytes},
		inFlight: make(map[uint64]*inFlightBatch),
		progress: make(chan struct{}),
		wake:     make(chan struct{}, 1),
	}
	r.recordLimitBytes.Store(int64(cfg.MaxRecordBytes))
	r.schedule = snapshotSchedule{
		maxRecords: cfg.MaxSnapshotRecords, maxInterval: cfg.MaxSnapshotInterval, retainedRecords: cfg.RetainedRecords, random: cfg.Random,
	}
	r.schedule.completed(0, cfg.Now())
	return r, nil
}

// Run reads and appends until ctx ends, and returns the context's error.
// Proposers that still wait get ErrStopped, or ErrUnsettled if their entry may
// have been sent. Run must not be called more than once.
func (r *Replica) Run(ctx context.Context) error {
	defer r.stop()
	var g run.Group
	for _, loop := range []func(context.Context) error{r.readLoop, r.appendLoop} {
		loopCtx, cancel := context.WithCancel(ctx)
		g.Add(func() error { return loop(loopCtx) }, func(error) { cancel() })
	}
	return g.Run()
}

// stop ends every proposal that still waits for its result.
func (r *Replica) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
	for _, b := range r.inFlight {
		r.finishLocked(b, r.repeatError(b, ErrUnsettled))
	}
	for _, p := range r.batcher.take(r.cfg.MaxBacklogBytes) {
		r.batcher.release(p)
		p.done <- ErrStopped
	}
}

// Propose implements Proposer.
func (r *Replica) Propose(ctx context.Context, e Entry) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", ErrNotWritten, err)
	}
	p := newProposal(e, r.cfg.Now())
	if err := r.enqueue(p); err != nil {
		return err
	}
	select {
	case err := <-p.done:
		return err
	case <-ctx.Done():
		return r.abandonProposal(ctx, p)
	}
}

// enqueue checks p and queues it for the append loop.
func (r *Replica) enqueue(p *proposal) error {
	if _, ok := r.core.byType[p.entry.Type]; !ok {
		return fmt.Errorf("%w: %d", ErrUnknownType, p.entry.Type)
	}
	if p.size > entryCapacity(r.cfg.MaxRecordBytes, r.cfg.Origin) {
		return fmt.Errorf("%w: %d bytes", ErrEntryTooLarge, p.size)
	}
	if !r.Ready() {
		return ErrNotReady
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped {
		return ErrStopped
	}
	if !r.batcher.add(p) {
		r.counters.backlogFull.Add(1)
		return ErrBacklogFull
	}
	r.counters.proposed.Add(1)
	r.notifyAppender()
	return nil
}

// abandonProposal returns the result for a proposer whose context has ended.
func (r *Replica) abandonProposal(ctx context.Context, p *proposal) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case err := <-p.done:
		return err
	default:
	}
	cause := context.Cause(ctx)
	if r.batcher.remove(p) {
		r.counters.withdrawn.Add(1)
		return fmt.Errorf("%w: withdrawn: %w", ErrNotWritten, cause)
	}
	p.abandoned = true
	r.broadcastLocked()
	r.counters.unsettled.Add(1)
	return fmt.Errorf("%w: %w", ErrUnsettled, cause)
}

// Applied implements Follower.
func (r *Replica) Applied() platform.Offset {
	return platform.Offset(r.applied.Load())
}

// ConfirmedAt implements Follower.
func (r *Replica) ConfirmedAt() time.Time {
	if t := r.confirmed.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

// Ready reports whether the state is complete: the replica has reached the end
// of the stream without a gap, or has imported a peer's state. It becomes false
// when the replica finds a gap that it can't fill.
func (r *Replica) Ready() bool {
	return r.ready.Load()
}

func (r *Replica) backlogBytes() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.batcher.pendingBytes + r.batcher.inFlightBytes
}

// snapshotPosition returns the position of the newest complete snapshot.
func (r *Replica) snapshotPosition() platform.Offset {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.schedule.position
}

// batchCapacity returns how many bytes of entries fit into one record.
func (r *Replica) batchCapacity() int {
	return entryCapacity(int(r.recordLimitBytes.Load()), r.cfg.Origin)
}

// reduceRecordLimit limits later records to half of size bytes, the size of a
// record that the log refused as too large.
func (r *Replica) reduceRecordLimit(size int) {
	r.recordLimitBytes.Store(int64(max(size/2, minRecordBytes)))
}

// notifyAppender signals the append loop that there may be work.
func (r *Replica) notifyAppender() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// broadcastLocked wakes all waiters for progress. The caller holds r.mu.
func (r *Replica) broadcastLocked() {
	close(r.progress)
	r.progress = make(chan struct{})
}
