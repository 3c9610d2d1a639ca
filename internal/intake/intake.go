// Package intake makes clients' jobs and cancels durable. Requests that
// arrive close together share an append to the platform's store.
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

// Outcomes of Store besides success.
var (
	// ErrNotStored: the record is not stored and never will be.
	ErrNotStored = errors.New("intake: not stored")
	// ErrUnknown: the record may be stored, or may come to be.
	ErrUnknown = errors.New("intake: may be stored")
)

// BusyError says that a job was not stored because it would end too late to be
// of use to its client.
type BusyError struct {
	RetryAfter time.Duration // when the wait will be shorter
}

// Error implements error.
func (e *BusyError) Error() string { return "intake: too much waits before it" }

// ErrNoLeader: there is no leader that could store the records; nothing was
// done.
var ErrNoLeader = errors.New("intake: no leader")

// Config holds the intervals and limits of an Intake.
type Config struct {
	GatherDelay          time.Duration // how long a request waits for others to share its append
	AppendTimeout        time.Duration // longest append; its answer may be lost
	RetryDelay           time.Duration // pause before an append is repeated
	RefusalDelay         time.Duration // pause before a store that took nothing is tried again
	MaxRefusalDelay      time.Duration // up to which that pause doubles each time the store refuses an append made from here
	DeliveryPollInterval time.Duration // between two looks whether a record that is under way was delivered
	DeliveryPollTimeout  time.Duration // for how long it is looked
	MaxBatches           int           // batches under way
	MaxDirectAppends     int           // of these, appends made from here
	MaxBatchBytes        int           // of one append
	MaxPending           int           // requests that may wait
}

// DefaultConfig returns the configuration in use. An append takes about 5 ms
// at the store, which makes one at a time in each partition. One that gives
// no answer is repeated: a second record of the same key changes nothing.
// Appends made from here are few at a time, since all machines make them at
// the same moment, when there is no leader, and a slow store takes no more
// than 20 a second: what waits shares the next one, and a store that refuses
// since its queue is full is tried less and less often.
func DefaultConfig() Config {
	return Config{
		GatherDelay:          2 * time.Millisecond,
		AppendTimeout:        800 * time.Millisecond,
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

// Intake stores records in one keyed partition.
type Intake struct {
	cfg       Config
	log       platform.PartitionLog
	partition platform.Partition
	relay     Relay
	down      func() bool           // the store has given no answer for a while
	delivered func(key string) bool // the record of that key is known to be stored
	events    *logrus.Entry
	slots     chan struct{}
	direct    chan struct{}
	wake      chan struct{}
	chance    func(below time.Duration) time.Duration // any time from zero up to below

	mu      sync.Mutex
	pending []*request
	refused int  // appends made from here that the store has refused in a row
	ended   bool // Run has returned: nobody would take what is handed in
}

// request is one record that waits to be stored.
type request struct {
	ctx      context.Context
	record   platform.Record
	patience time.Time  // until when a store that takes nothing is waited for
	done     chan error // takes one value

	// Guarded by Intake.mu.
	underWay  bool // it was taken to be stored, so that it is stored or may come to be
	withdrawn bool // its client was told that it is not stored
}

// New returns an intake for a partition.
func New(cfg Config, log platform.PartitionLog, p platform.Partition, relay Relay, down func() bool, delivered func(string) bool, events *logrus.Entry) *Intake {
	return &Intake{
		cfg:       cfg,
		log:       log,
		partition: p,
		relay:     relay,
		down:      down,
		delivered: delivered,
		events:    events,
		slots:     make(chan struct{}, cfg.MaxBatches),
		direct:    make(chan struct{}, cfg.MaxDirectAppends),
		wake:      make(chan struct{}, 1),
		chance:    rand.N[time.Duration],
	}
}

// Store returns when the record is stored, certainly is not, or ctx has
// ended. It fails with ErrNotStored or ErrUnknown. A store that takes nothing
// is waited for up to the given time: its outages are often short.
func (in *Intake) Store(ctx context.Context, record platform.Record, patience time.Duration) error {
	r := &request{ctx: ctx, record: record, patience: time.Now().Add(patience), done: make(chan error, 1)}
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

// enqueue has a request stored, or fails with ErrNotStored.
func (in *Intake) enqueue(r *request) error {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.ended {
		return errStops
	}
	if len(in.pending) >= in.cfg.MaxPending {
		return errors.Wrap(ErrNotStored, "too many requests wait")
	}
	if r.withdrawn {
		return nil // nobody waits for it
	}
	in.pending = append(in.pending, r)
	select {
	case in.wake <- struct{}{}:
	default:
	}
	return nil
}

// errStops is told of requests that come after the end of Run, or stand in line
// then: they would wait for their client's deadline.
var errStops = errors.Wrap(ErrNotStored, "the process stops")

// withdraw takes a request out of line, or returns false when it is under way.
func (in *Intake) withdraw(r *request) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if r.underWay {
		return false
	}
	r.withdrawn = true
	in.pending = slices.DeleteFunc(in.pending, func(other *request) bool { return other == r })
	return true
}

// Run stores what is handed in until ctx ends.
func (in *Intake) Run(ctx context.Context) error {
	defer in.end()
	for {
		select {
		case <-in.wake:
		case <-ctx.Done():
			return nil
		}
		pause.For(ctx, in.cfg.GatherDelay)
		for in.waiting() {
			select {
			case in.slots <- struct{}{}:
			case <-ctx.Done():
				return nil
			}
			batch := in.take()
			go func() {
				defer func() { <-in.slots }()
				if len(batch) > 0 { // all may have been withdrawn meanwhile
					in.store(batch)
				}
			}()
		}
	}
}

// waiting reports whether a request stands in line.
func (in *Intake) waiting() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return len(in.pending) > 0
}

// take returns the next requests that share an append.
func (in *Intake) take() []*request {
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
		r.underWay = true
	}
	return batch
}

