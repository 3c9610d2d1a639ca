// Package assist is what the machines of a cell do for its leader: they make
// calls to the advice service, which answers one call of a machine at a time,
// so that a single machine could not ask for a whole cell.
//
// Each machine attaches to the leader again and again; the leader then hands
// it calls to make.
package assist

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// ServiceName is the name to register a Handler under.
const ServiceName = "Assist"

// Methods of the peer service.
const (
	methodAttach = ServiceName + ".Attach"
	methodAdvise = ServiceName + ".Advise"
)

// Caller calls a peer once; *peer.Client is one.
type Caller interface {
	Call(ctx context.Context, addr, method string, args, reply any) error
}

// Attachment offers a machine's help to the leader.
type Attachment struct {
	_       struct{} `cbor:",toarray"`
	Node    api.NodeID
	Address string // of its peer service
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
	_      struct{} `cbor:",toarray"`
	Grants []platform.Grant
	Valid  time.Duration
}

// Handler answers peers' calls.
type Handler struct {
	Leads   func() api.Epoch // 0: this machine doesn't lead
	Helpers *Helpers
	Adviser platform.Adviser
	Longest time.Duration // bound of a call to the advice service
}

// Attach takes in a machine's offer.
func (h *Handler) Attach(a *Attachment, reply *AttachAnswer) error {
	reply.Epoch = h.Leads()
	if reply.Epoch != 0 {
		h.Helpers.Attached(*a, time.Now())
	}
	return nil
}

// Advise makes a call to the advice service.
func (h *Handler) Advise(request *AdviceRequest, reply *AdviceAnswer) error {
	if h.Adviser == nil {
		return errors.New("assist: this machine knows no advice service")
	}
	ctx, cancel := context.WithTimeout(context.Background(), h.Longest)
	defer cancel()
	grants, valid, err := h.Adviser.Advise(ctx, request.Step, request.Executors)
	reply.Grants = grants
	reply.Valid = valid
	return err
}

// Attach offers the help of this machine to the leader at an address and
// returns the epoch that it says it leads.
func Attach(ctx context.Context, c Caller, leader string, a Attachment) (api.Epoch, error) {
	var answer AttachAnswer
	err := c.Call(ctx, leader, methodAttach, &a, &answer)
	return answer.Epoch, err
}
