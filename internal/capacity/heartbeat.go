package capacity

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/internal/logging"
	"github.com/skylarklock/skylarklock/internal/member"
	"github.com/skylarklock/skylarklock/internal/ownership"
	"github.com/skylarklock/skylarklock/internal/peer"
	"github.com/skylarklock/skylarklock/internal/platform"
)

const (
	heartbeatInterval = 100 * time.Millisecond
	heartbeatDuration = time.Second
	// grantHold has the same ratio to the heartbeat interval as in the default
	// settings.
	grantHold = 6 * heartbeatInterval
)

// granter requests grants while logUnreachable is set.
type granter struct {
	self           ownership.Identity
	logUnreachable *atomic.Bool
}

// GrantRequest implements member.Granter.
func (g granter) GrantRequest() ownership.GrantRequest {
	return ownership.GrantRequest{Process: g.self, Version: 1000}
}

// NeedsGrants implements member.Granter.
func (g granter) NeedsGrants(time.Time) bool { return g.logUnreachable.Load() }

// HandleGrantRequest implements member.Granter.
func (granter) HandleGrantRequest(ownership.GrantRequest, time.Time) bool { return true }

// RecordGrant implements member.Granter.
func (granter) RecordGrant(ownership.Identity, time.Time) {}

// nopLogger returns a logger that discards everything.
func nopLogger() *logrus.Logger {
	return logging.Nop().Logger
}

// heartbeatNode is the part of an entry VM that exchanges heartbeats.
type heartbeatNode struct {
	service  *member.Service
	client   *peer.Client
	server   *peer.Server
	listener net.Listener
}

// newHeartbeatNodes opens the listeners of all members of a roster and creates
// their nodes.
func newHeartbeatNodes(members int, logUnreachable *atomic.Bool) ([]*heartbeatNode, error) {
	roster := make([]ownership.Member, members)
	nodes := make([]*heartbeatNode, members)
	for i := range nodes {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			closeHeartbeatNodes(nodes[:i])
			return nil, errors.Wrap(err, "heartbeats")
		}
		roster[i] = ownership.Member{Process: identity(i), Address: l.Addr().String()}
		nodes[i] = newHeartbeatNode(i, l, logUnreachable, func() []ownership.Member { return roster })
	}
	return nodes, nil
}

func newHeartbeatNode(i int, l net.Listener, logUnreachable *atomic.Bool, roster func() []ownership.Member) *heartbeatNode {
	log := logrus.NewEntry(nopLogger())
	n := &heartbeatNode{listener: l, client: peer.NewClient(peer.DefaultLimits(), nil), server: peer.NewServer(peer.DefaultLimits(), log)}
	n.service = member.New(member.Config{
		Self: identity(i), DataCentre: "dc-a", Address: l.Addr().String(),
		Timing: member.Timing{Heartbeat: heartbeatInterval}, Hold: grantHold, Caller: n.client, Roster: roster,
		Applied:   func() platform.Offset { return 100_000 },
		FreeSlots: func() []member.ServiceFree { return []member.ServiceFree{{Service: "torquebench", Free: 44}} },
		Random:    rand.New(rand.NewPCG(1, uint64(i))),
	})
	n.service.Bind(granter{identity(i), logUnreachable})
	return n
}

func closeHeartbeatNodes(nodes []*heartbeatNode) {
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	for _, n := range nodes {
		n.client.Close()
		_ = n.server.Shutdown(cancelled)
		_ = n.listener.Close()
	}
}

// roundCost is the cost of one heartbeat round at one entry VM, including its
// answers to the others.
type roundCost struct {
	bytes     float64 // bytes sent by the entry VM
	cpuMicros float64 // processor time
}

// roundCosts are the costs of a round while the log is reachable and while it is
// not.
type roundCosts struct{ normal, logUnreachable roundCost }

// measureHeartbeats measures the heartbeat rounds of a roster of members.
func measureHeartbeats(members int) (roundCosts, error) {
	var logUnreachable atomic.Bool
	nodes, err := newHeartbeatNodes(members, &logUnreachable)
	if err != nil {
		return roundCosts{}, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer func() {
		cancel()
		running.Wait()
		closeHeartbeatNodes(nodes)
	}()
	for _, n := range nodes {
		if err := n.server.Register(member.ServiceName, n.service.Handler()); err != nil {
			return roundCosts{}, err
		}
		go func() { _ = n.server.Serve(n.listener) }() // ends with closeHeartbeatNodes
		running.Go(func() { _ = n.service.Run(ctx) })
	}
	time.Sleep(heartbeatDuration / 3) // until most connections are open
	normal, err := measureRound(members)
	if err != nil {
		return roundCosts{}, err
	}
	logUnreachable.Store(true)
	time.Sleep(heartbeatDuration / 3) // until the missing connections are open
	unreachable, err := measureRound(members)
	return roundCosts{normal: normal, logUnreachable: unreachable}, err
}

// measureRound returns the average cost of a round over heartbeatDuration.
func measureRound(members int) (roundCost, error) {
	bytes, seconds, err := measureUsage(heartbeatDuration)
	count := float64(members) * heartbeatDuration.Seconds() / heartbeatInterval.Seconds()
	return roundCost{bytes: bytes / count, cpuMicros: seconds * microsPerSecond / count}, err
}

// measureUsage returns the bytes written and the processor seconds used by this
// process over a duration.
func measureUsage(duration time.Duration) (bytes, seconds float64, err error) {
	bytesBefore, err := writtenBytes()
	if err != nil {
		return 0, 0, err
	}
	secondsBefore := cpuSeconds()
	time.Sleep(duration)
	seconds = cpuSeconds() - secondsBefore
	bytesAfter, err := writtenBytes()
	return bytesAfter - bytesBefore, seconds, err
}

func heartbeatMeasurements() []Measurement {
	cache := newRunCache(measureHeartbeats)
	xLabel := "entry VMs in the roster"
	return []Measurement{
		{Name: "heartbeat_bytes", XLabel: xLabel, YLabel: "bytes sent in a round by one entry VM", Sizes: rosterSizes, Run: cache.costFunc(func(r roundCosts) float64 { return r.normal.bytes })},
		{Name: "heartbeat_time", XLabel: xLabel, YLabel: "processor time of a round at one entry VM, us", Sizes: rosterSizes, Run: cache.costFunc(func(r roundCosts) float64 { return r.normal.cpuMicros })},
		{Name: "heartbeat_cut_bytes", XLabel: xLabel + ", the log out of reach", YLabel: "bytes sent in a round by one entry VM", Sizes: rosterSizes, Run: cache.costFunc(func(r roundCosts) float64 { return r.logUnreachable.bytes })},
		{Name: "heartbeat_cut_time", XLabel: xLabel + ", the log out of reach", YLabel: "processor time of a round at one entry VM, us", Sizes: rosterSizes, Run: cache.costFunc(func(r roundCosts) float64 { return r.logUnreachable.cpuMicros })},
	}
}
