package dispatch

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"testing"

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

// largeCell is the leader of a fleet of any size with all that it calls, in one process and without a
// network. It is used in a synctest bubble.
type largeCell struct {
	t         *testing.T
	size      cellSize
	store     *memoryStore
	replica   *replica.Replica
	reader    *replica.Reader
	peers     *assist.Peers
	runner    *Runner
	executors []*busyExecutor
	byID      map[string]*busyExecutor
	epoch     api.Epoch
	config    *queue.Configuration
	stop      func()

	deliveries, holds, starts, adviceCalls, ended atomic.Int64
	firstStart                                    atomic.Int64 // time since the takeover of the first start, in ns; 0: none yet
	tookOverAt                                    time.Time
}

// cellSize is the size of a largeCell.
type cellSize struct {
	machines, executors int
	jobsPerSecond       int
}

// Shape of the jobs of a largeCell: short ones, and a tenth of wide ones. A start a second keeps about 1.7
// processors busy on average.
const (
	largeCellDataCentres  = 6
	largeCellNarrowTasks  = 4
	largeCellWideTasks    = 32
	largeCellWideShare    = 10 // one job in so many is wide
	largeCellExecutorCPUs = 32
)

// busyExecutor runs each task for the time that its specification's job was estimated to take, and answers
// holds when a run ends.
type busyExecutor struct {
	id   string
	cell *largeCell

	mu      sync.Mutex
	token   uint64
	running map[platform.Run]bool
	ended   []platform.EndedRun
	number  uint64        // of the newest end
	changed chan struct{} // closed when a run ends
}

func (e *busyExecutor) start(o platform.StartOrder) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.FencingToken < e.token {
		return &platform.RefusedError{Reason: platform.RefusedFenced}
	}
	e.token = o.FencingToken
	if e.running[o.Run] {
		return nil
	}
	e.running[o.Run] = true
	e.cell.starts.Add(1)
	e.cell.firstStart.CompareAndSwap(0, int64(time.Since(e.cell.tookOverAt)))
	time.AfterFunc(runTimeOf(o.Run.Task), func() { e.end(o.Run, platform.EndDone) })
	return nil
}

func (e *busyExecutor) end(run platform.Run, reason platform.EndReason) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.running[run] {
		return
	}
	delete(e.running, run)
	e.number++
	e.ended = append(e.ended, platform.EndedRun{Number: e.number, Run: run, Reason: reason})
	e.cell.ended.Add(1)
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *busyExecutor) hold(ctx context.Context, o platform.HoldOrder) (platform.ExecutorReport, error) {
	e.cell.holds.Add(1)
	time.Sleep(time.Millisecond)
	e.mu.Lock()
	if o.FencingToken < e.token {
		e.mu.Unlock()
		return platform.ExecutorReport{}, &platform.RefusedError{Reason: platform.RefusedFenced}
	}
	e.token = o.FencingToken
	for len(e.ended) > 0 && e.ended[0].Number <= o.Acknowledged {
		e.ended = e.ended[1:]
	}
	if len(e.ended) == 0 && o.MaxWait > 0 {
		changed := e.changed
		e.mu.Unlock()
		timer := time.NewTimer(o.MaxWait)
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			return platform.ExecutorReport{}, platform.ErrNoAnswer
		}
		e.mu.Lock()
	}
	defer e.mu.Unlock()
	report := platform.ExecutorReport{Clock: platform.ExecutorClock(time.Now().UnixMilli()), Ended: append([]platform.EndedRun(nil), e.ended...)}
	for run := range e.running {
		report.Running = append(report.Running, platform.RunningTask{Run: run, ProgressPercent: 50})
	}
	return report, nil
}

// runTimeOf returns how long the tasks of a job run: 1 s, or 6 s for those of a wide one.
func runTimeOf(t work.TaskKey) time.Duration {
	if isWide(t.Job) {
		return 6 * time.Second
	}
	return time.Second
}

func isWide(id work.ID) bool { return binary.BigEndian.Uint32(id[:])%largeCellWideShare == 0 }

