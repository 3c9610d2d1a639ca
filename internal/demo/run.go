package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/history"
	"github.com/skylarklock/skylarklock/internal/load"
)

// Times of the demo.
const (
	trafficFor    = 11 * time.Second
	balancerCheck = 200 * time.Millisecond // between the balancer's looks at the entry VMs
	settleFor     = 60 * time.Second       // longest wait for the jobs to end
	settlePoll    = 200 * time.Millisecond
	seed          = 20
	connections   = 60 // of an executor, from all entry VMs together
	leavingTime   = 3 * time.Second
	maxAttempts   = 3 // runs that one copy of an idempotent request may cause
)

// ErrBroken is returned when a promise was broken.
var ErrBroken = errors.New("a promise was broken")

// Run runs the demo and prints what happened to out; the nodes log to logs.
// It fails with ErrBroken, or with what kept it from running.
func Run(ctx context.Context, out, logs io.Writer) error {
	c, err := startCluster(ctx, siteConfig(seed), entriesPerDC, logs)
	if err != nil {
		return err
	}
	defer c.close()
	fmt.Fprintf(out, "started entries=%d data_centres=%d executors=%d vms=%d\n",
		len(c.nodes), len(siteConfig(seed).DataCentres), len(c.site.Executors), len(c.site.VMs))
	if err := publishAll(ctx, c.nodes[0].settings.Listen.Operators, out); err != nil {
		return err
	}
	if err := c.awaitServing(ctx); err != nil {
		return err
	}
	recorder := history.NewRecorder()
	if err := traffic(ctx, c, recorder, out); err != nil {
		return err
	}
	withdraw(ctx, c, out)
	awaitJobs(ctx, c, recorder, out)
	if err := awaitService(ctx, c, out); err != nil {
		return err
	}
	c.report(out)
	return verdict(c, recorder, out)
}

// traffic sends the users' requests while the faults happen.
func traffic(ctx context.Context, c *cluster, recorder *history.Recorder, out io.Writer) error {
	cfg := load.Config{
		Entries: c.callers(), Streams: streams(), Duration: trafficFor,
		MaxOpen: 4000, Check: balancerCheck, Seed: seed, IDPrefix: "demo",
	}
	runner, err := load.NewRunner(cfg)
	if err != nil {
		return err
	}
	runner.KeepAnswers = true
	runner.OnSample = func(s load.Sample) { recorder.Request(requestOf(s, cfg.Streams[s.Stream])) }
	faultsEnded := make(chan struct{})
	go func() {
		defer close(faultsEnded)
		runFaults(ctx, c, out)
	}()
	for i, result := range runner.Run(ctx) {
		result.Print(out, cfg.Streams[i].Caller)
	}
	<-faultsEnded
	return ctx.Err()
}

func requestOf(s load.Sample, stream load.Stream) history.Request {
	return history.Request{
		ID: s.ID, Idempotent: stream.Idempotent, Body: make([]byte, stream.BodyBytes),
		Start: s.Due, End: s.Due + s.Latency, Outcome: s.Outcome, Reason: s.Reason,
		Status: s.Status, Answer: s.Answer, Checksum: s.Checksum,
	}
}

// verdict checks the complete record and prints every violation.
func verdict(c *cluster, recorder *history.Recorder, out io.Writer) error {
	h := recorder.History()
	for _, vm := range c.site.VMs {
		for _, ep := range vm.Endpoints {
			h.Endpoints = append(h.Endpoints, history.Endpoint{Spec: ep, Record: c.site.Executors[ep.ID].Record()})
		}
		h.Workers = append(h.Workers, c.site.Workers.VM(vm.ID).Record())
	}
	h.End = time.Now()
	violations := history.Check(h, history.Limits{Connections: connections, Leaving: leavingTime, Attempts: maxAttempts})
	for _, v := range violations {
		fmt.Fprintf(out, "broken %s\n", v)
	}
	if len(violations) > 0 {
		return errors.Wrapf(ErrBroken, "%d violations", len(violations))
	}
	fmt.Fprintf(out, "kept: at most once, not-run is true, whole answers, slots and connections, one place, capacity, truthful jobs; requests=%d\n", len(h.Requests))
	return nil
}

// jobNames are the jobs that the operators publish.
func jobNames() []api.JobID {
	return []api.JobID{"appraisal", "catalogue", "rebuild", "too-big", "withdrawn"}
}
