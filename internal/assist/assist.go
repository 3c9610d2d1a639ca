// Package assist holds the calls that the machines of a cell and its leader make to each other.
// The machines make advice calls for the leader: the advice service answers one call per machine
// at a time, so a single machine could not get advice for a whole cell. The leader stores what
// clients submit at the machines together with its own records, in one append, and delivers to
// the machines what was stored.
//
// Each machine attaches to the leader periodically. The leader then gives it advice calls to make
// and delivers records to it.
package assist

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/leader"
	"github.com/skylarklock/skylarklock/internal/peer"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/queue"
	"github.com/skylarklock/skylarklock/internal/replica"
	"github.com/skylarklock/skylarklock/internal/work"
)

// ServiceName is the name under which a Handler is registered.
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

	methodConfiguration = ServiceName + ".Configuration"
)

// Caller makes calls to peers, without retries; *peer.Client implements it.
type Caller interface {
	Call(ctx context.Context, addr, method string, args, reply any) error
}

// Attachment offers a machine's capacity for advice calls and leadership to the leader.
type Attachment struct {
	_          struct{} `cbor:",toarray"`
	Node       api.NodeID
	Address    string // of the machine's peer service
	DataCentre api.DataCentre
	Fitness    float64 // processors that the machine could use as leader; 0: it cannot lead now
	HasContent bool    // the machine keeps the content of all records, which a leader needs
}

// AttachAnswer holds the epoch in which the called machine leads, or 0 if it is not the leader.
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

// AdviceAnswer is the answer of the advice service.
type AdviceAnswer struct {
	_        struct{} `cbor:",toarray"`
	Grants   []platform.Grant
	ValidFor time.Duration
}

// Record is the form in which processes exchange a record of the cell's partition.
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

// StoreOutcome is the outcome of storing a record.
type StoreOutcome uint8

// Outcomes of storing a record.
const (
	StoreUnknown StoreOutcome = iota // it may be stored now or later
	Stored
	NotStored // it is not stored and never will be
	NotLeader // the called machine is not the leader and did nothing
	TooBusy   // not stored: the job could not end in time to be of use
)

// StoreResult is the result of storing one record.
type StoreResult struct {
	_          struct{} `cbor:",toarray"`
	Outcome    StoreOutcome
	RetryAfter time.Duration // with TooBusy: delay before the client should retry
}

// UniformResults returns n results with the same outcome.
func UniformResults(outcome StoreOutcome, n int) []StoreResult {
	results := make([]StoreResult, n)
	for i := range results {
		results[i].Outcome = outcome
	}
	return results
}

// StoreAnswer holds the result for each record, in the order of the request.
type StoreAnswer struct {
	_       struct{} `cbor:",toarray"`
	Results []StoreResult
}

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

// SyncRequest asks the leader to read everything that the store holds.
type SyncRequest struct {
	_ struct{} `cbor:",toarray"`
}

// SyncAnswer holds the end of the cell's partition.
type SyncAnswer struct {
	_   struct{} `cbor:",toarray"`
	End platform.Offset
}

// Storer stores records as the leader and returns the result for each; *dispatch.Runner
// implements it.
type Storer interface {
	Store(ctx context.Context, records []platform.Record) []StoreResult
}

// Receiver applies deliveries; *replica.Reader implements it.
type Receiver interface {
	// Deliver applies the summaries of a span of a partition with the given end and returns
	// the position that the receiver has reached.
	Deliver(span replica.Span, jobs []work.Summary, end platform.Offset) platform.Offset
	// DeliverContent applies the content of the records of a span.
	DeliverContent(span replica.Span, records []platform.Record)
	// ContentPosition returns the position up to which the content of records is kept, and whether
	// all of it is kept up to there.
	ContentPosition() (platform.Offset, bool)
	// KeepContent makes the receiver keep the content of records, DropContent makes it drop
	// the content.
	KeepContent()
	DropContent()
	Sync(ctx context.Context) error
	Position() platform.Offset
	// States returns the states of a part of the jobs and the offset up to which they are known,
	// and whether the states of all jobs are known.
	States(part int) (platform.Offset, []work.Summary, bool)
}