// Start, Stop and Hold implement platform.Executors.
func (c *largeCell) Start(_ context.Context, to platform.ExecutorRef, o platform.StartOrder) (platform.ExecutorClock, error) {
	return platform.ExecutorClock(time.Now().UnixMilli()), c.byID[to.ID].start(o)
}

func (c *largeCell) Stop(_ context.Context, to platform.ExecutorRef, run platform.Run, _ uint64) (platform.ExecutorClock, error) {
	c.byID[to.ID].end(run, platform.EndStopped)
	return platform.ExecutorClock(time.Now().UnixMilli()), nil
}

func (c *largeCell) Hold(ctx context.Context, to platform.ExecutorRef, o platform.HoldOrder) (platform.ExecutorReport, error) {
	return c.byID[to.ID].hold(ctx, o)
}

// Call implements assist.Caller for all other machines.
func (c *largeCell) Call(_ context.Context, _, method string, args, reply any) error {
	time.Sleep(time.Millisecond)
	switch request := args.(type) {
	case *assist.Delivery:
		c.deliveries.Add(1)
		*reply.(*assist.DeliveryAnswer) = assist.DeliveryAnswer{Position: request.Span.To, ContentPosition: request.Span.To, HasContent: true, Epoch: request.Leader.Epoch}
	case *assist.ContentDelivery:
		*reply.(*assist.DeliveryAnswer) = assist.DeliveryAnswer{Position: request.Span.To, ContentPosition: request.Span.To, HasContent: true, Epoch: request.Leader.Epoch}
	case *assist.AdviceRequest:
		c.adviceCalls.Add(1)
		time.Sleep(20*time.Millisecond + time.Duration(len(request.Executors))*time.Millisecond)
		answer := reply.(*assist.AdviceAnswer)
		answer.ValidFor = 2 * time.Second
		for i, id := range request.Executors {
			if i%2 == 0 {
				answer.Grants = append(answer.Grants, platform.Grant{Executor: id, Ticket: "ticket"})
			}
		}
	case *assist.OrderBatch:
		h := &assist.Handler{Executors: c}
		return h.Orders(request, reply.(*assist.OrderAnswer))
	default:
		return fmt.Errorf("method %s", method)
	}
	return nil
}

func newLargeCell(t *testing.T, size cellSize) *largeCell {
	c := &largeCell{
		t: t, size: size,
		store:   &memoryStore{partitions: make(map[string][]platform.Record)},
		replica: replica.New(time.Hour, logging.Nop()),
		byID:    make(map[string]*busyExecutor),
		stop:    func() {},
		config: &queue.Configuration{Queues: []queue.Queue{{
			Name: "q", Service: "svc", MaxAttempts: 2, Stretch: 2, TargetLatency: time.Second,
			Advice: &queue.Advice{DecisionTime: 20 * time.Millisecond, TimePerVM: time.Millisecond, TicketValidity: 2 * time.Second},
		}}},
	}
	c.reader = &replica.Reader{Replica: c.replica, Log: c.store, Partition: jobsPartition, Timing: replica.DefaultTiming(), Leads: func() bool { return true }}
	for i := range size.executors {
		id := fmt.Sprintf("e%05d", i)
		c.byID[id] = &busyExecutor{id: id, cell: c, running: make(map[platform.Run]bool), changed: make(chan struct{})}
		c.executors = append(c.executors, c.byID[id])
		c.store.put(executorsPartition, id, "ready")
	}
	c.peers = assist.NewPeers("leader", nil, c)
	return c
}

func (c *largeCell) dataCentre(i int) string { return fmt.Sprintf("dc-%d", i%largeCellDataCentres) }

func (c *largeCell) decodeExecutor(id string, _ []byte) (*fleet.Executor, error) {
	var i int
	if _, err := fmt.Sscanf(id, "e%d", &i); err != nil {
		return nil, err
	}
	return &fleet.Executor{
		Ref: platform.ExecutorRef{ID: id, Address: "10.0.0.1:" + id}, Service: "svc", Zone: c.dataCentre(i),
		Capacity: api.Resources{MilliCPU: 1000 * largeCellExecutorCPUs, MemoryMB: 65536},
	}, nil
}

