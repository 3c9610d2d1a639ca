package experiment

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/filter"
	"github.com/skylarklock/skylarklock/internal/load"
)

// settleTime is the pause after each phase, in which queues drain.
const settleTime = time.Second

// lateTolerance is how long after its timeout an answer still counts as in time.
// The entry VM measures the timeout from the arrival of the request, which is
// later than the start of the latency.
const lateTolerance = 20 * time.Millisecond

// phase describes one measured period of load.
type phase struct {
	name              string
	entries           []string // addresses for callers; nil: all entry VMs
	streams           []load.Stream
	readinessInterval time.Duration         // of the balancer's checks; zero: no checks
	during            func(context.Context) // runs concurrently with the load; may be nil
	countFrom         time.Duration         // time since the start before which samples are ignored
}

// streamStats counts the outcomes of the requests of one stream.
type streamStats struct {
	stream          load.Stream
	seconds         float64 // duration of the counted part of the phase
	sent            int
	good            int // ran without an error status, answered in time
	answeredInPhase int // like good, but counted by the time of the answer
	late            int // ran without an error status, answered too late
	failed          int // ran with an error status
	notRun          int
	unknown         int
	noAnswer        int
	skipped         int
	reasons         map[api.Reason]int
	ranLatency      *hdrhistogram.Histogram // microseconds
	otherLatency    *hdrhistogram.Histogram // microseconds
}

// goodput returns the number of good answers per second. Answers are counted by
// the time of the answer, because a queue that grows or shrinks would distort a
// count by the time of the request.
func (t *streamStats) goodput() float64 { return float64(t.answeredInPhase) / t.seconds }

// addCompletion counts a sample that was answered in the counted part of the phase.
func (t *streamStats) addCompletion(s load.Sample) {
	if s.Outcome == api.OutcomeRan && s.Status < http.StatusInternalServerError && s.Latency <= t.stream.Timeout+lateTolerance {
		t.answeredInPhase++
	}
}

// phaseResult holds the results of a phase.
type phaseResult struct {
	statsByStream     []*streamStats
	forwarded         int64 // handovers to peers with free slots
	answeredHandovers int64 // handovers of any kind that a peer answered
	retried           int64
	audit             answerAudit
	executors         executorStats // of the service of the first stream
}

// newStreamStats returns empty statistics.
func newStreamStats(s load.Stream, seconds float64) *streamStats {
	const maxLatency = int64(time.Minute / time.Microsecond)
	return &streamStats{
		stream: s, seconds: seconds, reasons: map[api.Reason]int{},
		ranLatency:   hdrhistogram.New(1, maxLatency, 3),
		otherLatency: hdrhistogram.New(1, maxLatency, 3),
	}
}

// add counts one sample.
func (t *streamStats) add(s load.Sample) {
	t.sent++
	if s.Reason != "" {
		t.reasons[s.Reason]++
	}
	latency := max(s.Latency.Microseconds(), 1)
	if s.Outcome == api.OutcomeRan {
		_ = t.ranLatency.RecordValue(latency)
	} else {
		_ = t.otherLatency.RecordValue(latency)
	}
	switch {
	case s.Outcome == api.OutcomeRan && s.Status >= http.StatusInternalServerError:
		t.failed++
	case s.Outcome == api.OutcomeRan && s.Latency > t.stream.Timeout+lateTolerance:
		t.late++
	case s.Outcome == api.OutcomeRan:
		t.good++
	case s.Outcome == api.OutcomeNotRun:
		t.notRun++
	case s.Outcome == api.OutcomeUnknown:
		t.unknown++
	default:
		t.noAnswer++
	}
}

// phaseCounter numbers the phases of a process, which makes request IDs unique.
var phaseCounter struct {
	sync.Mutex
	n int
}

// nextIDPrefix returns a new prefix for request IDs.
func nextIDPrefix() string {
	phaseCounter.Lock()
	defer phaseCounter.Unlock()
	phaseCounter.n++
	return fmt.Sprintf("p%d-%d", phaseCounter.n, time.Now().UnixNano())
}

// runPhase runs the load of one phase against the cell and returns the results.
func (c *cell) runPhase(ctx context.Context, p phase) (*phaseResult, error) {
	entries := p.entries
	if entries == nil {
		entries = c.callerAddresses()
	}
	duration := c.cfg.phaseDuration()
	runner, err := load.NewRunner(load.Config{
		Entries: entries, Streams: p.streams, Duration: duration, MaxOpen: maxOpen,
		Seed: c.cfg.Seed, IDPrefix: nextIDPrefix(), ReadinessInterval: p.readinessInterval,
	})
	if err != nil {
		return nil, err
	}
	out := &phaseResult{}
	for _, s := range p.streams {
		out.statsByStream = append(out.statsByStream, newStreamStats(s, (duration-p.countFrom).Seconds()))
	}
	var mu sync.Mutex
	var samples []load.Sample
	runner.OnSample = func(s load.Sample) {
		mu.Lock()
		defer mu.Unlock()
		samples = append(samples, s)
		if s.Due >= p.countFrom {
			out.statsByStream[s.Stream].add(s)
		}
		if end := s.Due + s.Latency; end >= p.countFrom && end < duration {
			out.statsByStream[s.Stream].addCompletion(s)
		}
	}
	answeredBefore := c.sumCounter("handover", "answered")
	forwardedBefore, retriedBefore := c.sumCounter(filter.GroupForward, filter.CountFreePeer), c.sumRetries()
	var concurrent sync.WaitGroup
	if p.during != nil {
		concurrent.Go(func() { p.during(ctx) })
	}
	service := p.streams[0].Service
	refusedBefore := c.collectExecutorStats(service, time.Time{}, time.Time{}).refused
	started := time.Now()
	results := runner.Run(ctx)
	concurrent.Wait()
	for i, r := range results {
		out.statsByStream[i].skipped = r.Skipped()
	}
	out.forwarded = c.sumCounter(filter.GroupForward, filter.CountFreePeer) - forwardedBefore
	out.answeredHandovers = c.sumCounter("handover", "answered") - answeredBefore
	out.retried = c.sumRetries() - retriedBefore
	sleep(ctx, settleTime)
	out.executors = c.collectExecutorStats(service, started.Add(p.countFrom), started.Add(duration))
	out.executors.refused -= refusedBefore
	out.audit = c.auditAnswers(samples, p.streams)
	return out, ctx.Err()
}

// sumRetries returns the number of retries of all entry VMs.
func (c *cell) sumRetries() int64 {
	total := int64(0)
	for _, reason := range []api.Reason{
		api.ReasonEndpointRefused, api.ReasonConnectFailed, api.ReasonAnswerBroken, api.ReasonAnswerTimeout,
		api.ReasonPeerUnreachable, api.ReasonNoSlot, api.ReasonQueueFull, api.ReasonHoldUnconfirmed,
		api.ReasonNoEndpoint, api.ReasonDeadlineUnmeetable, api.ReasonDraining, api.ReasonNotReady,
	} {
		total += c.sumCounter(filter.GroupRetried, reason)
	}
	return total
}
