package entry

import (
	"context"
	"errors"
	"fmt"
	"net/netip"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/filter"
	"github.com/skylarklock/skylarklock/internal/member"
	"github.com/skylarklock/skylarklock/internal/ownership"
	"github.com/skylarklock/skylarklock/internal/peer"
)

// peerAdapter connects the filter chain to other entry VMs. Entry VMs of other data
// centres are identified by the address of their peer service.
type peerAdapter struct {
	self           api.NodeID
	address        string // of this node's own peer service
	members        *member.Service
	ownershipState *ownership.StateMachine
	client         *peer.Client
	counters       filter.Counters
}

// counterHandover is the counter group of handovers. The reason is one of the three
// below, or that of the peer's refusal.
const (
	counterHandover             = "handover"
	reasonAnswered   api.Reason = "answered"
	reasonNoReply    api.Reason = "no_reply"
	reasonNotReached api.Reason = "not_reached"
)

// Candidates implements filter.Peers.
func (p peerAdapter) Candidates(service string) []filter.PeerLoad {
	var loads []filter.PeerLoad
	for _, c := range p.members.Candidates(service) {
		loads = append(loads, filter.PeerLoad{Node: c.Node, FreeSlots: c.Free})
	}
	return loads
}

// EntryVMs implements filter.Peers.
func (p peerAdapter) EntryVMs(dc api.DataCentre) []api.NodeID {
	var nodes []api.NodeID
	for _, address := range p.members.EntryAddresses(dc) {
		if address != p.address {
			nodes = append(nodes, api.NodeID(address))
		}
	}
	return nodes
}

// Forward implements filter.Peers.
func (p peerAdapter) Forward(ctx context.Context, node api.NodeID, req *filter.ForwardRequest) (*filter.ForwardReply, error) {
	reply := new(filter.ForwardReply)
	err := p.call(ctx, node, methodForward, req, reply)
	p.counters.Inc(counterHandover, handoverReason(reply, err))
	if err != nil {
		return nil, err
	}
	return reply, nil
}

func handoverReason(reply *filter.ForwardReply, err error) api.Reason {
	var failed *filter.PeerError
	switch {
	case errors.As(err, &failed) && !failed.Sent:
		return reasonNotReached
	case err != nil:
		return reasonNoReply
	case reply.Refusal != nil:
		return reply.Refusal.Reason
	}
	return reasonAnswered
}

// AnswerOf implements filter.Peers.
func (p peerAdapter) AnswerOf(ctx context.Context, node api.NodeID, query *filter.AnswerQuery) (*filter.AnswerReply, error) {
	reply := new(filter.AnswerReply)
	if err := p.call(ctx, node, methodAnswerOf, query, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

func (p peerAdapter) call(ctx context.Context, node api.NodeID, method string, args, reply any) error {
	address, err := p.addressOf(node)
	if err != nil {
		return &filter.PeerError{Node: node, Cause: err}
	}
	if err := p.client.Call(ctx, address, method, args, reply); err != nil {
		return &filter.PeerError{Node: node, Sent: !certainlyNotRun(err), Cause: err}
	}
	return nil
}

// certainlyNotRun reports whether a failed call certainly had no effect on the
// peer.
func certainlyNotRun(err error) bool {
	var remote *peer.RemoteError
	if errors.As(err, &remote) {
		return remote.Text == errHandoversRefused.Error()
	}
	return errors.Is(err, peer.ErrNotSent)
}

// addressOf returns the peer address of a member of the roster, or of an entry VM
// that is identified by its address.
func (p peerAdapter) addressOf(node api.NodeID) (string, error) {
	if m, ok := p.ownershipState.Member(node); ok {
		return m.Address, nil
	}
	if _, err := netip.ParseAddrPort(string(node)); err == nil {
		return string(node), nil
	}
	return "", fmt.Errorf("no address of %s", node)
}