// attachAll keeps all machines attached until ctx ends.
func (c *largeCell) attachAll(ctx context.Context) {
	for ctx.Err() == nil {
		for i := range c.size.machines {
			node := api.NodeID(fmt.Sprintf("m%04d", i))
			c.peers.HandleAttachment(assist.Attachment{
				Node: node, Address: "10.0.1.1:" + string(node), DataCentre: api.DataCentre(c.dataCentre(i)), Fitness: 1, HasContent: true,
			}, time.Now())
		}
		time.Sleep(time.Second)
	}
}

// takeOver starts a new leader after the former one has stopped.
func (c *largeCell) takeOver() {
	c.stop()
	c.epoch++
	c.runner = New(Config{
		Plan: plan.DefaultConfig(), Self: leader.Leader{Epoch: c.epoch, Node: "leader"}, Log: c.store, Jobs: jobsPartition,
		Registry: executorsPartition, Decode: c.decodeExecutor, Executors: c, Replica: c.replica, Reader: c.reader,
		Peers: c.peers, Caller: c, BulkCaller: c, LocalDataCentre: "dc-0",
		Configuration: func() *queue.Configuration { return c.config }, CanRenewLeases: func() bool { return true },
		OnFenced: func() {}, LastRenewal: func() leader.Renewal { return leader.Renewal{} }, OnHigherEpoch: func(api.Epoch) {},
		Logger: logging.Nop(),
	})
	ctx, cancel := context.WithCancel(c.t.Context())
	var loops sync.WaitGroup
	c.firstStart.Store(0)
	c.tookOverAt = time.Now()
	loops.Go(func() { _ = c.reader.Run(ctx) }) // returns when ctx ends
	loops.Go(func() { c.attachAll(ctx) })
	loops.Go(func() { _ = c.runner.Run(ctx) })
	c.stop = func() {
		cancel()
		loops.Wait()
	}
}

// submit submits jobs at the cell's rate for a duration and returns the number of refused ones.
func (c *largeCell) submit(d time.Duration, firstID uint32) (refused int) {
	var clients sync.WaitGroup
	var refusals atomic.Int64
	interval := time.Second / time.Duration(c.size.jobsPerSecond)
	for i := range int(d / interval) {
		time.Sleep(interval)
		clients.Go(func() {
			results := c.runner.Store(c.t.Context(), []platform.Record{c.jobRecord(firstID + uint32(i))})
			if results[0].Outcome != assist.Stored {
				refusals.Add(1)
			}
		})
	}
	clients.Wait()
	return int(refusals.Load())
}

func (c *largeCell) jobRecord(n uint32) platform.Record {
	var id work.ID
	binary.BigEndian.PutUint32(id[:], n)
	s := work.Step{TaskCount: largeCellNarrowTasks, TaskResources: api.Resources{MilliCPU: 7000, MemoryMB: 13000}, Estimate: time.Second}
	if isWide(id) {
		s = work.Step{TaskCount: largeCellWideTasks, TaskResources: api.Resources{MilliCPU: 9000, MemoryMB: 9400}, Estimate: 6 * time.Second}
	}
	job := &work.Job{ID: id, Queue: "q", Service: "svc", AcceptedMs: time.Now().UnixMilli(), Specification: "inspect", Steps: []work.Step{s}}
	data, err := work.EncodeJob(job)
	if err != nil {
		c.t.Error(err)
	}
	return platform.Record{Key: work.Key(work.KindJob, job.ID), Value: data}
}

// heartbeats writes the executors' heartbeats until ctx ends.
func (c *largeCell) heartbeats(ctx context.Context) {
	random := rand.New(rand.NewPCG(1, 1))
	const interval = 30 * time.Millisecond
	each := c.size.executors * int(interval) / int(1500*time.Millisecond)
	for ctx.Err() == nil {
		for range each {
			c.store.put(executorsPartition, c.executors[random.IntN(len(c.executors))].id, "ready")
		}
		time.Sleep(interval)
	}
}
