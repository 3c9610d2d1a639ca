// Package intake makes clients' jobs and cancellations durable. Requests that arrive close together
// share an append to the platform's store.
package intake

import (
	"context"
	"math/rand/v2"
	"slices"
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

// Store returns once the record is stored, is certain not to be stored, or ctx has ended. It fails
// with ErrNotStored or ErrUnknown. While the store refuses the record, Store retries for up to
// retryFor, because outages of the store are often short.
func (in *Intake) Store(ctx context.Context, record platform.Record, retryFor time.Duration) error {
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
		return errors.Mark(context.Cause(ctx), ErrUnknown)
	}
}

// enqueue adds a request to the pending ones, or fails with ErrNotStored.
func (in *Intake) enqueue(r *request) error {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.stopped {
		return errStopping
	}
	if len(in.pending) >= in.cfg.MaxPending {
		return errors.Wrap(ErrNotStored, "too many requests are pending")
	}
	if r.withdrawn {
		return nil // its client no longer waits
	}
	in.pending = append(in.pending, r)
	select {
	case in.wake <- struct{}{}:
	default:
	}
	return nil
}

// errStopping is the answer to requests that are pending when Run returns or arrive later. They would
// otherwise wait for the deadlines of their clients.
var errStopping = errors.Wrap(ErrNotStored, "the process is stopping")

// withdraw removes a pending request. It returns false if the request is already in progress.
func (in *Intake) withdraw(r *request) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if r.inProgress {
		return false
	}
	r.withdrawn = true
	in.pending = slices.DeleteFunc(in.pending, func(other *request) bool { return other == r })
	return true
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

// hasPending reports whether a request is pending.
func (in *Intake) hasPending() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return len(in.pending) > 0
}

// takeBatch returns the next requests, which share an append, and marks them as in progress.
func (in *Intake) takeBatch() []*request {
	in.mu.Lock()
	defer in.mu.Unlock()
	size, n := 0, 0
	for n < len(in.pending) && (n == 0 || size+len(in.pending[n].record.Value) <= in.cfg.MaxBatchBytes) {
		size += len(in.pending[n].record.Value)
		n++
	}
	batch := in.pending[:n:n]
	in.pending = in.pending[n:]
	for _, r := range batch {
		r.inProgress = true
	}
	return batch
}

// shutDown refuses the pending requests and all later ones.
func (in *Intake) shutDown() {
	in.mu.Lock()
	defer in.mu.Unlock()
	for _, r := range in.pending {
		r.done <- errStopping
	}
	in.pending = nil
	in.stopped = true
}

// storeBatch makes the leader store a batch. If that is not possible, or if its outcome is unknown, the
// batch is appended directly: a record that is stored twice counts once.
func (in *Intake) storeBatch(batch []*request) {
	uncertain, batch := in.storeViaLeader(batch)
	if len(batch) == 0 {
		return
	}
	if !uncertain {
		in.setInProgress(batch, false) // nothing is sent until a slot is free
	}
	batch, free := in.acquireDirectSlot(batch, uncertain)
	if !free {
		in.handleRefusal(batch, errors.New("the store has been silent for a while"), uncertain)
		return
	}
	defer func() { <-in.directSlots }()
	in.appendDirectly(dropExpired(in.resume(batch), uncertain), uncertain)
}

// setInProgress records whether the requests of a batch may be stored now or later.
func (in *Intake) setInProgress(batch []*request, inProgress bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	for _, r := range batch {
		r.inProgress = inProgress
	}
}

// resume marks the requests of a batch as in progress and returns those that were not withdrawn.
func (in *Intake) resume(batch []*request) []*request {
	in.mu.Lock()
	defer in.mu.Unlock()
	var remaining []*request
	for _, r := range batch {
		if !r.withdrawn {
			r.inProgress = true
			remaining = append(remaining, r)
		}
	}
	return remaining
}

// storeDownCheckInterval is the time between two checks of a waiting batch whether the store is down.
const storeDownCheckInterval = 50 * time.Millisecond

