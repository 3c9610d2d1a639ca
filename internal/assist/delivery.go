package assist

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/leader"
	"github.com/skylarklock/skylarklock/internal/peer"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/refusal"
	"github.com/skylarklock/skylarklock/internal/replica"
	"github.com/skylarklock/skylarklock/internal/work"
)

// Delivery brings the states of jobs to a machine, in the order of the partition. It also names the
// leader, which a machine that cannot reach the store learns only from deliveries.
type Delivery struct {
	_           struct{} `cbor:",toarray"`
	Leader      leader.Leader
	LastRenewal leader.Renewal  // the leader's last confirmed renewal
	Span        replica.Span    // of the records that the summaries cover
	Jobs        work.Summaries  // of all jobs that these records changed
	End         platform.Offset // of the partition, as far as the leader knows
	Role        Role            // what the receiving machine should keep
	Machines    []Attachment    // for standbys: the machines that the leader delivers to; empty: unchanged
	CutOff      bool            // the leader reaches neither the store nor another data centre
	Refused     *refusal.News   `cbor:"-"` // what the leader refuses at the moment; nil: nothing; see delivery.go
}

// DeliveryAnswer reports how far the machine knows the partition and the highest epoch that it
// knows.
type DeliveryAnswer struct {
	_               struct{}        `cbor:",toarray"`
	Position        platform.Offset // up to which it knows the states of jobs
	ContentPosition platform.Offset // up to which it keeps the content of records
	HasContent      bool            // it keeps the content of all records
	Epoch           api.Epoch
}

// Messages are arrays whose length a build checks, so a machine whose build doesn't know
// Delivery.Refused refuses a delivery with it. The field is therefore sent only if it is set, and left
// out for a machine that has refused it. Such a machine decides on submissions as before.

// refusingDelivery is the wire form of a Delivery with Refused.
type refusingDelivery struct {
	_           struct{} `cbor:",toarray"`
	Leader      leader.Leader
	LastRenewal leader.Renewal
	Span        replica.Span
	Jobs        work.Summaries
	End         platform.Offset
	Role        Role
	Machines    []Attachment
	CutOff      bool
	Refused     *refusal.News
}

// deliveryFields is the number of fields of refusingDelivery. A later build may send more.
const deliveryFields = 9

// wireForm returns what is sent for a delivery.
func (d *Delivery) wireForm() any {
	if d.Refused == nil {
		return d
	}
	return &refusingDelivery{
		Leader: d.Leader, LastRenewal: d.LastRenewal, Span: d.Span, Jobs: d.Jobs, End: d.End, Role: d.Role,
		Machines: d.Machines, CutOff: d.CutOff, Refused: d.Refused,
	}
}

// UnmarshalCBOR implements cbor.Unmarshaler. It accepts deliveries with and without Refused, and ignores
// further fields.
func (d *Delivery) UnmarshalCBOR(data []byte) error {
	var fields []cbor.RawMessage
	if err := cbor.Unmarshal(data, &fields); err != nil {
		return err
	}
	if len(fields) < deliveryFields {
		type plain Delivery // without this method
		return cbor.Unmarshal(data, (*plain)(d))
	}
	known, err := cbor.Marshal(fields[:deliveryFields])
	if err != nil {
		return err
	}
	var r refusingDelivery
	if err := cbor.Unmarshal(known, &r); err != nil {
		return err
	}
	*d = Delivery{
		Leader: r.Leader, LastRenewal: r.LastRenewal, Span: r.Span, Jobs: r.Jobs, End: r.End, Role: r.Role,
		Machines: r.Machines, CutOff: r.CutOff, Refused: r.Refused,
	}
	return nil
}

// Deliver handles a delivery of job summaries from the leader.
func (h *Handler) Deliver(d *Delivery, reply *DeliveryAnswer) error {
	reply.Epoch = h.Elector.ObserveLeader(d.Leader)
	if reply.Epoch != d.Leader.Epoch {
		return nil // a former leader, whose delivery may be outdated
	}
	h.Elector.ObserveRenewal(d.Leader.Epoch, d.LastRenewal)
	if h.SetLeaderCutOff != nil {
		h.SetLeaderCutOff(d.CutOff)
	}
	h.Peers.AddKnown(d.Machines)
	switch d.Role {
	case Standby:
		h.Receiver.KeepContent()
	case Follower:
		h.Receiver.DropContent()
	}
	jobs, readable := d.Jobs.Unpack()
	if !readable {
		return errors.New("assist: job summaries of an unsupported version")
	}
	reply.Position = h.Receiver.Deliver(d.Span, jobs, d.End)
	h.setRefused(d, reply.Position)
	reply.ContentPosition, reply.HasContent = h.Receiver.ContentPosition()
	return nil
}

// setRefused passes on what the leader refuses. A machine that doesn't know all jobs up to the end that
// the leader knew refuses nothing by the list: a job that was accepted before could be submitted again.
func (h *Handler) setRefused(d *Delivery, position platform.Offset) {
	if h.SetRefused == nil {
		return
	}
	news := d.Refused
	if position < d.End {
		news = nil
	}
	h.SetRefused(d.Leader.Epoch, news)
}

// refusedFieldRetry is the time after which a machine that has refused Delivery.Refused is sent it again:
// it may have been restarted with another build.
const refusedFieldRetry = 30 * time.Second

// knowsRefused reports whether a machine may be sent Delivery.Refused.
func (p *Publisher) knowsRefused(node api.NodeID, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.target(node)
	return t.refusedFieldAt.IsZero() || now.Sub(t.refusedFieldAt) >= refusedFieldRetry
}

// callDeliver makes a delivery. If a machine takes it only without Refused, it gets no such field for a
// while.
func (p *Publisher) callDeliver(ctx context.Context, m Attachment, d Delivery) (DeliveryAnswer, bool) {
	answer, err := p.callOnce(ctx, p.cfg.Caller, m, methodDeliver, d.wireForm())
	if !errors.Is(err, peer.ErrNotSent) || d.Refused == nil {
		return answer, err == nil
	}
	d.Refused = nil
	answer, err = p.callOnce(ctx, p.cfg.Caller, m, methodDeliver, &d)
	if err == nil {
		p.cfg.Logger.WithField("machine", m.Node).Info("machine's build takes no list of refused queues")
		p.mu.Lock()
		p.target(m.Node).refusedFieldAt = time.Now()
		p.mu.Unlock()
	}
	return answer, err == nil
}

func (p *Publisher) deliver(ctx context.Context, m Attachment, d Delivery) {
	ctx, cancel := context.WithTimeout(ctx, deliveryTimeout)
	defer cancel()
	answer, ok := p.callDeliver(ctx, m, d)
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
