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

// Limits of deliveries.
const (
	// minDeliveryInterval is the minimum time between two deliveries to a machine. Clients see
	// the end of their job with this delay.
	minDeliveryInterval = 25 * time.Millisecond
	// maxIdleInterval is the maximum time between two deliveries when there are no updates;
	// replica.Timing.DeliveryValidity is more than twice as long. The interval is idleIntervalFactor times
	// that between two deliveries of updates, but at least minIdleInterval.
	maxIdleInterval    = 200 * time.Millisecond
	idleIntervalFactor = 4
	minIdleInterval    = 100 * time.Millisecond
	// maxDeliveryInterval is the maximum time between two deliveries of updates.
	maxDeliveryInterval = 150 * time.Millisecond
	// maxDeliveriesPerSecond bounds the deliveries of updates to all machines, as long as
	// maxDeliveryInterval allows it.
	maxDeliveriesPerSecond = 2000
	// updateLinkShare is the share of the leader's link for deliveries of updates, each of about
	// updateDeliveryBytes. Orders and reports have priority.
	updateLinkShare     = 0.1
	updateDeliveryBytes = 160
	// deliveryTimeout bounds one delivery.
	deliveryTimeout = 500 * time.Millisecond
	// maxKeptUpdates bounds the updates kept for machines that lag behind; a machine that lags
	// further reads the store.
	maxKeptUpdates = 10_000
	// maxDeliveryUpdates bounds the updates in one delivery.
	maxDeliveryUpdates = 2000
	// standbyInterval is the time between two selections of standbys.
	standbyInterval = 250 * time.Millisecond
)

// PublisherConfig configures a Publisher.
type PublisherConfig struct {
	Self               leader.Leader
	DataCentre         api.DataCentre
	LinkBytesPerSecond float64 // capacity of this machine's link; 0: unknown
	Peers              *Peers
	Caller             Caller
	BulkCaller         Caller                // for content, on separate connections, so that updates never wait for it
	LastRenewal        func() leader.Renewal // the last confirmed renewal of leadership
	CutOff             func() bool           // whether this machine reaches neither the store nor another data centre; nil: never
	OnReplaced         func(epoch api.Epoch) // called when a machine knows a higher epoch
	Logger             *logrus.Entry
}

// Publisher delivers what the leader's replica applies to the attached machines: job summaries,
// which clients may ask for, to all of them, and the content of the records to standbys.
type Publisher struct {
	cfg            PublisherConfig
	contentLimiter *rate.Limiter // limits the bytes of content

	mu               sync.Mutex
	firstOffset      platform.Offset // offset of the first kept record
	records          []platform.Record
	recordBytes      int             // size of the kept records
	updatesFrom      platform.Offset // all updates from this offset on are kept
	updates          []replica.SummaryUpdate
	targets          map[api.NodeID]*target
	standbys         map[api.NodeID]bool
	standbysReady    bool // all standbys keep the content, so that other machines may drop it
	standbysChosenAt time.Time
}

// target is the delivery state of one machine.
type target struct {
	position        platform.Offset // up to which the machine knows the states of jobs
	lastDelivery    time.Time
	inFlight        bool
	lastMachineList time.Time

	contentPosition     platform.Offset // up to which the machine keeps the content of records
	hasContent          bool            // the machine keeps the content of all records
	lastContentDelivery time.Time
	contentInFlight     bool
}

// NewPublisher returns a publisher of the records from the given offset on.
func NewPublisher(cfg PublisherConfig, from platform.Offset) *Publisher {
	p := &Publisher{
		cfg:            cfg,
		contentLimiter: rate.NewLimiter(rate.Inf, 0),
		firstOffset:    from,
		updatesFrom:    from,
		targets:        make(map[api.NodeID]*target),
	}
	if cfg.LinkBytesPerSecond > 0 {
		share := contentLinkShare * cfg.LinkBytesPerSecond
		p.contentLimiter = rate.NewLimiter(rate.Limit(share), int(share)) // allows bursts of one second's worth
	}
	return p
}

// end returns the offset after the last record. The caller holds p.mu.
func (p *Publisher) end() platform.Offset { return p.firstOffset + platform.Offset(len(p.records)) }

// Add adds what the replica applied. If the records do not follow the last ones, as after the
// replica has read everything again, machines that miss records in between read them from the store.
func (p *Publisher) Add(a replica.AppliedBatch) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a.Records[0].Offset != p.end() {
		p.firstOffset = a.Records[0].Offset
		p.updatesFrom = p.firstOffset
		p.records, p.updates = nil, nil
		p.recordBytes = 0
	}
	p.records = append(p.records, a.Records...)
	for _, r := range a.Records {
		p.recordBytes += r.Size()
	}
	p.updates = append(p.updates, a.Updates...)
	p.trim()
}

// trim drops records and updates that exceed the limits. The caller holds p.mu.
func (p *Publisher) trim() {
	excess := 0
	for len(p.records)-excess > maxKeptRecords || p.recordBytes > maxKeptBytes {
		p.recordBytes -= p.records[excess].Size()
		excess++
	}
	if excess > 0 {
		p.records = append([]platform.Record(nil), p.records[excess:]...)
		p.firstOffset += platform.Offset(excess)
	}
	if excess := len(p.updates) - maxKeptUpdates; excess > 0 {
		p.updatesFrom = p.updates[excess-1].Offset + 1
		p.updates = append([]replica.SummaryUpdate(nil), p.updates[excess:]...)
	}
}

