package dispatch

import (
	"context"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/assist"
	"github.com/skylarklock/skylarklock/internal/fleet"
	"github.com/skylarklock/skylarklock/internal/leader"
	"github.com/skylarklock/skylarklock/internal/logging"
	"github.com/skylarklock/skylarklock/internal/plan"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/queue"
	"github.com/skylarklock/skylarklock/internal/replica"
	"github.com/skylarklock/skylarklock/internal/work"
)

// Partitions of a play.
var (
	playJobs      = platform.Partition{Topic: "jobs", Keyed: true}
	playExecutors = platform.Partition{Topic: "executors", Keyed: true}
)

// memoryStore is the store in memory.
type memoryStore struct {
	mu    sync.Mutex
	parts map[string][]platform.Record
	epoch uint64
	stuck bool // appends have no answer and aren't done
}

// put writes a record as somebody else than the leader does.
func (s *memoryStore) put(p platform.Partition, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(p, platform.Record{Key: key, Value: []byte(value)})
}

func (s *memoryStore) add(p platform.Partition, r platform.Record) {
	r.Offset = platform.Offset(len(s.parts[p.Topic]))
	s.parts[p.Topic] = append(s.parts[p.Topic], r)
}

// stick has appends fail, or no longer.
func (s *memoryStore) stick(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stuck = on
}

func (s *memoryStore) isStuck() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stuck
}

func (s *memoryStore) Append(ctx context.Context, a platform.Append) (platform.Offset, error) {
	if s.isStuck() {
		<-ctx.Done()
		return 0, platform.ErrUncertain
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.Producer.Epoch < s.epoch {
		return 0, platform.ErrFenced
	}
	s.epoch = a.Producer.Epoch
	first := platform.Offset(len(s.parts[a.Partition.Topic]))
	for _, r := range a.Records {
		s.add(a.Partition, r)
	}
	return first, nil
}

func (s *memoryStore) Read(_ context.Context, p platform.Partition, from platform.Offset, _ time.Duration) (platform.RecordBatch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.parts[p.Topic]
	end := platform.Offset(len(all))
	return platform.RecordBatch{Records: slices.Clone(all[from:]), Next: end, End: end}, nil
}

func (s *memoryStore) Newest(_ context.Context, p platform.Partition, after string) (platform.NewestPage, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := make(map[string]platform.Record)
	for _, r := range s.parts[p.Topic] {
		newest[r.Key] = r
		if len(r.Value) == 0 {
			delete(newest, r.Key)
		}
	}
	page := platform.NewestPage{End: platform.Offset(len(s.parts[p.Topic]))}
	for key, r := range newest {
		if key > after {
			page.Records = append(page.Records, r)
		}
	}
	slices.SortFunc(page.Records, func(a, b platform.Record) int { return strings.Compare(a.Key, b.Key) })
	return page, nil
}

// playedExecutor carries out orders, starts of them late if told so. It judges
// a late start by its token alone.
type playedExecutor struct {
	mu        sync.Mutex
	born      time.Time
	token     uint64
	running   map[platform.Run]time.Time // since when
	ended     []platform.EndedRun
	lateStart time.Duration // a start has no answer and is carried out that much later
	loseStops int           // so many of the next stops have no answer and no effect
	loseHold  bool          // the next hold has no answer and no effect
	holds     int           // that were answered
}

func newPlayedExecutor() *playedExecutor {
	return &playedExecutor{born: time.Now(), running: make(map[platform.Run]time.Time)}
}

func (e *playedExecutor) clock() platform.ExecutorClock {
	return platform.ExecutorClock(time.Since(e.born).Milliseconds())
}

// admit reports whether the token is high enough; e.mu is held.
func (e *playedExecutor) admit(token uint64) error {
	if token < e.token {
		return &platform.RefusedError{Reason: platform.RefusedFenced}
	}
	e.token = token
	return nil
}

func (e *playedExecutor) begin(o platform.StartOrder) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.admit(o.FencingToken); err != nil {
		return err
	}
	e.running[o.Run] = time.Now()
	return nil
}

