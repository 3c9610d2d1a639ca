package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/cluster"
	"github.com/skylarklock/skylarklock/internal/history"
	"github.com/skylarklock/skylarklock/internal/load"
	"github.com/skylarklock/skylarklock/internal/standin/site"
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

// ErrGuaranteeViolated is returned when a promise was broken.
var ErrGuaranteeViolated = errors.New("a promise was broken")

// Run runs the demo and prints what happened to out; the nodes log to logs.
// It fails with ErrBroken, or with what kept it from running.
func Run(ctx context.Context, out, logs io.Writer) error {
	c, err := start(logs)
	if err != nil {
		return err
	}
	defer c.Close()
	fmt.Fprintf(out, "started entries=%d data_centres=%d executors=%d vms=%d\n",
		len(c.Entries), len(siteConfig(seed).DataCentres), len(c.Site.Executors), len(c.Site.VMs))
	if err := c.AwaitServing(ctx); err != nil {
		return err
	}
	if err := publishAll(ctx, c.Entries[0].Settings.Listen.Operators, out); err != nil {
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
	report(c, out)
	return verdict(c, recorder, out)
}

// start starts the stand-ins and the entry nodes.
func start(logs io.Writer) (*cluster.Cluster, error) {
	s, err := site.Start(siteConfig(seed))
	if err != nil {
		return nil, err
	}
	entries, err := s.EntrySettings(entriesPerDC)
	if err != nil {
		s.Close()
		return nil, err
	}
	return cluster.Start(s, entries, logs)
}

// traffic sends the users' requests while the faults happen.
func traffic(ctx context.Context, c *cluster.Cluster, recorder *history.Recorder, out io.Writer) error {
	cfg := load.Config{
		Entries: c.Callers(), Streams: streams(), Duration: trafficFor,
		MaxOpen: 4000, ReadinessInterval: balancerCheck, Seed: seed, IDPrefix: "demo",
	}
	runner, err := load.NewRunner(cfg)
	if err != nil {
		return err
	}
	runner.KeepAnswers = true
	runner.OnSample = func(s load.Sample) { recorder.AddRequest(requestOf(s, cfg.Streams[s.Stream])) }
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
func verdict(c *cluster.Cluster, recorder *history.Recorder, out io.Writer) error {
	h := recorder.History()
	for _, vm := range c.Site.VMs {
		for _, ep := range vm.Endpoints {
			h.Endpoints = append(h.Endpoints, history.Endpoint{Spec: ep, Record: c.Site.Executors[ep.ID].Record()})
		}
		h.Workers = append(h.Workers, c.Site.Workers.VM(vm.ID).Record())
	}
	h.End = time.Now()
	violations := history.Check(h, history.Limits{MaxConnections: connections, LeavingGracePeriod: leavingTime, MaxAttempts: maxAttempts})
	for _, v := range violations {
		fmt.Fprintf(out, "broken %s\n", v)
	}
	if len(violations) > 0 {
		return errors.Wrapf(ErrGuaranteeViolated, "%d violations", len(violations))
	}
	fmt.Fprintf(out, "kept: at most once, not-run is true, whole answers, slots and connections, one place, capacity, truthful jobs; requests=%d\n", len(h.Requests))
	return nil
}

// jobNames are the jobs that the operators publish.
func jobNames() []api.JobID {
	return []api.JobID{"appraisal", "catalogue", "rebuild", "too-big", "withdrawn"}
}
