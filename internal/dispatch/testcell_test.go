package dispatch

import (
	"context"
	"expvar"
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

// Partitions of a test cell.
var (
	jobsPartition      = platform.Partition{Topic: "jobs", Keyed: true}
	executorsPartition = platform.Partition{Topic: "executors", Keyed: true}
)

// memoryStore is a platform.PartitionLog in memory.
type memoryStore struct {
	mu         sync.Mutex
	partitions map[string][]platform.Record
	epoch      uint64 // highest epoch that has appended
	stalled    bool   // appends are neither answered nor applied
}

// put writes a record as a writer other than the leader.
func (s *memoryStore) put(p platform.Partition, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(p, platform.Record{Key: key, Value: []byte(value)})
}

func (s *memoryStore) add(p platform.Partition, r platform.Record) {
	r.Offset = platform.Offset(len(s.partitions[p.Topic]))
	s.partitions[p.Topic] = append(s.partitions[p.Topic], r)
}

// setStalled sets whether appends go unanswered.
func (s *memoryStore) setStalled(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stalled = on
}

func (s *memoryStore) isStalled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stalled
}

func (s *memoryStore) Append(ctx context.Context, a platform.Append) (platform.Offset, error) {
	if s.isStalled() {
		<-ctx.Done()
		return 0, platform.ErrUncertain
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.Producer.Epoch < s.epoch {
		return 0, platform.ErrFenced
	}
	s.epoch = a.Producer.Epoch
	first := platform.Offset(len(s.partitions[a.Partition.Topic]))
	for _, r := range a.Records {
		s.add(a.Partition, r)
	}
	return first, nil
}

func (s *memoryStore) Read(_ context.Context, p platform.Partition, from platform.Offset, _ time.Duration) (platform.RecordBatch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.partitions[p.Topic]
	end := platform.Offset(len(all))
	return platform.RecordBatch{Records: slices.Clone(all[from:]), Next: end, End: end}, nil
}

func (s *memoryStore) Newest(_ context.Context, p platform.Partition, after string) (platform.NewestPage, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := make(map[string]platform.Record)
	for _, r := range s.partitions[p.Topic] {
		newest[r.Key] = r
		if len(r.Value) == 0 {
			delete(newest, r.Key)
		}
	}
	page := platform.NewestPage{End: platform.Offset(len(s.partitions[p.Topic]))}
	for key, r := range newest {
		if key > after {
			page.Records = append(page.Records, r)
		}
	}
	slices.SortFunc(page.Records, func(a, b platform.Record) int { return strings.Compare(a.Key, b.Key) })
	return page, nil
}

// fakeExecutor carries out orders. Starts can be delayed; a delayed start is checked only for its
// fencing token.
type fakeExecutor struct {
	mu            sync.Mutex
	startedAt     time.Time
	token         uint64
	running       map[platform.Run]time.Time // start time of each run
	onStart       func(platform.Run)         // called with each run that is ordered; may be nil
	ended         []platform.EndedRun
	startDelay    time.Duration // if not zero, a start is not answered and is carried out after this delay
	stopsToLose   int           // number of further stops that have no answer and no effect
	loseHold      bool          // whether the next hold has no answer and no effect
	holdsAnswered int
}

func newFakeExecutor() *fakeExecutor {
	return &fakeExecutor{startedAt: time.Now(), running: make(map[platform.Run]time.Time)}
}

func (e *fakeExecutor) clock() platform.ExecutorClock {
	return platform.ExecutorClock(time.Since(e.startedAt).Milliseconds())
}

// checkToken refuses a token that is lower than the highest one seen. The caller holds e.mu.
func (e *fakeExecutor) checkToken(token uint64) error {
	if token < e.token {
		return &platform.RefusedError{Reason: platform.RefusedFenced}
	}
	e.token = token
	return nil
}

func (e *fakeExecutor) startRun(o platform.StartOrder) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkToken(o.FencingToken); err != nil {
		return err
	}
	e.running[o.Run] = time.Now()
	return nil
}

