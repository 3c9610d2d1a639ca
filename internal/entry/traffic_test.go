package entry

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/history"
	"github.com/skylarklock/skylarklock/internal/load"
	"github.com/skylarklock/skylarklock/internal/standin/executor"
)

// awaitServing waits until each of nodes runs idempotent and other requests,
// including those whose home is another data centre.
func (c *cluster) awaitServing(nodes ...*process) {
	c.t.Helper()
	c.awaitIdempotent(nodes...)
	c.checkEach(nodes, func(p *process) bool {
		for _, home := range p.settings.DataCentres {
			if !c.poll(func() bool { return c.probe(p, string(home)+"/", false) }) {
				return false
			}
		}
		return true
	})
}

// awaitIdempotent waits until each of nodes runs idempotent requests.
func (c *cluster) awaitIdempotent(nodes ...*process) {
	c.t.Helper()
	c.checkEach(nodes, func(p *process) bool { return c.poll(func() bool { return c.probe(p, "", true) }) })
}

// checkEach calls served concurrently for all nodes and fails the test unless all
// calls return true.
func (c *cluster) checkEach(nodes []*process, served func(p *process) bool) {
	c.t.Helper()
	var all sync.WaitGroup
	for _, p := range nodes {
		all.Go(func() {
			if !served(p) {
				c.t.Errorf("%s does not serve requests", p.settings.NodeID)
			}
		})
	}
	all.Wait()
	if c.t.Failed() {
		c.t.FailNow()
	}
}

// probe sends requests through p until the first result and reports whether a
// request ran.
func (c *cluster) probe(p *process, prefix string, idempotent bool) bool {
	ran := false
	id := fmt.Sprintf("%s%s-probe-%d", prefix, p.settings.NodeID, c.recorder.Now())
	c.runLoad(id, load.Config{
		Entries: []string{p.callersAddress()}, MaxOpen: 1, Duration: time.Second,
		Streams: []load.Stream{{Service: serviceName, Rate: 1000, Idempotent: idempotent, Timeout: c.requestTimeout}},
	}, func(r *load.Runner, stop func()) {
		record := r.OnSample
		r.OnSample = func(s load.Sample) {
			record(s)
			ran = ran || s.Outcome == api.OutcomeRan
			stop()
		}
	})
	return ran
}

// runLoad runs a load to its end and records the requests.
func (c *cluster) runLoad(prefix string, cfg load.Config, prepare ...func(r *load.Runner, stop func())) []*load.Result {
	cfg.Seed, cfg.IDPrefix = 1, prefix
	runner, err := load.NewRunner(cfg)
	must(c.t, err)
	runner.KeepAnswers = true
	runner.OnSample = func(s load.Sample) { c.record(cfg, s) }
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, f := range prepare {
		f(runner, cancel)
	}
	return runner.Run(ctx)
}

func (c *cluster) record(cfg load.Config, s load.Sample) {
	end := c.recorder.Now()
	stream := cfg.Streams[s.Stream]
	c.recorder.AddRequest(history.Request{
		ID: s.ID, Idempotent: stream.Idempotent, Body: make([]byte, stream.BodyBytes), Start: end - s.Latency, End: end,
		Outcome: s.Outcome, Reason: s.Reason, Status: s.Status, Answer: s.Answer, Checksum: s.Checksum,
	})
}

// traffic sends idempotent and other requests through all nodes while faults runs.
// Half of the request IDs are sent a second time through another entry VM.
func (c *cluster) traffic(nodes []*process, faults func(), prepare ...func(r *load.Runner, stop func())) []*load.Result {
	c.t.Helper()
	cfg := load.Config{MaxOpen: 500, Duration: load.MaxDuration}
	for _, idempotent := range []bool{true, false} {
		cfg.Streams = append(cfg.Streams, load.Stream{
			Caller: fmt.Sprintf("caller-%t", idempotent), Service: serviceName, Rate: c.requestRate, Idempotent: idempotent, BodyBytes: 1000, Timeout: c.requestTimeout, RepeatShare: 0.5,
		})
	}
	for _, p := range nodes {
		cfg.Entries = append(cfg.Entries, p.callersAddress())
	}
	over := func(_ *load.Runner, stop func()) {
		go func() {
			defer stop()
			faults()
		}()
	}
	results := c.runLoad("r", cfg, append(prepare, over)...)
	for i, r := range results {
		var line bytes.Buffer
		r.Print(&line, cfg.Streams[i].Caller)
		c.t.Log(line.String())
	}
	return results
}

// waitAnswered waits until n more requests have run according to their answers.
func (c *cluster) waitAnswered(n int) {
	before := c.ranCount()
	c.await(fmt.Sprintf("%d answers", n), func() bool { return c.ranCount() >= before+n })
}

// waitFaultDuration waits until a fault has lasted for minFaultDuration and more
// requests have run in the meantime.
func (c *cluster) waitFaultDuration() {
	c.t.Helper()
	start := time.Now()
	c.waitAnswered(50)
	c.await("the fault to last long enough", func() bool { return time.Since(start) > minFaultDuration })
}

func (c *cluster) ranCount() int {
	n := 0
	for _, r := range c.recorder.History().Requests {
		if r.Outcome == api.OutcomeRan {
			n++
		}
	}
	return n
}

// setExecutorFaults sets the faults of all executors on vms.
func (c *cluster) setExecutorFaults(vms []api.VM, f executor.Faults) {
	for _, vm := range vms {
		for _, ep := range vm.Endpoints {
			c.site.Executors[ep.ID].SetFaults(f)
		}
	}
}