// Elector tracks who leads the cell; *leader.Elector implements it.
type Elector interface {
	// ObserveLeader records who leads and returns the highest known epoch.
	ObserveLeader(l leader.Leader) api.Epoch
	// ObserveRenewal records the leader's last confirmed renewal.
	ObserveRenewal(epoch api.Epoch, r leader.Renewal)
	// Invite makes this process claim the cell after a leader has stepped down.
	Invite(i leader.Invitation)
}

// Handler answers the calls of peers.
type Handler struct {
	LeadingEpoch    func() api.Epoch // 0: this machine is not the leader
	Storer          func() Storer    // nil: this machine is not the leader
	Receiver        Receiver
	Elector         Elector
	SetLeaderCutOff func(cut bool) // records whether the leader is cut off; may be nil
	Peers           *Peers
	Adviser         platform.Adviser
	Executors       platform.Executors
	CallTimeout     time.Duration // limit of a call to the advice service or the store

	NewestConfiguration func(newerThan uint64) queue.Reading // what this machine knows of the configuration
}

// InviteAnswer is the empty answer to an invitation.
type InviteAnswer struct {
	_ struct{} `cbor:",toarray"`
}

// Invite handles a leader's invitation to succeed it after it has stepped down.
func (h *Handler) Invite(i *leader.Invitation, _ *InviteAnswer) error {
	h.Elector.Invite(*i)
	return nil
}

// Store stores records for another machine, if this one is the leader.
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
	reply.ContentPosition, reply.HasContent = h.Receiver.ContentPosition()
	return nil
}

// Content handles a delivery of record content from the leader.
func (h *Handler) Content(c *ContentDelivery, reply *DeliveryAnswer) error {
	reply.Epoch = h.Elector.ObserveLeader(c.Leader)
	if reply.Epoch != c.Leader.Epoch {
		return nil // a former leader, whose delivery may be outdated
	}
	h.Receiver.DeliverContent(c.Span, unpackContent(c.Records))
	reply.Position = h.Receiver.Position()
	reply.ContentPosition, reply.HasContent = h.Receiver.ContentPosition()
	return nil
}

// Sync reads everything that the store holds and returns the end of the partition.
func (h *Handler) Sync(_ *SyncRequest, reply *SyncAnswer) error {
	if h.LeadingEpoch() == 0 {
		return errors.New("assist: this machine is not the leader")
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

// Attach handles the attachment of a machine.
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
		return errors.New("assist: no advice service is configured on this machine")
	}
	ctx, cancel := context.WithTimeout(context.Background(), h.CallTimeout)
	defer cancel()
	grants, valid, err := h.Adviser.Advise(ctx, request.Step, request.Executors)
	reply.Grants = grants
	reply.ValidFor = valid
	return err
}

// Attach attaches this machine to the leader at the given address and returns the epoch in which
// the called machine leads, or 0 if it is not the leader.
func Attach(ctx context.Context, c Caller, leader string, a Attachment) (api.Epoch, error) {
	var answer AttachAnswer
	err := c.Call(ctx, leader, methodAttach, &a, &answer)
	return answer.Epoch, err
}

// Store asks the leader at the given address to store records and returns the result for each.
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

// Invite asks the machine at the given address to succeed a leader that has stepped down.
func Invite(ctx context.Context, c Caller, address string, i leader.Invitation) error {
	return c.Call(ctx, address, methodInvite, &i, &InviteAnswer{})
}

// Sync asks the leader at the given address for the end of the cell's partition.
func Sync(ctx context.Context, c Caller, leader string) (platform.Offset, error) {
	var answer SyncAnswer
	err := c.Call(ctx, leader, methodSync, &SyncRequest{}, &answer)
	return answer.End, err
}