// acquireDirectSlot waits until the batch may be appended directly and returns the requests that still
// wait. It returns false if the store is down.
func (in *Intake) acquireDirectSlot(batch []*request, uncertain bool) ([]*request, bool) {
	check := time.NewTicker(storeDownCheckInterval)
	defer check.Stop()
	for !in.storeDown() {
		select {
		case in.directSlots <- struct{}{}:
			if !uncertain {
				batch = in.refuseHopeless(batch)
			}
			return batch, true
		case <-check.C:
			in.refuseHopelessPending()
			if !uncertain {
				batch = in.refuseHopeless(batch)
			}
		}
	}
	return batch, false
}

// lastDeadline returns the latest deadline of the batch's clients.
func lastDeadline(batch []*request) time.Time {
	var last time.Time
	for _, r := range batch {
		if d, ok := r.ctx.Deadline(); ok && d.After(last) {
			last = d
		}
	}
	if last.IsZero() {
		return time.Now().Add(defaultWait)
	}
	return last
}

// defaultWait replaces the deadline if no client of the batch has one.
const defaultWait = 3 * time.Second

// appendDirectly appends a batch. It repeats the append while the outcome is uncertain and some of the
// requests have time left.
func (in *Intake) appendDirectly(batch []*request, uncertain bool) {
	for len(batch) > 0 {
		err := in.append(batch)
		in.recordRefusal(errors.Is(err, platform.ErrUnavailable))
		if err == nil {
			answerAll(batch, nil)
			return
		}
		uncertain = uncertain || errors.Is(err, platform.ErrUncertain)
		if !uncertain || in.storeDown() {
			in.handleRefusal(batch, err, uncertain)
			return
		}
		if batch = dropExpired(batch, uncertain); len(batch) > 0 {
			time.Sleep(in.cfg.RetryDelay)
		}
	}
}

// handleRefusal answers a batch that the store did not accept. Requests that are certainly not stored
// and may still be retried are queued again after a delay.
func (in *Intake) handleRefusal(batch []*request, cause error, uncertain bool) {
	if uncertain {
		answerAll(batch, errors.Mark(cause, ErrUnknown))
		return
	}
	var retried []*request
	for _, r := range batch {
		if time.Now().Before(r.retryUntil) && r.ctx.Err() == nil {
			retried = append(retried, r)
			continue
		}
		r.done <- errors.Mark(cause, ErrNotStored)
	}
	if refused := len(batch) - len(retried); refused > 0 {
		in.logger.WithError(cause).WithField("requests", refused).Info("store takes nothing")
	}
	if len(retried) > 0 {
		in.requeueAfterDelay(retried)
	}
}

// requeueAfterDelay queues requests again after a delay; none of them is stored.
func (in *Intake) requeueAfterDelay(batch []*request) {
	in.mu.Lock()
	for _, r := range batch {
		r.inProgress = false
	}
	in.mu.Unlock()
	time.AfterFunc(min(in.refusalDelay(), time.Until(earliestRetryDeadline(batch))), func() { in.requeue(batch) })
}

func (in *Intake) requeue(batch []*request) {
	for _, r := range batch {
		if err := in.enqueue(r); err != nil {
			r.done <- err
		}
	}
}

// dropExpired answers the requests whose clients no longer wait and returns the others.
func dropExpired(batch []*request, uncertain bool) []*request {
	outcome := ErrNotStored
	if uncertain {
		outcome = ErrUnknown
	}
	var remaining []*request
	for _, r := range batch {
		if r.ctx.Err() != nil {
			r.done <- errors.Mark(r.ctx.Err(), outcome)
			continue
		}
		remaining = append(remaining, r)
	}
	return remaining
}

// append appends a batch once. The time for the answer doubles after an append that got none, up to
// MaxAppendTimeout: a store with a long queue would otherwise be sent each batch again while it works on
// it.
func (in *Intake) append(batch []*request) error {
	timeout := in.appendPace.start(in.cfg.AppendTimeout)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	_, err := in.log.Append(ctx, platform.Append{Partition: in.partition, Records: recordsOf(batch)})
	in.appendPace.end(ctx.Err() != nil, in.cfg.MaxAppendTimeout)
	return err
}

func recordsOf(batch []*request) []platform.Record {
	records := make([]platform.Record, len(batch))
	for i, r := range batch {
		records[i] = r.record
	}
	return records
}

func answerAll(batch []*request, err error) {
	for _, r := range batch {
		r.done <- err
	}
}