func (e *playedExecutor) Start(ctx context.Context, _ platform.ExecutorRef, o platform.StartOrder) (platform.ExecutorClock, error) {
	e.mu.Lock()
	late := e.lateStart
	e.mu.Unlock()
	if late == 0 {
		return e.clock(), e.begin(o)
	}
	time.AfterFunc(late, func() { _ = e.begin(o) }) // nobody waits for the answer
	<-ctx.Done()
	return 0, platform.ErrNoAnswer
}

func (e *playedExecutor) Stop(ctx context.Context, _ platform.ExecutorRef, run platform.Run, token uint64) (platform.ExecutorClock, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.loseStops > 0 {
		e.loseStops--
		e.mu.Unlock()
		<-ctx.Done()
		e.mu.Lock()
		return 0, platform.ErrNoAnswer
	}
	if err := e.admit(token); err != nil {
		return 0, err
	}
	if _, here := e.running[run]; here {
		delete(e.running, run)
		e.ended = append(e.ended, platform.EndedRun{Number: uint64(len(e.ended) + 1), Run: run, Reason: platform.EndStopped})
	}
	return e.clock(), nil
}

func (e *playedExecutor) Hold(ctx context.Context, _ platform.ExecutorRef, o platform.HoldOrder) (platform.ExecutorReport, error) {
	e.mu.Lock()
	lost := e.loseHold
	e.loseHold = false
	e.mu.Unlock()
	if lost {
		<-ctx.Done()
		return platform.ExecutorReport{}, platform.ErrNoAnswer
	}
	e.mu.Lock()
	err := e.admit(o.FencingToken)
	e.mu.Unlock()
	if err != nil {
		return platform.ExecutorReport{}, err
	}
	const look = 10 * time.Millisecond
	for waited := time.Duration(0); waited < o.MaxWait && e.seenAll(o.Acknowledged); waited += look {
		select {
		case <-time.After(look):
		case <-ctx.Done():
			return platform.ExecutorReport{}, platform.ErrNoAnswer
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.holds++
	report := platform.ExecutorReport{Clock: e.clock()}
	for run := range e.running {
		report.Running = append(report.Running, platform.RunningTask{Run: run, ProgressPercent: 100})
	}
	for _, end := range e.ended {
		if end.Number > o.Acknowledged {
			report.Ended = append(report.Ended, end)
		}
	}
	return report, nil
}

func (e *playedExecutor) seenAll(seen uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return uint64(len(e.ended)) <= seen
}

// faults sets how late starts are carried out and how many stops are lost.
func (e *playedExecutor) faults(lateStart time.Duration, loseStops int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lateStart, e.loseStops = lateStart, loseStops
}

func (e *playedExecutor) loseNextHold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loseHold = true
}

// atWork returns the number of runs at work and of holds answered.
func (e *playedExecutor) atWork() (runs, holds int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running), e.holds
}

// cellPlay is a cell with one executor and a store, in a synctest bubble.
type cellPlay struct {
	t        *testing.T
	store    *memoryStore
	log      platform.PartitionLog // the store as leaders see it
	executor *playedExecutor
	replica  *replica.Replica
	reader   *replica.Reader
	runner   *Runner
	stop     func() // ends the leader and waits for it
	epoch    api.Epoch
	helpers  *assist.Peers // nil: the leader alone, without advice
	advice   *queue.Advice // that the queue takes
}

func newCellPlay(t *testing.T) *cellPlay {
	p := &cellPlay{
		t:        t,
		store:    &memoryStore{parts: make(map[string][]platform.Record)},
		executor: newPlayedExecutor(),
		replica:  replica.New(time.Hour, logging.Silent()),
		stop:     func() {},
	}
	p.log = p.store
	p.reader = &replica.Reader{
		Replica: p.replica, Log: p.store, Partition: playJobs,
		Timing: replica.DefaultTiming(), Leads: func() bool { return true },
	}
	return p
}