// Run delivers until ctx ends.
func (p *Publisher) Run(ctx context.Context) {
	ticker := time.NewTicker(minDeliveryInterval)
	defer ticker.Stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			machines := p.cfg.Peers.Others(now)
			p.updateStandbys(machines, now)
			updateInterval := p.updateInterval(len(machines))
			for _, m := range machines {
				if d, due := p.nextDelivery(m.Node, updateInterval, now); due {
					if d.Role == Standby && p.machineListDue(m.Node, now) {
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

// updateInterval returns the time between two deliveries of updates to a machine. It grows with the
// number of machines and with the slowness of the leader's link.
func (p *Publisher) updateInterval(machines int) time.Duration {
	byProcessor := time.Duration(machines) * time.Second / maxDeliveriesPerSecond
	byLink := time.Duration(0)
	if p.cfg.LinkBytesPerSecond > 0 {
		byLink = time.Duration(float64(machines) * updateDeliveryBytes / (updateLinkShare * p.cfg.LinkBytesPerSecond) * float64(time.Second))
	}
	return min(max(minDeliveryInterval, byProcessor, byLink), maxDeliveryInterval)
}

// machineListInterval is the time between two lists of all machines to a standby. Machines attach to
// a new leader within about a second.
const machineListInterval = time.Second

// machineListDue reports whether a standby should be sent the list of all machines, and records it as
// sent.
func (p *Publisher) machineListDue(node api.NodeID, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.target(node)
	if now.Sub(t.lastMachineList) < machineListInterval {
		return false
	}
	t.lastMachineList = now
	return true
}

// updateStandbys selects the standbys again once standbyInterval has passed.
func (p *Publisher) updateStandbys(machines []Attachment, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.standbysChosenAt) < standbyInterval {
		return
	}
	p.standbysChosenAt = now
	p.standbys = chooseStandbys(machines, p.cfg.DataCentre)
	p.standbysReady = allStandbysReady(machines, p.standbys)
}

// role returns the role of a machine. The caller holds p.mu.
func (p *Publisher) role(node api.NodeID) Role {
	switch {
	case p.standbys[node]:
		return Standby
	case p.standbysReady:
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

// nextDelivery returns the delivery that is due for a machine, if any. Two deliveries of updates are
// at least interval apart.
func (p *Publisher) nextDelivery(node api.NodeID, interval time.Duration, now time.Time) (Delivery, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.target(node)
	end := p.end()
	// A machine that has missed updates that are no longer kept reads the store. Deliveries
	// bring it nothing yet, and at the interval of other machines they would be 40 calls a
	// second to each restarted machine.
	follows := t.position >= p.updatesFrom && t.position <= end
	updates := p.updatesSince(t.position)
	wait := maxIdleInterval
	switch {
	case follows && len(updates) > 0:
		wait = min(interval, maxIdleInterval)
	case follows:
		wait = min(max(idleIntervalFactor*interval, minIdleInterval), maxIdleInterval)
	}
	if t.inFlight || now.Sub(t.lastDelivery) < wait {
		return Delivery{}, false
	}
	t.inFlight = true
	t.lastDelivery = now
	d := Delivery{
		Leader: p.cfg.Self, LastRenewal: p.cfg.LastRenewal(), Span: replica.Span{From: end, To: end}, End: end, Role: p.role(node),
		CutOff: p.cfg.CutOff != nil && p.cfg.CutOff(),
	}
	if follows {
		d.Span.From = t.position
		if len(updates) > maxDeliveryUpdates {
			updates = updates[:maxDeliveryUpdates]
			d.Span.To = updates[maxDeliveryUpdates-1].Offset + 1
		}
		d.Jobs = work.PackSummaries(latestPerJob(updates))
	}
	return d, true
}

// updatesSince returns the updates from an offset on. The caller holds p.mu.
func (p *Publisher) updatesSince(from platform.Offset) []replica.SummaryUpdate {
	i := sort.Search(len(p.updates), func(i int) bool { return p.updates[i].Offset >= from })
	return p.updates[i:]
}

// latestPerJob returns the newest summary of each job.
func latestPerJob(updates []replica.SummaryUpdate) []work.Summary {
	indexes := make(map[work.ID]int, len(updates))
	out := make([]work.Summary, 0, len(updates))
	for _, u := range updates {
		if i, found := indexes[u.Summary.ID]; found {
			out[i] = u.Summary
			continue
		}
		indexes[u.Summary.ID] = len(out)
		out = append(out, u.Summary)
	}
	return out
}

// call makes a delivery and returns the machine's answer. It returns false if there was none or if
// the machine knows a later leader.
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
	ctx, cancel := context.WithTimeout(ctx, deliveryTimeout)
	defer cancel()
	answer, ok := p.call(ctx, p.cfg.Caller, m, methodDeliver, &d)
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.target(m.Node)
	t.inFlight = false
	if !ok {
		return
	}
	t.position = answer.Position
	t.hasContent = answer.HasContent
	if !t.contentInFlight {
		t.contentPosition = answer.ContentPosition
	}
	p.cfg.Peers.RecordAnswer(m.Node, answer.HasContent, time.Now())
}
