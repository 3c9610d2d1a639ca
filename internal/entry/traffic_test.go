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

// awaitServing waits until every one of nodes answers requests of both kinds,
// those whose home is another data centre included.
func (c *cluster) awaitServing(nodes ...*process) {
	c.t.Helper()
	c.awaitIdempotent(nodes...)
	c.each(nodes, func(p *process) bool {
		for _, home := range p.settings.DataCentres {
			if !c.within(func() bool { return c.serves(p, string(home)+"/", false) }) {
				return false
			}
		}
		return true
	})
}

// awaitIdempotent waits until every one of nodes answers idempotent requests.
func (c *cluster) awaitIdempotent(nodes ...*process) {
	c.t.Helper()
	c.each(nodes, func(p *process) bool { return c.within(func() bool { return c.serves(p, "", true) }) })
}

// each calls served for all of nodes at once; all must be true.
func (c *cluster) each(nodes []*process, served func(p *process) bool) {
	c.t.Helper()
	var all sync.WaitGroup
	for _, p := range nodes {
		all.Go(func() {
			if !served(p) {
				c.t.Errorf("%s doesn't serve", p.settings.NodeID)
			}
		})
	}
	all.Wait()
	if c.t.Failed() {
		c.t.FailNow()
	}
}

// serves sends one request through p and reports whether it ran.
func (c *cluster) serves(p *process, prefix string, idempotent bool) bool {
	ran := false
	id := fmt.Sprintf("%s%s-probe-%d", prefix, p.settings.NodeID, c.rec.Now())
	c.load(id, load.Config{
		Entries: []string{p.callers()}, MaxOpen: 1, Duration: time.Second,
		Streams: []load.Stream{{Service: service, Rate: 1000, Idempotent: idempotent, Timeout: c.timeout}},
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

// load runs a load to its end and records it.
func (c *cluster) load(prefix string, cfg load.Config, prepare ...func(r *load.Runner, stop func())) []*load.Result {
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
	end := c.rec.Now()
	stream := cfg.Streams[s.Stream]
	c.rec.AddRequest(history.Request{
		ID: s.ID, Idempotent: stream.Idempotent, Body: make([]byte, stream.BodyBytes), Start: end - s.Latency, End: end,
		Outcome: s.Outcome, Reason: s.Reason, Status: s.Status, Answer: s.Answer, Checksum: s.Checksum,
	})
}

// traffic is load of both kinds through all of nodes, with repeats of half of
// the ids through another entry VM, while faults are made.
func (c *cluster) traffic(nodes []*process, faults func(), prepare ...func(r *load.Runner, stop func())) []*load.Result {
	c.t.Helper()
	cfg := load.Config{MaxOpen: 500, Duration: load.MaxDuration}
	for _, idempotent := range []bool{true, false} {
		cfg.Streams = append(cfg.Streams, load.Stream{
			Caller: fmt.Sprintf("caller-%t", idempotent), Service: service, Rate: c.rate, Idempotent: idempotent, BodyBytes: 1000, Timeout: c.timeout, Repeat: 0.5,
		})
	}
	for _, p := range nodes {
		cfg.Entries = append(cfg.Entries, p.callers())
	}
	over := func(_ *load.Runner, stop func()) {
		go func() {
			defer stop()
			faults()
		}()
	}
	results := c.load("r", cfg, append(prepare, over)...)
	for i, r := range results {
		var line bytes.Buffer
		r.Print(&line, cfg.Streams[i].Caller)
		c.t.Log(line.String())
	}
	return results
}

// answered waits until n more requests were answered as run.
func (c *cluster) answered(n int) {
	before := c.ran()
	c.await(fmt.Sprintf("%d answers", n), func() bool { return c.ran() >= before+n })
}

// outlasted waits until a fault has lasted, and requests were answered as run
// meanwhile.
func (c *cluster) outlasted() {
	c.t.Helper()
	start := time.Now()
	c.answered(50)
	c.await("the fault has lasted", func() bool { return time.Since(start) > faultTime })
}

func (c *cluster) ran() int {
	n := 0
	for _, r := range c.rec.History().Requests {
		if r.Outcome == api.OutcomeRan {
			n++
		}
	}
	return n
}

// faulty sets the faults of the executors on vms.
func (c *cluster) faulty(vms []api.VM, f executor.Faults) {
	for _, vm := range vms {
		for _, ep := range vm.Endpoints {
			c.site.Executors[ep.ID].SetFaults(f)
		}
	}
}
