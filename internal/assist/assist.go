// Package assist is what the machines of a cell and its leader do for each
// other. The machines make calls to the advice service, which answers one call
// of a machine at a time, so that a single machine could not ask for a whole
// cell. The leader stores what clients hand in at the machines together with
// its own records, in one append, and delivers to them what was stored.
//
// Each machine attaches to the leader again and again; the leader then hands
// it calls to make and records.
package assist

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/leader"
	"github.com/skylarklock/skylarklock/internal/peer"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/replica"
	"github.com/skylarklock/skylarklock/internal/work"
)

// ServiceName is the name to register a Handler under.
const ServiceName = "Assist"

// Methods of the peer service.
const (
	methodAttach  = ServiceName + ".Attach"
	methodAdvise  = ServiceName + ".Advise"
	methodStore   = ServiceName + ".Store"
	methodDeliver = ServiceName + ".Deliver"
	methodContent = ServiceName + ".Content"
	methodOrders  = ServiceName + ".Orders"
	methodSync    = ServiceName + ".Sync"
	methodInvite  = ServiceName + ".Invite"
)

// Caller calls a peer once; *peer.Client is one.
type Caller interface {
	Call(ctx context.Context, addr, method string, args, reply any) error
}

// Attachment offers a machine's help to the leader.
type Attachment struct {
	_          struct{} `cbor:",toarray"`
	Node       api.NodeID
	Address    string // of its peer service
	DataCentre api.DataCentre
	Fitness    float64 // processors with which the machine could lead; 0: it couldn't now
	HasContent bool    // it keeps the content of all records, without which it can't lead
}

// AttachAnswer tells which epoch the asked machine leads; 0: it leads none.
type AttachAnswer struct {
	_     struct{} `cbor:",toarray"`
	Epoch api.Epoch
}

// AdviceRequest asks a machine to make one call to the advice service.
type AdviceRequest struct {
	_         struct{} `cbor:",toarray"`
	Step      work.StepKey
	Executors []string
}

// AdviceAnswer is what the advice service said.
type AdviceAnswer struct {
	_        struct{} `cbor:",toarray"`
	Grants   []platform.Grant
	ValidFor time.Duration
}

// Record is a record of the cell's partition between two processes.
type Record struct {
	_     struct{} `cbor:",toarray"`
	Key   string
	Value []byte
}

// StoreRequest asks the leader to store records.
type StoreRequest struct {
	_       struct{} `cbor:",toarray"`
	Records []Record
}

// StoreOutcome says what became of records.
type StoreOutcome uint8

// Outcomes of storing.
const (
	StoreUnknown StoreOutcome = iota // they may be stored, or may come to be
	Stored
	NotStored // and never will be
	NotLeader // the asked machine doesn't lead; it did nothing
	TooBusy   // not stored: the job could not be of use in time
)

// StoreResult is what became of one record.
type StoreResult struct {
	_          struct{} `cbor:",toarray"`
	Outcome    StoreOutcome
	RetryAfter time.Duration // with TooBusy: when to come back
}

// UniformResults returns the same result for n records.
func UniformResults(outcome StoreOutcome, n int) []StoreResult {
	results := make([]StoreResult, n)
	for i := range results {
		results[i].Outcome = outcome
	}
	return results
}

// StoreAnswer tells what became of each record.
type StoreAnswer struct {
	_       struct{} `cbor:",toarray"`
	Results []StoreResult
}

// Delivery brings the states of jobs to a machine, in the order of the partition,
// and tells it who leads: one that can't reach the store learns it only so.
type Delivery struct {
	_           struct{} `cbor:",toarray"`
	Leader      leader.Leader
	LastRenewal leader.Renewal  // the leader's last that was confirmed
	Span        replica.Span    // of the records whose news these are
	Jobs        work.Summaries  // of all jobs that they changed
	End         platform.Offset // of the partition as far as the leader knows
	Role        Role            // what this machine should keep
	Machines    []Attachment    // for standbys: those that the leader delivers to; empty: as before
	CutOff      bool            // the leader reaches neither the store nor another data centre
}

// DeliveryAnswer tells up to where the machine knows the partition, and the
// highest epoch that it has heard of.
type DeliveryAnswer struct {
	_               struct{}        `cbor:",toarray"`
	Position        platform.Offset // up to where it knows the states of jobs
	ContentPosition platform.Offset // up to where it keeps the content of records
	HasContent      bool            // it keeps the content at all
	Epoch           api.Epoch
}

// SyncRequest asks the leader to read what the store holds.
type SyncRequest struct {
	_ struct{} `cbor:",toarray"`
}

// SyncAnswer tells where the cell's partition ends.
type SyncAnswer struct {
	_   struct{} `cbor:",toarray"`
	End platform.Offset
}

// Storer stores records as the leader, and tells what became of each;
// *dispatch.Runner is one.
type Storer interface {
	Store(ctx context.Context, records []platform.Record) []StoreResult
}

// Receiver takes in deliveries; *replica.Reader is one.
type Receiver interface {
	// Deliver takes in the news of a span of a partition that ends somewhere.
	Deliver(span replica.Span, jobs []work.Summary, end platform.Offset) platform.Offset
	// DeliverContent takes in the content of records of a span.
	DeliverContent(span replica.Span, records []platform.Record)
	// ContentPosition returns up to where the content of records is kept, and whether
	// it is kept at all.
	ContentPosition() (platform.Offset, bool)
	// KeepContent has the content of records kept, Shed dropped.
	KeepContent()
	DropContent()
	Sync(ctx context.Context) error
	Position() platform.Offset
}