func (e *fakeExecutor) Start(ctx context.Context, _ platform.ExecutorRef, o platform.StartOrder) (platform.ExecutorClock, error) {
	e.mu.Lock()
	delay, onStart := e.startDelay, e.onStart
	e.mu.Unlock()
	if onStart != nil {
		onStart(o.Run)
	}
	if delay == 0 {
		return e.clock(), e.startRun(o)
	}
	time.AfterFunc(delay, func() { _ = e.startRun(o) }) // the answer is lost
	<-ctx.Done()
	return 0, platform.ErrNoAnswer
}

func (e *fakeExecutor) Stop(ctx context.Context, _ platform.ExecutorRef, run platform.Run, token uint64) (platform.ExecutorClock, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopsToLose > 0 {
		e.stopsToLose--
		e.mu.Unlock()
		<-ctx.Done()
		e.mu.Lock()
		return 0, platform.ErrNoAnswer
	}
	if err := e.checkToken(token); err != nil {
		return 0, err
	}
	if _, found := e.running[run]; found {
		delete(e.running, run)
		e.ended = append(e.ended, platform.EndedRun{Number: uint64(len(e.ended) + 1), Run: run, Reason: platform.EndStopped})
	}
	return e.clock(), nil
}

func (e *fakeExecutor) Hold(ctx context.Context, _ platform.ExecutorRef, o platform.HoldOrder) (platform.ExecutorReport, error) {
	e.mu.Lock()
	lost := e.loseHold
	e.loseHold = false
	e.mu.Unlock()
	if lost {
		<-ctx.Done()
		return platform.ExecutorReport{}, platform.ErrNoAnswer
	}
	e.mu.Lock()
	err := e.checkToken(o.FencingToken)
	e.mu.Unlock()
	if err != nil {
		return platform.ExecutorReport{}, err
	}
	const step = 10 * time.Millisecond
	for waited := time.Duration(0); waited < o.MaxWait && e.allEndsAcknowledged(o.Acknowledged); waited += step {
		select {
		case <-time.After(step):
		case <-ctx.Done():
			return platform.ExecutorReport{}, platform.ErrNoAnswer
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.holdsAnswered++
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

func (e *fakeExecutor) allEndsAcknowledged(acknowledged uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return uint64(len(e.ended)) <= acknowledged
}

// setFaults sets the delay of starts and the number of stops to lose.
func (e *fakeExecutor) setFaults(startDelay time.Duration, stopsToLose int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.startDelay, e.stopsToLose = startDelay, stopsToLose
}

func (e *fakeExecutor) loseNextHold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loseHold = true
}

// runsAndHolds returns the number of runs that are running and the number of holds answered.
func (e *fakeExecutor) runsAndHolds() (runs, holdsAnswered int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running), e.holdsAnswered
}

// testCell is a cell with one executor and a store, for use in a synctest bubble.
type testCell struct {
	t        *testing.T
	store    *memoryStore
	log      platform.PartitionLog // the store as leaders see it
	executor *fakeExecutor
	replica  *replica.Replica
	reader   *replica.Reader
	runner   *Runner
	stop     func() // stops the leader and waits until it has stopped
	epoch    api.Epoch
	peers    *assist.Peers // nil: the leader is alone and there is no advice
	advice   *queue.Advice // advice settings of the queue; nil: no advice
	overload bool          // plan.Config.Overload

	maxRecordBytes int         // Config.MaxRecordBytes
	counters       *expvar.Map // of all leaders
}

func newTestCell(t *testing.T) *testCell {
	p := &testCell{
		t:        t,
		store:    &memoryStore{partitions: make(map[string][]platform.Record)},
		executor: newFakeExecutor(),
		replica:  replica.New(time.Hour, logging.Nop()),
		stop:     func() {},
		counters: new(expvar.Map).Init(),
	}
	p.log = p.store
	p.reader = &replica.Reader{
		Replica: p.replica, Log: p.store, Partition: jobsPartition,
		Timing: replica.DefaultTiming(), Leads: func() bool { return true },
	}
	return p
}

// register registers the executor with a state; an empty state removes its record.
func (p *testCell) register(state string) { p.store.put(executorsPartition, "e", state) }

func decodeTestExecutor(id string, data []byte) (*fleet.Executor, error) {
	return &fleet.Executor{
		Ref:      platform.ExecutorRef{ID: id, Address: "10.0.0.1:1"},
		Service:  "svc",
		Capacity: api.Resources{MilliCPU: 32000, MemoryMB: 64000},
		Draining: string(data) == "draining",
	}, nil
}

// takeOver starts a new leader after the former one has stopped.
func (p *testCell) takeOver() {
	p.stop()
	p.epoch++
	configuration := &queue.Configuration{Queues: []queue.Queue{{Name: "q", Service: "svc", MaxAttempts: 1, Stretch: 2, TargetLatency: time.Second, Advice: p.advice}}}
	peers := p.peers
	if peers == nil {
		peers = assist.NewPeers("a", nil, nil)
	}
	planConfig := plan.DefaultConfig()
	planConfig.Overload = p.overload
	p.runner = New(Config{
		Plan:           planConfig,
		Self:           leader.Leader{Epoch: p.epoch, Node: "a"},
		Log:            p.log,
		Jobs:           jobsPartition,
		Registry:       executorsPartition,
		Decode:         decodeTestExecutor,
		Executors:      p.executor,
		Replica:        p.replica,
		Reader:         p.reader,
		Peers:          peers,
		Configuration:  func() *queue.Configuration { return configuration },
		CanRenewLeases: func() bool { return true },
		OnFenced:       func() {},
		LastRenewal:    func() leader.Renewal { return leader.Renewal{} },
		OnHigherEpoch:  func(api.Epoch) {},
		MaxRecordBytes: p.maxRecordBytes,
		JobCounters:    p.counters,
		Logger:         logging.Nop(),
	})
	ctx, cancel := context.WithCancel(p.t.Context())
	var loops sync.WaitGroup
	loops.Go(func() { _ = p.reader.Run(ctx) }) // returns when ctx ends
	loops.Go(func() { _ = p.runner.Run(ctx) })
	p.stop = func() {
		cancel()
		loops.Wait()
	}
	time.Sleep(100 * time.Millisecond)
}

// record returns the submission of a job with one long task.
func (p *testCell) record(n byte) platform.Record {
	p.t.Helper()
	return p.recordOf(n, work.Step{TaskCount: 1, TaskResources: api.Resources{MilliCPU: 1000}, Estimate: time.Minute})
}

// recordOf returns the submission of a job with one step.
func (p *testCell) recordOf(n byte, s work.Step) platform.Record {
	p.t.Helper()
	job := &work.Job{ID: work.ID{n}, Queue: "q", Service: "svc", AcceptedMs: time.Now().UnixMilli(), Steps: []work.Step{s}}
	data, err := work.EncodeJob(job)
	if err != nil {
		p.t.Fatal(err)
	}
	return platform.Record{Key: work.Key(work.KindJob, job.ID), Value: data}
}

// submit submits a job with one long task and returns its ID.
func (p *testCell) submit(n byte) work.ID {
	record := p.record(n)
	go p.runner.Store(p.t.Context(), []platform.Record{record})
	return work.ID{n}
}

// recordsStart reports whether the store holds that a run may exist.
func (s *memoryStore) recordsStart(run platform.Run) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := work.Key(work.KindProgress, run.Task.Job)
	for _, r := range slices.Backward(s.partitions[jobsPartition.Topic]) {
		if r.Key == key {
			p, err := work.DecodeProgress(r.Value)
			if err != nil || len(p.Occurrences) == 0 {
				return false
			}
			row := p.Occurrences[0].Steps[run.Task.Step][run.Task.Index]
			return row.Phase == work.Started && row.Run >= run.Number
		}
	}
	return false
}

// cancel stores a cancellation as a machine does that reaches no leader.
func (p *testCell) cancel(id work.ID) {
	p.store.put(jobsPartition, work.Key(work.KindCancellation, id), string(work.CancellationValue))
}

// requireIdleAfter fails the test if the executor has any run after d.
func (p *testCell) requireIdleAfter(d time.Duration) {
	p.t.Helper()
	time.Sleep(d)
	if runs, _ := p.executor.runsAndHolds(); runs != 0 {
		p.t.Errorf("%d runs of a cancelled job are still running %v after the cancellation", runs, d)
	}
}

// requireOneRun fails the test unless exactly one run is running.
func (p *testCell) requireOneRun() {
	p.t.Helper()
	if runs, _ := p.executor.runsAndHolds(); runs != 1 {
		p.t.Fatalf("%d runs are running, want 1", runs)
	}
}
