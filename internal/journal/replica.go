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

// Replica follows one stream, feeds the local machines and appends the
// entries of local proposers. It implements Proposer and Follower.
//
// Run drives it with two loops: one reads and applies, the other appends,
// one record at a time.
type Replica struct {
	cfg      Config
	log      logrus.FieldLogger
	limiter  *rate.Limiter
	counters counters

	applied   atomic.Uint64             // platform.Offset
	confirmed atomic.Pointer[time.Time] // see Follower
	ready     atomic.Bool
	firstKept atomic.Uint64 // platform.Offset; the oldest that the log kept at the latest read

	applying   sync.Mutex // guards what follows up to mu, and is taken before it
	core       *core
	generation uint64 // counts the states that replaced core's
	logBehind  bool   // the log was seen to end before core.next

	mu       sync.Mutex // guards what follows
	batcher  batcher
	unread   map[uint64]*outgoing // sent or being sent and not yet read back, by sequence
	lastSent uint64               // highest sequence that may be in the log
	stopped  bool
	progress chan struct{} // closed and renewed when a read reached the end
	schedule schedule
	snapshot *snapshotWriter // nil when none is being written
	torn     []TornRecord

	snapshotID  uint64       // of the latest snapshot written here; guarded by mu
	recordLimit atomic.Int64 // bytes of one record; lowered when the log refuses one as too large

	wake chan struct{} // tells the append loop that there may be work
}

var (
	_ Proposer = (*Replica)(nil)
	_ Follower = (*Replica)(nil)
)

// NewReplica returns a replica that does nothing before Run. It fails with
// a *finding.List when cfg is not valid.
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
		unread:   make(map[uint64]*outgoing),
		progress: make(chan struct{}),
		wake:     make(chan struct{}, 1),
	}
	r.recordLimit.Store(int64(cfg.MaxRecordBytes))
	r.schedule = schedule{
		every: cfg.MaxSnapshotRecords, interval: cfg.MaxSnapshotInterval, retain: cfg.RetainedRecords, random: cfg.Random,
	}
	r.schedule.completed(0, cfg.Now())
	return r, nil
}

// Run reads and appends until ctx ends, and returns the reason. Proposers
// that still wait get ErrStopped, or ErrUnsettled when their entry may have
// been sent. Run may be called once.
func (r *Replica) Run(ctx context.Context) error {
	defer r.stop()
	var g run.Group
	for _, loop := range []func(context.Context) error{r.readLoop, r.appendLoop} {
		loopCtx, cancel := context.WithCancel(ctx)
		g.Add(func() error { return loop(loopCtx) }, func(error) { cancel() })
	}
	return g.Run()
}

// stop answers every proposer that still waits.
func (r *Replica) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
	for _, o := range r.unread {
		r.finishLocked(o, r.sameForAll(o, ErrUnsettled))
	}
	for _, p := range r.batcher.take(r.cfg.MaxBacklogBytes) {
		r.batcher.settle(p)
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
		return r.leave(ctx, p)
	}
}

// enqueue checks p and queues it for the append loop.
func (r *Replica) enqueue(p *proposal) error {
	if _, ok := r.core.byType[p.entry.Type]; !ok {
		return fmt.Errorf("%w: %d", ErrUnknownType, p.entry.Type)
	}
	if p.size > entryRoom(r.cfg.MaxRecordBytes, r.cfg.Origin) {
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
	r.wakeAppender()
	return nil
}

// leave answers a proposer whose context has ended.
func (r *Replica) leave(ctx context.Context, p *proposal) error {
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
	p.left = true
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

// Ready reports whether the state is complete: the replica has once come to
// the end of the stream without a gap, or has taken in a peer's state. It
// turns false when the replica finds a gap that it can't bridge.
func (r *Replica) Ready() bool {
	return r.ready.Load()
}

func (r *Replica) backlogBytes() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.batcher.waiting + r.batcher.taken
}

// snapshotPosition is what the newest complete snapshot stands for.
func (r *Replica) snapshotPosition() platform.Offset {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.schedule.position
}

// room is how many bytes of entries fit into one record.
func (r *Replica) room() int {
	return entryRoom(int(r.recordLimit.Load()), r.cfg.Origin)
}

// lowerLimit makes the following records smaller than one of size bytes that
// the log refused.
func (r *Replica) lowerLimit(size int) {
	r.recordLimit.Store(int64(max(size/2, minRecordBytes)))
}

// wakeAppender tells the append loop that there may be work.
func (r *Replica) wakeAppender() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// broadcastLocked wakes everybody who waits for progress.
func (r *Replica) broadcastLocked() {
	close(r.progress)
	r.progress = make(chan struct{})
}
