package assist

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/leader"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/replica"
	"github.com/skylarklock/skylarklock/internal/work"
)

// Bounds of deliveries.
const (
	// deliverEvery is the least time between two deliveries to a machine. Clients
	// see the end of their job with this delay.
	deliverEvery = 25 * time.Millisecond
	// deliverIdle is the longest time after which a delivery without news says
	// that there is none (replica.Timing.DeliveryValidity is over twice that), idlePaces how many
	// times that between two with news it is, and idleLeast the shortest.
	deliverIdle = 200 * time.Millisecond
	idlePaces   = 4
	idleLeast   = 100 * time.Millisecond
	// deliverMost is the longest time between two deliveries of news.
	deliverMost = 150 * time.Millisecond
	// deliverAtMost bounds the deliveries of news a second to all machines: with as
	// many, a leader of 97 machines and 540 executors used 0.42 of a core, of 0.8.
	deliverAtMost = 2000
	// deliverShare is the share of the leader's link for the deliveries of news,
	// of which each takes about deliverBytes. What orders and reports take comes first.
	deliverShare = 0.1
	deliverBytes = 160
	// deliverTimeout bounds a delivery.
	deliverTimeout = 500 * time.Millisecond
	// keptNews bounds the news kept for machines that are behind, which otherwise
	// read the store.
	keptNews = 10_000
	// sentNews bounds what one delivery brings.
	sentNews = 2000
	// chooseEvery is the time between two choices of standbys.
	chooseEvery = 250 * time.Millisecond
)

// PublisherConfig is what a Publisher works with.
type PublisherConfig struct {
	Self               leader.Leader
	DataCentre         api.DataCentre
	LinkBytesPerSecond float64 // bytes a second that this machine's link carries; 0: not told
	Peers              *Peers
	Caller             Caller
	BulkCaller         Caller                // on connections of its own, so that news never waits for content
	LastRenewal        func() leader.Renewal // the last that was confirmed
	CutOff             func() bool           // this machine reaches neither the store nor another data centre; nil: never
	OnReplaced         func(epoch api.Epoch) // a machine has heard of a higher epoch
	Logger             *logrus.Entry
}

// Publisher delivers what the leader's replica applies to the machines that
// are attached: to all of them what clients may ask, to standbys also the content
// of the records.
type Publisher struct {
	cfg    PublisherConfig
	budget *rate.Limiter // of content, in bytes

	mu       sync.Mutex
	first    platform.Offset // of the first kept record
	records  []platform.Record
	bytes    int             // of these
	newsFrom platform.Offset // from here on all news is kept
	news     []replica.SummaryUpdate
	targets  map[api.NodeID]*target
	standbys map[api.NodeID]bool
	enough   bool // standbys keep the content, so that others need not
	chosen   time.Time
}

// target is one machine that is delivered to.
type target struct {
	position platform.Offset // up to where it knows the states of jobs
	sent     time.Time       // of the last delivery
	busy     bool
	listed   time.Time // of the last list of machines

	content     platform.Offset // up to where it keeps the content of records
	whole       bool            // it keeps it at all
	contentSent time.Time
	contentBusy bool
}

// NewPublisher returns a publisher of records from an offset on.
func NewPublisher(cfg PublisherConfig, from platform.Offset) *Publisher {
	p := &Publisher{
		cfg:      cfg,
		budget:   rate.NewLimiter(rate.Inf, 0),
		first:    from,
		newsFrom: from,
		targets:  make(map[api.NodeID]*target),
	}
	if cfg.LinkBytesPerSecond > 0 {
		share := contentShare * cfg.LinkBytesPerSecond
		p.budget = rate.NewLimiter(rate.Limit(share), int(share)) // what one second allows, at once
	}
	return p
}

// end returns the offset after the last record; p.mu is held.
func (p *Publisher) end() platform.Offset { return p.first + platform.Offset(len(p.records)) }

// Add takes in what was applied. If it doesn't follow on the
// last, as when the replica was read anew, machines that miss what lies
// between read it from the store.
func (p *Publisher) Add(a replica.AppliedBatch) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a.Records[0].Offset != p.end() {
		p.first = a.Records[0].Offset
		p.newsFrom = p.first
		p.records, p.news = nil, nil
		p.bytes = 0
	}
	p.records = append(p.records, a.Records...)
	for _, r := range a.Records {
		p.bytes += r.Size()
	}
	p.news = append(p.news, a.Updates...)
	p.trim()
}

// trim drops what is over the bounds; p.mu is held.
func (p *Publisher) trim() {
	over := 0
	for len(p.records)-over > keptRecords || p.bytes > keptBytes {
		p.bytes -= p.records[over].Size()
		over++
	}
	if over > 0 {
		p.records = append([]platform.Record(nil), p.records[over:]...)
		p.first += platform.Offset(over)
	}
	if over := len(p.news) - keptNews; over > 0 {
		p.newsFrom = p.news[over-1].Offset + 1
		p.news = append([]replica.SummaryUpdate(nil), p.news[over:]...)
	}
}

