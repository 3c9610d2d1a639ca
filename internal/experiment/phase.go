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

// settleTime is the pause between two phases, in which queues drain.
const settleTime = time.Second

// lateSlack is how long past its timeout an answer still counts as in time;
// the timeout itself is counted at the entry VM.
const lateSlack = 20 * time.Millisecond

// phase is one measured stretch of load.
type phase struct {
	name    string
	entries []string // callers' addresses; all when nil
	streams []load.Stream
	check   time.Duration         // of the balancer; zero: none
	during  func(context.Context) // runs beside the load; may be nil
	from    time.Duration         // earlier samples don't count
}

// tally is what became of the requests of one stream.
type tally struct {
	stream   load.Stream
	seconds  float64
	sent     int
	good     int // ran, sound, in time
	answered int // good, and answered while the phase counts
	late     int // ran, sound, too late
	failed   int // ran with an error status
	notRun   int
	unknown  int
	noAnswer int
	skipped  int
	reasons  map[api.Reason]int
	ran      *hdrhistogram.Histogram // microseconds
	refused  *hdrhistogram.Histogram // microseconds
}

// goodput is the sound answers in time, each second. It counts by the time of
// the answer: a queue that grows or shrinks would distort a count by the time
// of the request.
func (t *tally) goodput() float64 { return float64(t.answered) / t.seconds }

// addAnswer counts a sample that was answered while the phase counts.
func (t *tally) addAnswer(s load.Sample) {
	if s.Outcome == api.OutcomeRan && s.Status < http.StatusInternalServerError && s.Latency <= t.stream.Timeout+lateSlack {
		t.answered++
	}
}

// outcome is what a phase gave.
type outcome struct {
	tallies   []*tally
	forwarded int64 // hand-overs to peers with room
	answered  int64 // hand-overs of any kind that a peer answered
	retried   int64
	truth     truth
	seen      executorsSeen // of the first stream's service
}

// newTally returns an empty tally.
func newTally(s load.Stream, seconds float64) *tally {
	const longest = int64(time.Minute / time.Microsecond)
	return &tally{
		stream: s, seconds: seconds, reasons: map[api.Reason]int{},
		ran:     hdrhistogram.New(1, longest, 3),
		refused: hdrhistogram.New(1, longest, 3),
	}
}

// add counts one sample.
func (t *tally) add(s load.Sample) {
	t.sent++
	if s.Reason != "" {
		t.reasons[s.Reason]++
	}
	latency := max(s.Latency.Microseconds(), 1)
	if s.Outcome == api.OutcomeRan {
		_ = t.ran.RecordValue(latency)
	} else {
		_ = t.refused.RecordValue(latency)
	}
	switch {
	case s.Outcome == api.OutcomeRan && s.Status >= http.StatusInternalServerError:
		t.failed++
	case s.Outcome == api.OutcomeRan && s.Latency > t.stream.Timeout+lateSlack:
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

// phases numbers the phases of a process, to keep request ids apart.
var phases struct {
	sync.Mutex
	n int
}

func nextPrefix() string {
	phases.Lock()
	defer phases.Unlock()
	phases.n++
	return fmt.Sprintf("p%d-%d", phases.n, time.Now().UnixNano())
}

// run drives the cell through one phase.
func (c *cell) run(ctx context.Context, p phase) (*outcome, error) {
	entries := p.entries
	if entries == nil {
		entries = c.callers()
	}
	duration := c.cfg.duration()
	runner, err := load.NewRunner(load.Config{
		Entries: entries, Streams: p.streams, Duration: duration, MaxOpen: maxOpen,
		Seed: c.cfg.Seed, IDPrefix: nextPrefix(), ReadinessInterval: p.check,
	})
	if err != nil {
		return nil, err
	}
	out := &outcome{}
	for _, s := range p.streams {
		out.tallies = append(out.tallies, newTally(s, (duration-p.from).Seconds()))
	}
	var mu sync.Mutex
	var samples []load.Sample
	runner.OnSample = func(s load.Sample) {
		mu.Lock()
		defer mu.Unlock()
		samples = append(samples, s)
		if s.Due >= p.from {
			out.tallies[s.Stream].add(s)
		}
		if end := s.Due + s.Latency; end >= p.from && end < duration {
			out.tallies[s.Stream].addAnswer(s)
		}
	}
	answered := c.count("handover", "answered")
	room, retried := c.count(filter.GroupForward, filter.CountFreePeer), c.retries()
	var beside sync.WaitGroup
	if p.during != nil {
		beside.Go(func() { p.during(ctx) })
	}
	service := p.streams[0].Service
	refused := c.seen(service, time.Time{}, time.Time{}).refused
	started := time.Now()
	results := runner.Run(ctx)
	beside.Wait()
	for i, r := range results {
		out.tallies[i].skipped = r.Skipped()
	}
	out.forwarded = c.count(filter.GroupForward, filter.CountFreePeer) - room
	out.answered = c.count("handover", "answered") - answered
	out.retried = c.retries() - retried
	pause(ctx, settleTime)
	out.seen = c.seen(service, started.Add(p.from), started.Add(duration))
	out.seen.refused -= refused
	out.truth = c.check(samples, p.streams)
	return out, ctx.Err()
}

// retries counts the retries of all entry VMs.
func (c *cell) retries() int64 {
	total := int64(0)
	for _, reason := range []api.Reason{
		api.ReasonEndpointRefused, api.ReasonConnectFailed, api.ReasonAnswerBroken, api.ReasonAnswerTimeout,
		api.ReasonPeerUnreachable, api.ReasonNoSlot, api.ReasonQueueFull, api.ReasonHoldUnconfirmed,
		api.ReasonNoEndpoint, api.ReasonDeadlineUnmeetable, api.ReasonDraining, api.ReasonNotReady,
	} {
		total += c.count(filter.GroupRetried, reason)
	}
	return total
}
