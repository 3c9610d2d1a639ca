// Package intake makes clients' jobs and cancellations durable. Requests that arrive close together
// share an append to the platform's store.
package intake

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/internal/pause"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// Errors of Intake.Store.
var (
	// ErrNotStored says that the record is not stored and never will be.
	ErrNotStored = errors.New("intake: not stored")
	// ErrUnknown says that the record may be stored now or later.
	ErrUnknown = errors.New("intake: may be stored")
)

// BusyError says that a job was not stored because it would end too late to be of use to its client.
type BusyError struct {
	RetryAfter time.Duration // delay after which the wait will be shorter
}

// Error implements error.
func (e *BusyError) Error() string { return "intake: too much waits before it" }

// ErrNoLeader says that there is no leader that could store the records; nothing was done.
var ErrNoLeader = errors.New("intake: no leader")

// Config holds the intervals and limits of an Intake.
type Config struct {
	GatherDelay          time.Duration // how long a request waits for others to share its append
	AppendTimeout        time.Duration // limit of one append, whose answer may be lost
	MaxAppendTimeout     time.Duration // limit of an append after others got no answer
	RetryDelay           time.Duration // before an append with an uncertain outcome is repeated
	RefusalDelay         time.Duration // before a store that refused an append is tried again
	MaxRefusalDelay      time.Duration // limit of that delay, which doubles with each consecutive refusal after the first constantDelayRefusals
	DeliveryPollInterval time.Duration // between two checks whether a record in progress has been delivered
	DeliveryPollTimeout  time.Duration // how long these checks continue
	MaxBatches           int           // batches in progress
	MaxDirectAppends     int           // direct appends in progress, among these batches
	MaxBatchBytes        int           // size of one append
	MaxPending           int           // pending requests
}

// DefaultConfig returns the configuration in use. An append takes about 5 ms at the store, which
// makes one append at a time in each partition. An append without an answer is repeated: a second
// record with the same key changes nothing. Few direct appends are made at a time, because without a
// leader all machines make them at once, and a slow store accepts no more than 20 a second. Pending
// requests share the next append, and a store that refuses appends because its queue is full is
// tried at growing intervals.
func DefaultConfig() Config {
	return Config{
		GatherDelay:          2 * time.Millisecond,
		AppendTimeout:        800 * time.Millisecond,
		MaxAppendTimeout:     2400 * time.Millisecond, // the store refuses what would wait for 2 s
		RetryDelay:           30 * time.Millisecond,
		RefusalDelay:         80 * time.Millisecond,
		MaxRefusalDelay:      time.Second,
		DeliveryPollInterval: 50 * time.Millisecond,
		DeliveryPollTimeout:  1500 * time.Millisecond,
		MaxBatches:           8,
		MaxDirectAppends:     1,
		MaxBatchBytes:        512 << 10,
		MaxPending:           2000,
	}
}

// Intake stores records in one keyed partition, through the leader or by direct appends.
type Intake struct {
	cfg            Config
	log            platform.PartitionLog
	partition      platform.Partition
	relay          Relay
	storeDown      func() bool           // whether the store has given no answer for a while
	isDelivered    func(key string) bool // whether the record of a key is known to be stored
	logger         *logrus.Entry
	batchSlots     chan struct{} // one element for each batch in progress
	directSlots    chan struct{} // one element for each direct append in progress
	wake           chan struct{}
	leaderEpoch    func() uint64                           // see SetLeaderEpoch; nil: unknown
	randomDuration func(below time.Duration) time.Duration // returns a random duration below its argument
	appendPace     appendPace

	mu                  sync.Mutex
	pending             []*request
	consecutiveRefusals int  // consecutive direct appends that the store has refused
	stopped             bool // Run has returned, and no further request would be handled
}

// request is one record that is to be stored.
type request struct {
	ctx        context.Context
	record     platform.Record
	retryUntil time.Time  // until when the request is retried while the store refuses it
	done       chan error // receives one value

	// Used by the goroutine that handles the request's batch.
	uncertain bool   // something was sent for it, so that it may be stored now or later
	epoch     uint64 // of the leader that was known when it was last passed on
	appended  bool   // a direct append may be applied later, also under another leader

	// Guarded by Intake.mu.
	inProgress bool // it was taken to be stored and may be stored now or later
	withdrawn  bool // its client was told that it is not stored
}

// New returns an Intake for a partition.
func New(cfg Config, log platform.PartitionLog, p platform.Partition, relay Relay, storeDown func() bool, isDelivered func(string) bool, logger *logrus.Entry) *Intake {
	return &Intake{
		cfg:            cfg,
		log:            log,
		partition:      p,
		relay:          relay,
		storeDown:      storeDown,
		isDelivered:    isDelivered,
		logger:         logger,
		batchSlots:     make(chan struct{}, cfg.MaxBatches),
		directSlots:    make(chan struct{}, cfg.MaxDirectAppends),
		wake:           make(chan struct{}, 1),
		randomDuration: rand.N[time.Duration],
	}
}

// SetLeaderEpoch sets a function that returns the epoch of the current leader, 0 if it isn't known. It must
// be called before Run. With it, requests that wait are passed to the next leader as soon as it is known.
func (in *Intake) SetLeaderEpoch(epoch func() uint64) { in.leaderEpoch = epoch }

// currentEpoch returns the epoch of the current leader, or 0 if it isn't known.
func (in *Intake) currentEpoch() uint64 {
	if in.leaderEpoch == nil {
		return 0
	}
	return in.leaderEpoch()
}

// settleTime is how long Store waits after the end of its context for the outcome of a request in progress:
// a call that ends with the same context then reports that nothing was sent.
const settleTime = 10 * time.Millisecond

// Store returns once the record is stored, is certain not to be stored, or ctx has ended. It fails
// with ErrNotStored or ErrUnknown. While the store refuses the record, Store retries for up to
// retryFor, because outages of the store are often short.
func (in *Intake) Store(ctx context.Context, record platform.Record, retryFor time.Duration) error {
	err := in.tryStore(ctx, record, retryFor)
	if err != nil && in.isDelivered(record.Key) {
		return nil // another attempt of the client may have stored it, at another machine
	}
	return err
}

// tryStore is Store without regard to what others have stored.
func (in *Intake) tryStore(ctx context.Context, record platform.Record, retryFor time.Duration) error {
	r := &request{ctx: ctx, record: record, retryUntil: time.Now().Add(retryFor), done: make(chan error, 1)}
	if err := in.enqueue(r); err != nil {
		return err
	}
	select {
	case err := <-r.done:
		return err
	case <-ctx.Done():
		if in.withdraw(r) {
			return errors.Mark(context.Cause(ctx), ErrNotStored)
		}
	}
	select {
	case err := <-r.done:
		return err
	case <-time.After(settleTime):
		return errors.Mark(context.Cause(ctx), ErrUnknown)
	}
}

// Run stores requests until ctx ends.
func (in *Intake) Run(ctx context.Context) error {
	defer in.shutDown()
	for {
		select {
		case <-in.wake:
		case <-ctx.Done():
			return nil
		}
		pause.For(ctx, in.cfg.GatherDelay)
		for in.hasPending() {
			select {
			case in.batchSlots <- struct{}{}:
			case <-ctx.Done():
				return nil
			}
			batch := in.takeBatch()
			go func() {
				defer func() { <-in.batchSlots }()
				if len(batch) > 0 { // all requests may have been withdrawn in the meantime
					in.storeBatch(batch)
				}
			}()
		}
	}
}
