package assist

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/leader"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// Bounds of deliveries.
const (
	// deliverEvery is the time between two deliveries to a machine. Clients
	// see the end of their job with this delay.
	deliverEvery = 25 * time.Millisecond
	// deliverIdle is the time after which a delivery without records says
	// that there are none (replica.Timing.FedFor is over twice that).
	deliverIdle = 200 * time.Millisecond
	// deliverTimeout bounds a delivery.
	deliverTimeout = 500 * time.Millisecond
	// keptRecords and keptBytes bound what is kept for machines that are
	// behind, which otherwise read the store: what the leader clears up in
	// one append, up to 2,000 jobs with four records each, and some seconds
	// of other records (130 jobs a second make 600 of 300 bytes on average).
	keptRecords = 10_000
	keptBytes   = 4 << 20
	// sentRecords and sentBytes bound what one delivery brings: a link of 10
	// Mbit/s takes 0.2 s for the latter, well within deliverTimeout.
	sentRecords = 500
	sentBytes   = 256 << 10
)

// Publisher delivers what the leader's replica applies to the machines that
// are attached.
type Publisher struct {
	self     leader.Leader
	helpers  *Helpers
	caller   Caller
	renewed  func() time.Duration // how long ago the last confirmed renewal was sent
	replaced func(epoch api.Epoch)
	events   *logrus.Entry

	mu      sync.Mutex
	first   platform.Offset // of the first kept record
	records []platform.Record
	bytes   int // of these
	targets map[api.NodeID]*target
}

// target is one machine that is delivered to.
type target struct {
	position platform.Offset // up to where it knows the partition
	sent     time.Time       // of the last delivery
	busy     bool
}

// NewPublisher returns a publisher of records from an offset on, for the leader
// self. It calls replaced when a machine has heard of a higher epoch.
func NewPublisher(self leader.Leader, from platform.Offset, h *Helpers, c Caller, renewed func() time.Duration, replaced func(api.Epoch), events *logrus.Entry) *Publisher {
	return &Publisher{
		self:     self,
		helpers:  h,
		caller:   c,
		renewed:  renewed,
		replaced: replaced,
		events:   events,
		first:    from,
		targets:  make(map[api.NodeID]*target),
	}
}

// Add takes in records, which have their offsets. If they don't follow on the
// last ones, as when the replica was read anew, machines that miss those
// between read them from the store.
func (p *Publisher) Add(records []platform.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if next := p.first + platform.Offset(len(p.records)); records[0].Offset != next {
		p.first = records[0].Offset
		p.records = nil
		p.bytes = 0
	}
	p.records = append(p.records, records...)
	for _, r := range records {
		p.bytes += r.Size()
	}
	over := 0
	for len(p.records)-over > keptRecords || p.bytes > keptBytes {
		p.bytes -= p.records[over].Size()
		over++
	}
	if over > 0 {
		p.records = append([]platform.Record(nil), p.records[over:]...)
		p.first += platform.Offset(over)
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
			machines := p.helpers.Others(now)
			for _, m := range machines {
				if d, due := p.next(m.Node, now); due {
					if len(d.Records) == 0 {
						d.Machines = machines
					}
					calls.Go(func() { p.deliver(ctx, m, d) })
				}
			}
		}
	}
}

// next returns what a machine should be sent now, if anything.
func (p *Publisher) next(node api.NodeID, now time.Time) (Delivery, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.targets[node]
	if t == nil {
		t = &target{}
		p.targets[node] = t
	}
	end := p.first + platform.Offset(len(p.records))
	// A machine that knows less than is kept reads the store. Deliveries bring
	// it nothing yet, and at the pace of those that do they would be 40 calls
	// a second to each machine that was restarted.
	news := t.position >= p.first && t.position < end
	if t.busy || (!news && now.Sub(t.sent) < deliverIdle) {
		return Delivery{}, false
	}
	t.busy = true
	t.sent = now
	d := Delivery{Leader: p.self, Renewed: p.renewed(), First: end, End: end}
	if news {
		d.First = t.position
		d.Records = pack(atMost(p.records[t.position-p.first:]))
	}
	return d, true
}

// atMost returns the first of the records that one delivery may bring, at least
// one.
func atMost(records []platform.Record) []platform.Record {
	size := 0
	for i, r := range records {
		size += r.Size()
		if i > 0 && (i == sentRecords || size > sentBytes) {
			return records[:i]
		}
	}
	return records
}

func (p *Publisher) deliver(ctx context.Context, m Attachment, d Delivery) {
	ctx, cancel := context.WithTimeout(ctx, deliverTimeout)
	defer cancel()
	var answer DeliveryAnswer
	err := p.caller.Call(ctx, m.Address, methodDeliver, &d, &answer)
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.targets[m.Node]
	t.busy = false
	if err != nil {
		p.events.WithError(err).WithField("machine", m.Node).Debug("records not delivered")
		return
	}
	if answer.Epoch > p.self.Epoch {
		p.replaced(answer.Epoch)
		return
	}
	t.position = answer.Position
	p.helpers.Heard(m.Node, time.Now())
}
