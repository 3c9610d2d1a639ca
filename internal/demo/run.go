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

// Durations and limits of the demo.
const (
	trafficDuration        = 11 * time.Second
	readinessCheckInterval = 200 * time.Millisecond // between the balancer's readiness checks of an entry VM
	maxSettleTime          = 60 * time.Second       // maximum wait for the jobs to end, and for the service job to run again
	settlePollInterval     = 200 * time.Millisecond
	seed                   = 20
	executorConnections    = 60 // maximum connections of an executor, from all entry VMs together
	leavingGracePeriod     = 3 * time.Second
	maxAttempts            = 3 // maximum runs that one copy of an idempotent request may cause
)

// ErrGuaranteeViolated is returned if the demo found a violated guarantee.
var ErrGuaranteeViolated = errors.New("a promise was broken")

// Run runs the demo and prints its events and results to out; the entry VMs log
// to logs. It returns ErrGuaranteeViolated, or the error that prevented the demo
// from running.
func Run(ctx context.Context, out, logs io.Writer) error {
	c, err := startCluster(logs)
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
	if err := runTraffic(ctx, c, recorder, out); err != nil {
		return err
	}
	withdrawJob(ctx, c, out)
	awaitJobs(ctx, c, recorder, out)
	if err := awaitService(ctx, c, out); err != nil {
		return err
	}
	printCounters(c, out)
	return checkHistory(c, recorder, out)
}

// startCluster starts the stand-ins and the entry VMs.
func startCluster(logs io.Writer) (*cluster.Cluster, error) {
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

// runTraffic sends the users' requests while the faults are injected, and adds
// the samples to the recorder.
func runTraffic(ctx context.Context, c *cluster.Cluster, recorder *history.Recorder, out io.Writer) error {
	cfg := load.Config{
		Entries: c.Callers(), Streams: trafficStreams(), Duration: trafficDuration,
		MaxOpen: 4000, ReadinessInterval: readinessCheckInterval, Seed: seed, IDPrefix: "demo",
	}
	runner, err := load.NewRunner(cfg)
	if err != nil {
		return err
	}
	runner.KeepAnswers = true
	runner.OnSample = func(s load.Sample) { recorder.AddRequest(historyRequest(s, cfg.Streams[s.Stream])) }
	faultsDone := make(chan struct{})
	go func() {
		defer close(faultsDone)
		injectFaults(ctx, c, out)
	}()
	for i, result := range runner.Run(ctx) {
		result.Print(out, cfg.Streams[i].Caller)
	}
	<-faultsDone
	return ctx.Err()
}

// historyRequest converts a sample of the load to a request of the history.
func historyRequest(s load.Sample, stream load.Stream) history.Request {
	return history.Request{
		ID: s.ID, Idempotent: stream.Idempotent, Body: make([]byte, stream.BodyBytes),
		Start: s.Due, End: s.Due + s.Latency, Outcome: s.Outcome, Reason: s.Reason,
		Status: s.Status, Answer: s.Answer, Checksum: s.Checksum,
	}
}

// checkHistory checks the complete history and prints every violation.
func checkHistory(c *cluster.Cluster, recorder *history.Recorder, out io.Writer) error {
	h := recorder.History()
	for _, vm := range c.Site.VMs {
		for _, ep := range vm.Endpoints {
			h.Endpoints = append(h.Endpoints, history.Endpoint{Spec: ep, Record: c.Site.Executors[ep.ID].Record()})
		}
		h.Workers = append(h.Workers, c.Site.Workers.VM(vm.ID).Record())
	}
	h.End = time.Now()
	violations := history.Check(h, history.Limits{MaxConnections: executorConnections, LeavingGracePeriod: leavingGracePeriod, MaxAttempts: maxAttempts})
	for _, v := range violations {
		fmt.Fprintf(out, "broken %s\n", v)
	}
	if len(violations) > 0 {
		return errors.Wrapf(ErrGuaranteeViolated, "%d violations", len(violations))
	}
	fmt.Fprintf(out, "kept: at most once, not-run is true, whole answers, slots and connections, one place, capacity, truthful jobs; requests=%d\n", len(h.Requests))
	return nil
}

// jobNames returns the IDs of the jobs that the operators publish.
func jobNames() []api.JobID {
	return []api.JobID{"appraisal", "catalogue", "rebuild", "too-big", "withdrawn"}
}