// Run delivers until ctx ends.
func (p *Publisher) Run(ctx context.Context) {
	ticker := time.NewTicker(deliverEvery)
	defer ticker.Stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			machines := p.cfg.Peers.Others(now)
			p.choose(machines, now)
			pace := p.pace(len(machines))
			for _, m := range machines {
				if d, due := p.next(m.Node, pace, now); due {
					if d.Role == Standby && p.lists(m.Node, now) {
						d.Machines = machines
					}
					calls.Go(func() { p.deliver(ctx, m, d) })
				}
				if c, due := p.nextContent(m.Node, now); due {
					calls.Go(func() { p.deliverContent(ctx, m, c) })
				}
			}
		}
	}
}

// pace returns the time between two deliveries of news to a machine: the more
// machines there are, and the thinner this one's link is, the longer.
func (p *Publisher) pace(machines int) time.Duration {
	processor := time.Duration(machines) * time.Second / deliverAtMost
	link := time.Duration(0)
	if p.cfg.LinkBytesPerSecond > 0 {
		link = time.Duration(float64(machines) * deliverBytes / (deliverShare * p.cfg.LinkBytesPerSecond) * float64(time.Second))
	}
	return min(max(deliverEvery, processor, link), deliverMost)
}

// listEvery is the time between two lists of all machines to a standby: machines
// make themselves known to a new leader within about a second.
const listEvery = time.Second

// lists reports whether a standby should be told of all machines, and counts it as
// told.
func (p *Publisher) lists(node api.NodeID, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.target(node)
	if now.Sub(t.listed) < listEvery {
		return false
	}
	t.listed = now
	return true
}

// choose works out, now and then, who is a standby.
func (p *Publisher) choose(machines []Attachment, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.chosen) < chooseEvery {
		return
	}
	p.chosen = now
	p.standbys = chooseStandbys(machines, p.cfg.DataCentre)
	p.enough = enoughWhole(machines, p.standbys)
}

// role returns what a machine should keep; p.mu is held.
func (p *Publisher) role(node api.NodeID) Role {
	switch {
	case p.standbys[node]:
		return Standby
	case p.enough:
		return Follower
	default:
		return Unassigned
	}
}

func (p *Publisher) target(node api.NodeID) *target {
	t := p.targets[node]
	if t == nil {
		t = &target{}
		p.targets[node] = t
	}
	return t
}

// next returns the news that a machine should be sent now, if any. Between two
// deliveries of news there is a time of pace.
func (p *Publisher) next(node api.NodeID, pace time.Duration, now time.Time) (Delivery, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.target(node)
	end := p.end()
	// A machine that knows less than is kept reads the store. Deliveries bring
	// it nothing yet, and at the pace of those that do they would be 40 calls
	// a second to each machine that was restarted.
	follows := t.position >= p.newsFrom && t.position <= end
	news := p.newsSince(t.position)
	wait := deliverIdle
	switch {
	case follows && len(news) > 0:
		wait = min(pace, deliverIdle)
	case follows:
		wait = min(max(idlePaces*pace, idleLeast), deliverIdle)
	}
	if t.busy || now.Sub(t.sent) < wait {
		return Delivery{}, false
	}
	t.busy = true
	t.sent = now
	d := Delivery{
		Leader: p.cfg.Self, LastRenewal: p.cfg.LastRenewal(), Span: replica.Span{From: end, To: end}, End: end, Role: p.role(node),
		CutOff: p.cfg.CutOff != nil && p.cfg.CutOff(),
	}
	if follows {
		d.Span.From = t.position
		if len(news) > sentNews {
			news = news[:sentNews]
			d.Span.To = news[sentNews-1].Offset + 1
		}
		d.Jobs = work.PackSummaries(newest(news))
	}
	return d, true
}

// newsSince returns the news from an offset on; p.mu is held.
func (p *Publisher) newsSince(from platform.Offset) []replica.SummaryUpdate {
	i := sort.Search(len(p.news), func(i int) bool { return p.news[i].Offset >= from })
	return p.news[i:]
}

// newest returns the newest summary of each job.
func newest(news []replica.SummaryUpdate) []work.Summary {
	places := make(map[work.ID]int, len(news))
	out := make([]work.Summary, 0, len(news))
	for _, n := range news {
		if i, again := places[n.Summary.ID]; again {
			out[i] = n.Summary
			continue
		}
		places[n.Summary.ID] = len(out)
		out = append(out, n.Summary)
	}
	return out
}

// call makes a delivery and returns the machine's answer, or false if it gave none or
// knows a later leader.
func (p *Publisher) call(ctx context.Context, c Caller, m Attachment, method string, delivery any) (DeliveryAnswer, bool) {
	var answer DeliveryAnswer
	if err := c.Call(ctx, m.Address, method, delivery, &answer); err != nil {
		p.cfg.Logger.WithError(err).WithFields(logrus.Fields{"machine": m.Node, "method": method}).Debug("not delivered")
		return answer, false
	}
	if answer.Epoch > p.cfg.Self.Epoch {
		p.cfg.OnReplaced(answer.Epoch)
		return answer, false
	}
	return answer, true
}

func (p *Publisher) deliver(ctx context.Context, m Attachment, d Delivery) {
	ctx, cancel := context.WithTimeout(ctx, deliverTimeout)
	defer cancel()
	answer, known := p.call(ctx, p.cfg.Caller, m, methodDeliver, &d)
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.target(m.Node)
	t.busy = false
	if !known {
		return
	}
	t.position = answer.Position
	t.whole = answer.HasContent
	if !t.contentBusy {
		t.content = answer.ContentPosition
	}
	p.cfg.Peers.RecordAnswer(m.Node, answer.HasContent, time.Now())
}
