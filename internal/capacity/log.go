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
	stream       = "dc/dc-a"
	appendBudget = 240.0 // appends a second of the data centre's holder: all but the config stream's share
	cycle        = 20 * time.Millisecond
	burstFor     = 2 * time.Second
	readyWithin  = 5 * time.Second
)

// logRig is a stand-in log on loopback.
type logRig struct {
	store   *logserver.Server
	server  *http.Server
	address string
}

func newLogRig() (*logRig, error) {
	r := &logRig{store: logserver.New(logserver.Config{})}
	var err error
	r.server, r.address, err = serve(r.store.Handler())
	return r, err
}

func (r *logRig) close() { _ = r.server.Close() }

// follower is a running replica with its machine.
type follower struct {
	*journal.Replica
	client *httplog.Client
	cancel context.CancelFunc
	ended  chan struct{}
}

// follow starts a replica that feeds machines and waits until it is ready.
func (r *logRig) follow(node api.NodeID, budget float64, machines ...journal.StateMachine) (*follower, error) {
	client, err := httplog.NewClient(httplog.Config{BaseURL: "http://" + r.address})
	if err != nil {
		return nil, err
	}
	replica, err := journal.NewReplica(journal.Config{
		Stream: stream, Log: client, StateMachines: machines, Logger: quietLog(),
		Origin:           journal.Origin{Node: node, Incarnation: 1},
		AppendsPerSecond: func() float64 { return budget },
	})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	f := &follower{Replica: replica, client: client, cancel: cancel, ended: make(chan struct{})}
	go func() {
		defer close(f.ended)
		_ = replica.Run(ctx)
	}()
	return f, f.await()
}

func (f *follower) await() error {
	for deadline := time.Now().Add(readyWithin); !f.Ready(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			f.close()
			return errors.New("replica not ready")
		}
	}
	return nil
}

func (f *follower) close() {
	f.cancel()
	<-f.ended
	f.client.Close()
}

// burst is what starts at a steady rate cost the log and its readers.
type burst struct {
	appends     float64 // a second
	bytes       float64 // of log a second
	holder      float64 // processor seconds a second, of the holder and the log's stand-in
	replayTime  float64 // processor time of a late reader, ms
	replayBytes float64 // that a late reader is sent
}

// startBurst journals starts at a rate, and that each was seen running and
// ended, as the controllers do in their cycles.
func startBurst(rate int) (burst, error) {
	rig, err := newLogRig()
	if err != nil {
		return burst{}, err
	}
	defer rig.close()
	machine := cell.New(firstEpoch{}, nil)
	holder, err := rig.follow("holder", appendBudget, machine)
	if err != nil {
		return burst{}, err
	}
	defer holder.close()
	jobs, err := submitBurst(holder, rate)
	if err != nil {
		return burst{}, err
	}
	before := holder.Stats()
	seconds, err := processorTime(func() error { return journalBurst(holder, machine, jobs) })
	if err != nil {
		return burst{}, err
	}
	after := holder.Stats()
	b := burst{
		appends: float64(after.Appends-before.Appends) / burstFor.Seconds(),
		bytes:   float64(after.AppendBytes-before.AppendBytes) / burstFor.Seconds(),
		holder:  seconds / burstFor.Seconds(),
	}
	return b, rig.replay(&b, holder)
}

// submitBurst journals the VMs and the jobs, and returns the starts of each
// cycle of the burst.
func submitBurst(holder *follower, rate int) ([][]cell.Start, error) {
	ctx := context.Background()
	const vms = 1700
	if err := holder.Propose(ctx, vmsEntry(vms)); err != nil {
		return nil, err
	}
	cycles := int(burstFor / cycle)
	perCycle := rate * int(cycle) / int(time.Second)
	waiting := make([][]cell.Start, cycles)
	var proposals sync.WaitGroup
	errs := make([]error, cycles)
	for i := range waiting {
		spec := jobSpec(i, uint32(perCycle))
		waiting[i] = startsOf(spec, i*perCycle, vms)
		proposals.Go(func() { errs[i] = holder.Propose(ctx, cell.SubmitEntry(spec, 0)) })
	}
	proposals.Wait()
	return waiting, errors.Join(errs...)
}

// journalBurst journals the lives of the tasks, one job in each cycle.
func journalBurst(holder *follower, machine *cell.Machine, waiting [][]cell.Start) error {
	ctx := context.Background()
	var lives sync.WaitGroup
	errs := make([]error, len(waiting))
	ticker := time.NewTicker(cycle)
	defer ticker.Stop()
	for i, starts := range waiting {
		lives.Go(func() { errs[i] = journalLives(ctx, holder, machine, starts) })
		<-ticker.C
	}
	lives.Wait()
	return errors.Join(errs...)
}

func journalLives(ctx context.Context, holder *follower, machine *cell.Machine, starts []cell.Start) error {
	entry, _ := machine.StartEntry(1, starts)
	if err := holder.Propose(ctx, entry); err != nil {
		return err
	}
	if err := holder.Propose(ctx, machine.ReportEntry(1, reportsOf(starts, cell.ReportRunning))); err != nil {
		return err
	}
	return holder.Propose(ctx, machine.ReportEntry(1, reportsOf(starts, cell.ReportSucceeded)))
}

// replay lets a late reader read the whole stream.
func (r *logRig) replay(b *burst, holder *follower) error {
	before, err := writtenBytes()
	if err != nil {
		return err
	}
	seconds, err := processorTime(func() error {
		reader, err := r.follow("reader", appendBudget, cell.New(firstEpoch{}, nil))
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
	b.replayTime = seconds * milliseconds
	b.replayBytes = after - before
	return err
}
