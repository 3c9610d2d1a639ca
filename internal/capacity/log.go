package capacity

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/cell"
	"github.com/skylarklock/skylarklock/internal/journal"
	"github.com/skylarklock/skylarklock/internal/platform/httplog"
	"github.com/skylarklock/skylarklock/internal/standin/logserver"
)

const (
	journalStream          = "dc/dc-a"
	holderAppendsPerSecond = 240.0 // append budget of the data centre's holder: all except the share of the config stream
	cycleInterval          = 20 * time.Millisecond
	burstDuration          = 2 * time.Second
	readyTimeout           = 5 * time.Second
)

// logHarness serves a stand-in log on loopback.
type logHarness struct {
	log     *logserver.Server
	server  *http.Server
	address string
}

func newLogHarness() (*logHarness, error) {
	h := &logHarness{log: logserver.New(logserver.Config{})}
	var err error
	h.server, h.address, err = serve(h.log.Handler())
	return h, err
}

func (h *logHarness) close() { _ = h.server.Close() }

// runningReplica is a replica whose Run is in progress, with its client.
type runningReplica struct {
	*journal.Replica
	client *httplog.Client
	cancel context.CancelFunc
	done   chan struct{}
}

// startReplica starts a replica that applies entries to machines, and waits until
// it is ready. The budget is in appends per second.
func (h *logHarness) startReplica(node api.NodeID, budget float64, machines ...journal.StateMachine) (*runningReplica, error) {
	client, err := httplog.NewClient(httplog.Config{BaseURL: "http://" + h.address})
	if err != nil {
		return nil, err
	}
	replica, err := journal.NewReplica(journal.Config{
		Stream: journalStream, Log: client, StateMachines: machines, Logger: nopLogger(),
		Origin:           journal.Origin{Node: node, Incarnation: 1},
		AppendsPerSecond: func() float64 { return budget },
	})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &runningReplica{Replica: replica, client: client, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(r.done)
		_ = replica.Run(ctx)
	}()
	return r, r.awaitReady()
}

// awaitReady waits until the replica is ready, and closes it if it isn't in time.
func (r *runningReplica) awaitReady() error {
	for deadline := time.Now().Add(readyTimeout); !r.Ready(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			r.close()
			return errors.New("replica not ready")
		}
	}
	return nil
}

func (r *runningReplica) close() {
	r.cancel()
	<-r.done
	r.client.Close()
}

// burstCost is the cost of starts at a steady rate, for the log and its readers.
type burstCost struct {
	appendsPerSecond float64
	bytesPerSecond   float64 // bytes appended to the log
	cpuPerSecond     float64 // processor seconds of the holder and the stand-in log
	replayMs         float64 // processor time of a late reader and the log
	replayBytes      float64 // bytes to and from a late reader
}

// measureBurst journals starts at a rate per second, and reports that each task is
// running and has ended, as the controllers do in their cycles.
func measureBurst(rate int) (burstCost, error) {
	harness, err := newLogHarness()
	if err != nil {
		return burstCost{}, err
	}
	defer harness.close()
	machine := cell.New(fixedEpoch{}, nil)
	holder, err := harness.startReplica("holder", holderAppendsPerSecond, machine)
	if err != nil {
		return burstCost{}, err
	}
	defer holder.close()
	startsByCycle, err := submitBurst(holder, rate)
	if err != nil {
		return burstCost{}, err
	}
	before := holder.Stats()
	seconds, err := measureCPUSeconds(func() error { return journalBurst(holder, machine, startsByCycle) })
	if err != nil {
		return burstCost{}, err
	}
	after := holder.Stats()
	cost := burstCost{
		appendsPerSecond: float64(after.Appends-before.Appends) / burstDuration.Seconds(),
		bytesPerSecond:   float64(after.AppendBytes-before.AppendBytes) / burstDuration.Seconds(),
		cpuPerSecond:     seconds / burstDuration.Seconds(),
	}
	return cost, harness.measureReplay(&cost, holder)
}

// submitBurst journals the VMs and the jobs of a burst, and returns the starts of
// each cycle.
func submitBurst(holder *runningReplica, rate int) ([][]cell.Start, error) {
	ctx := context.Background()
	const vms = 1700
	if err := holder.Propose(ctx, vmsEntry(vms)); err != nil {
		return nil, err
	}
	cycles := int(burstDuration / cycleInterval)
	perCycle := rate * int(cycleInterval) / int(time.Second)
	startsByCycle := make([][]cell.Start, cycles)
	var proposals sync.WaitGroup
	errs := make([]error, cycles)
	for i := range startsByCycle {
		spec := jobSpec(i, uint32(perCycle))
		startsByCycle[i] = newStarts(spec, i*perCycle, vms)
		proposals.Go(func() { errs[i] = holder.Propose(ctx, cell.SubmitEntry(spec, 0)) })
	}
	proposals.Wait()
	return startsByCycle, errors.Join(errs...)
}

// journalBurst journals the lifecycles of the tasks, one job per cycle.
func journalBurst(holder *runningReplica, machine *cell.StateMachine, startsByCycle [][]cell.Start) error {
	ctx := context.Background()
	var lifecycles sync.WaitGroup
	errs := make([]error, len(startsByCycle))
	ticker := time.NewTicker(cycleInterval)
	defer ticker.Stop()
	for i, starts := range startsByCycle {
		lifecycles.Go(func() { errs[i] = journalTaskLifecycles(ctx, holder, machine, starts) })
		<-ticker.C
	}
	lifecycles.Wait()
	return errors.Join(errs...)
}

// journalTaskLifecycles journals that tasks are started, running and ended.
func journalTaskLifecycles(ctx context.Context, holder *runningReplica, machine *cell.StateMachine, starts []cell.Start) error {
	entry, _ := machine.StartEntry(1, starts)
	if err := holder.Propose(ctx, entry); err != nil {
		return err
	}
	if err := holder.Propose(ctx, machine.ReportEntry(1, newReports(starts, cell.AttemptRunning))); err != nil {
		return err
	}
	return holder.Propose(ctx, machine.ReportEntry(1, newReports(starts, cell.AttemptSucceeded)))
}

// measureReplay measures a late reader that reads the whole stream.
func (h *logHarness) measureReplay(cost *burstCost, holder *runningReplica) error {
	before, err := writtenBytes()
	if err != nil {
		return err
	}
	seconds, err := measureCPUSeconds(func() error {
		reader, err := h.startReplica("reader", holderAppendsPerSecond, cell.New(fixedEpoch{}, nil))
		if err != nil {
			return err
		}
		defer reader.close()
		if reader.Applied() < holder.Applied() {
			return errors.New("the late reader is not at the end")
		}
		return nil
	})
	if err != nil {
		return err
	}
	after, err := writtenBytes()
	cost.replayMs = seconds * msPerSecond
	cost.replayBytes = after - before
	return err
}