// end refuses what stands in line and what comes from now on.
func (in *Intake) end() {
	in.mu.Lock()
	defer in.mu.Unlock()
	for _, r := range in.pending {
		r.done <- errStops
	}
	in.pending = nil
	in.ended = true
}

// store has the leader store a batch. If that isn't possible, or it isn't
// known what came of it, the batch is appended from here: a record that is
// stored twice counts once.
func (in *Intake) store(batch []*request) {
	uncertain, batch := in.viaLeader(batch)
	if len(batch) == 0 {
		return
	}
	if !in.awaitTurn() {
		in.giveUp(batch, errors.New("the store has been silent for a while"), uncertain)
		return
	}
	defer func() { <-in.direct }()
	in.storeHere(expire(batch, uncertain), uncertain)
}

// downLook is how often a batch that waits looks whether the store is down.
const downLook = 50 * time.Millisecond

// awaitTurn returns when the batch may be appended from here, or false when
// the store is down.
func (in *Intake) awaitTurn() bool {
	look := time.NewTicker(downLook)
	defer look.Stop()
	for !in.down() {
		select {
		case in.direct <- struct{}{}:
			return true
		case <-look.C:
		}
	}
	return false
}

// lastDeadline returns when the last of the batch's clients gives up.
func lastDeadline(batch []*request) time.Time {
	var last time.Time
	for _, r := range batch {
		if d, ok := r.ctx.Deadline(); ok && d.After(last) {
			last = d
		}
	}
	if last.IsZero() {
		return time.Now().Add(noDeadline)
	}
	return last
}

// noDeadline stands in for the time of clients that name none.
const noDeadline = 3 * time.Second

// storeHere appends a batch, again and again while some of its requests have
// time left and it isn't known whether it was stored.
func (in *Intake) storeHere(batch []*request, uncertain bool) {
	for len(batch) > 0 {
		err := in.append(batch)
		in.noteRefused(errors.Is(err, platform.ErrUnavailable))
		if err == nil {
			answer(batch, nil)
			return
		}
		uncertain = uncertain || errors.Is(err, platform.ErrUncertain)
		if !uncertain || in.down() {
			in.giveUp(batch, err, uncertain)
			return
		}
		if batch = expire(batch, uncertain); len(batch) > 0 {
			time.Sleep(in.cfg.RetryDelay)
		}
	}
}

// giveUp answers a batch that the store doesn't take. Requests that certainly
// aren't stored, and whose patience lasts, are tried again a little later.
func (in *Intake) giveUp(batch []*request, cause error, uncertain bool) {
	if uncertain {
		answer(batch, errors.Mark(cause, ErrUnknown))
		return
	}
	var again []*request
	for _, r := range batch {
		if time.Now().Before(r.patience) && r.ctx.Err() == nil {
			again = append(again, r)
			continue
		}
		r.done <- errors.Mark(cause, ErrNotStored)
	}
	if refused := len(batch) - len(again); refused > 0 {
		in.events.WithError(cause).WithField("requests", refused).Info("store takes nothing")
	}
	if len(again) > 0 {
		in.putBack(again)
	}
}

// putBack has requests of which nothing is stored stand in line again, after a
// pause.
func (in *Intake) putBack(batch []*request) {
	in.mu.Lock()
	for _, r := range batch {
		r.underWay = false
	}
	in.mu.Unlock()
	time.AfterFunc(min(in.pauseAgain(), time.Until(firstPatience(batch))), func() { in.tryAgain(batch) })
}

func (in *Intake) tryAgain(batch []*request) {
	for _, r := range batch {
		if err := in.enqueue(r); err != nil {
			r.done <- err
		}
	}
}

// expire answers the requests whose time is over and returns the others.
func expire(batch []*request, uncertain bool) []*request {
	outcome := ErrNotStored
	if uncertain {
		outcome = ErrUnknown
	}
	var left []*request
	for _, r := range batch {
		if r.ctx.Err() != nil {
			r.done <- errors.Mark(r.ctx.Err(), outcome)
			continue
		}
		left = append(left, r)
	}
	return left
}

func (in *Intake) append(batch []*request) error {
	ctx, cancel := context.WithTimeout(context.Background(), in.cfg.AppendTimeout)
	defer cancel()
	records := recordsOf(batch)
	_, err := in.log.Append(ctx, platform.Append{Partition: in.partition, Records: records})
	return err
}

func recordsOf(batch []*request) []platform.Record {
	records := make([]platform.Record, len(batch))
	for i, r := range batch {
		records[i] = r.record
	}
	return records
}

func answer(batch []*request, err error) {
	for _, r := range batch {
		r.done <- err
	}
}