// Elector knows who leads; *leader.Elector is one.
type Elector interface {
	// ObserveLeader takes in who leads and returns the highest epoch known.
	ObserveLeader(l leader.Leader) api.Epoch
	// ObserveRenewal takes in the leader's last confirmed renewal.
	ObserveRenewal(epoch api.Epoch, r leader.Renewal)
	// Invite has this process claim the cell after a leader that has stepped down.
	Invite(i leader.Invitation)
}

// Handler answers peers' calls.
type Handler struct {
	LeadingEpoch    func() api.Epoch // 0: this machine doesn't lead
	Storer          func() Storer    // nil: this machine doesn't lead
	Receiver        Receiver
	Elector         Elector
	SetLeaderCutOff func(cut bool) // takes in whether the leader is cut off; nil: nobody asks
	Peers           *Peers
	Adviser         platform.Adviser
	Executors       platform.Executors
	CallTimeout     time.Duration // bound of a call to the advice service or the store
}

// InviteAnswer says nothing.
type InviteAnswer struct {
	_ struct{} `cbor:",toarray"`
}

// Invite takes in that the leader has stepped down and that this machine should follow it.
func (h *Handler) Invite(i *leader.Invitation, _ *InviteAnswer) error {
	h.Elector.Invite(*i)
	return nil
}

// Store stores records for another machine.
func (h *Handler) Store(request *StoreRequest, reply *StoreAnswer) error {
	storer := h.Storer()
	if storer == nil {
		reply.Results = UniformResults(NotLeader, len(request.Records))
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), h.CallTimeout)
	defer cancel()
	reply.Results = storer.Store(ctx, unpack(request.Records))
	return nil
}

// Deliver takes in records from the leader.
func (h *Handler) Deliver(d *Delivery, reply *DeliveryAnswer) error {
	reply.Epoch = h.Elector.ObserveLeader(d.Leader)
	if reply.Epoch != d.Leader.Epoch {
		return nil // a former leader; what it brings may be behind
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
		return errors.New("assist: news of another version")
	}
	reply.Position = h.Receiver.Deliver(d.Span, jobs, d.End)
	reply.ContentPosition, reply.HasContent = h.Receiver.ContentPosition()
	return nil
}

// Content takes in the content of records from the leader.
func (h *Handler) Content(c *ContentDelivery, reply *DeliveryAnswer) error {
	reply.Epoch = h.Elector.ObserveLeader(c.Leader)
	if reply.Epoch != c.Leader.Epoch {
		return nil // a former leader; what it brings may be behind
	}
	h.Receiver.DeliverContent(c.Span, unpackContent(c.Records))
	reply.Position = h.Receiver.Position()
	reply.ContentPosition, reply.HasContent = h.Receiver.ContentPosition()
	return nil
}

// Sync reads what the store holds and tells where the partition ends.
func (h *Handler) Sync(_ *SyncRequest, reply *SyncAnswer) error {
	if h.LeadingEpoch() == 0 {
		return errors.New("assist: this machine doesn't lead")
	}
	ctx, cancel := context.WithTimeout(context.Background(), h.CallTimeout)
	defer cancel()
	err := h.Receiver.Sync(ctx)
	reply.End = h.Receiver.Position()
	return err
}

func unpack(records []Record) []platform.Record {
	out := make([]platform.Record, len(records))
	for i, r := range records {
		out[i] = platform.Record{Key: r.Key, Value: r.Value}
	}
	return out
}

func pack(records []platform.Record) []Record {
	out := make([]Record, len(records))
	for i, r := range records {
		out[i] = Record{Key: r.Key, Value: r.Value}
	}
	return out
}

// Attach takes in a machine's offer.
func (h *Handler) Attach(a *Attachment, reply *AttachAnswer) error {
	reply.Epoch = h.LeadingEpoch()
	if reply.Epoch != 0 {
		h.Peers.HandleAttachment(*a, time.Now())
	}
	return nil
}

// Advise makes a call to the advice service.
func (h *Handler) Advise(request *AdviceRequest, reply *AdviceAnswer) error {
	if h.Adviser == nil {
		return errors.New("assist: this machine knows no advice service")
	}
	ctx, cancel := context.WithTimeout(context.Background(), h.CallTimeout)
	defer cancel()
	grants, valid, err := h.Adviser.Advise(ctx, request.Step, request.Executors)
	reply.Grants = grants
	reply.ValidFor = valid
	return err
}

// Attach offers the help of this machine to the leader at an address and
// returns the epoch that it says it leads.
func Attach(ctx context.Context, c Caller, leader string, a Attachment) (api.Epoch, error) {
	var answer AttachAnswer
	err := c.Call(ctx, leader, methodAttach, &a, &answer)
	return answer.Epoch, err
}

// Store asks the leader at an address to store records and returns what became
// of each.
func Store(ctx context.Context, c Caller, leader string, records []platform.Record) []StoreResult {
	var answer StoreAnswer
	err := c.Call(ctx, leader, methodStore, &StoreRequest{Records: pack(records)}, &answer)
	switch {
	case errors.Is(err, peer.ErrNotSent):
		return UniformResults(NotLeader, len(records))
	case err != nil || len(answer.Results) != len(records):
		return UniformResults(StoreUnknown, len(records))
	default:
		return answer.Results
	}
}

// Invite asks the machine at an address to follow a leader that has stepped down.
func Invite(ctx context.Context, c Caller, address string, i leader.Invitation) error {
	return c.Call(ctx, address, methodInvite, &i, &InviteAnswer{})
}

// Sync asks the leader at an address where the cell's partition ends.
func Sync(ctx context.Context, c Caller, leader string) (platform.Offset, error) {
	var answer SyncAnswer
	err := c.Call(ctx, leader, methodSync, &SyncRequest{}, &answer)
	return answer.End, err
}