// register has the registry list the executor; an empty state removes it.
func (p *cellPlay) register(state string) { p.store.put(playExecutors, "e", state) }

func decodePlayed(id string, data []byte) (*fleet.Executor, error) {
	return &fleet.Executor{
		Ref:      platform.ExecutorRef{ID: id, Address: "10.0.0.1:1"},
		Service:  "svc",
		Capacity: api.Resources{MilliCPU: 32000, MemoryMB: 64000},
		Draining: string(data) == "draining",
	}, nil
}

// lead has a new leader run the cell, once the former one has ended.
func (p *cellPlay) lead() {
	p.stop()
	p.epoch++
	table := &queue.Configuration{Queues: []queue.Queue{{Name: "q", Service: "svc", MaxAttempts: 1, Stretch: 2, TargetLatency: time.Second, Advice: p.advice}}}
	helpers := p.helpers
	if helpers == nil {
		helpers = assist.NewPeers("a", nil, nil)
	}
	p.runner = New(Config{
		Plan:           plan.DefaultConfig(),
		Self:           leader.Leader{Epoch: p.epoch, Node: "a"},
		Log:            p.log,
		Jobs:           playJobs,
		Registry:       playExecutors,
		Decode:         decodePlayed,
		Executors:      p.executor,
		Replica:        p.replica,
		Reader:         p.reader,
		Peers:          helpers,
		Configuration:  func() *queue.Configuration { return table },
		CanRenewLeases: func() bool { return true },
		OnFenced:       func() {},
		LastRenewal:    func() leader.Renewal { return leader.Renewal{} },
		OnHigherEpoch:  func(api.Epoch) {},
		Logger:         logging.Silent(),
	})
	ctx, cancel := context.WithCancel(p.t.Context())
	var loops sync.WaitGroup
	loops.Go(func() { _ = p.reader.Run(ctx) }) // ends with ctx
	loops.Go(func() { _ = p.runner.Run(ctx) })
	p.stop = func() {
		cancel()
		loops.Wait()
	}
	time.Sleep(100 * time.Millisecond)
}

// record returns the submission of a job of one long task.
func (p *cellPlay) record(n byte) platform.Record {
	p.t.Helper()
	return p.recordOf(n, work.Step{TaskCount: 1, TaskResources: api.Resources{MilliCPU: 1000}, Estimate: time.Minute})
}

// recordOf returns the submission of a job of one step.
func (p *cellPlay) recordOf(n byte, s work.Step) platform.Record {
	p.t.Helper()
	job := &work.Job{ID: work.ID{n}, Queue: "q", Service: "svc", AcceptedMs: time.Now().UnixMilli(), Steps: []work.Step{s}}
	data, err := work.EncodeJob(job)
	if err != nil {
		p.t.Fatal(err)
	}
	return platform.Record{Key: work.Key(work.KindJob, job.ID), Value: data}
}

// submit hands in a job of one long task and returns its ID.
func (p *cellPlay) submit(n byte) work.ID {
	record := p.record(n)
	go p.runner.Store(p.t.Context(), []platform.Record{record})
	return work.ID{n}
}

// cancel makes a cancel durable as a machine does that reaches no leader.
func (p *cellPlay) cancel(id work.ID) {
	p.store.put(playJobs, work.Key(work.KindCancellation, id), string(work.CancellationValue))
}

// idleWithin checks that the executor has nothing at work after d.
func (p *cellPlay) idleWithin(d time.Duration) {
	p.t.Helper()
	time.Sleep(d)
	if runs, _ := p.executor.atWork(); runs != 0 {
		p.t.Errorf("%d runs of a cancelled job are at work %v after the cancel", runs, d)
	}
}

// mustRun checks that a run is at work.
func (p *cellPlay) mustRun() {
	p.t.Helper()
	if runs, _ := p.executor.atWork(); runs != 1 {
		p.t.Fatalf("%d runs are at work, want 1", runs)
	}
}
