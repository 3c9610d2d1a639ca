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
	heartbeatEvery = 100 * time.Millisecond
	heartbeatsFor  = time.Second
	// grantsHold is in proportion to heartbeatEvery as the default settings
	// have it.
	grantsHold = 6 * heartbeatEvery
)

// granter asks for grants while cut is set: the log is out of reach.
type granter struct {
	who ownership.Identity
	cut *atomic.Bool
}

// GrantRequest implements member.Granter.
func (g granter) GrantRequest() ownership.GrantRequest {
	return ownership.GrantRequest{Process: g.who, Version: 1000}
}

// NeedsGrants implements member.Granter.
func (g granter) NeedsGrants(time.Time) bool { return g.cut.Load() }

// HandleGrantRequest implements member.Granter.
func (granter) HandleGrantRequest(ownership.GrantRequest, time.Time) bool { return true }

// RecordGrant implements member.Granter.
func (granter) RecordGrant(ownership.Identity, time.Time) {}

func quietLog() *logrus.Logger {
	return logging.Nop().Logger
}

// speaker is one entry VM's part of the heartbeats.
type speaker struct {
	service  *member.Service
	client   *peer.Client
	server   *peer.Server
	listener net.Listener
}

// newSpeakers opens the listeners of a roster and makes the services.
func newSpeakers(members int, cut *atomic.Bool) ([]*speaker, error) {
	roster := make([]ownership.Member, members)
	speakers := make([]*speaker, members)
	for i := range speakers {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			closeSpeakers(speakers[:i])
			return nil, errors.Wrap(err, "heartbeats")
		}
		roster[i] = ownership.Member{Process: identity(i), Address: l.Addr().String()}
		speakers[i] = newSpeaker(i, l, cut, func() []ownership.Member { return roster })
	}
	return speakers, nil
}

func newSpeaker(i int, l net.Listener, cut *atomic.Bool, roster func() []ownership.Member) *speaker {
	log := logrus.NewEntry(quietLog())
	s := &speaker{listener: l, client: peer.NewClient(peer.DefaultLimits(), nil), server: peer.NewServer(peer.DefaultLimits(), log)}
	s.service = member.New(member.Config{
		Self: identity(i), DataCentre: "dc-a", Address: l.Addr().String(),
		Timing: member.Timing{Heartbeat: heartbeatEvery}, Hold: grantsHold, Caller: s.client, Roster: roster,
		Applied:   func() platform.Offset { return 100_000 },
		FreeSlots: func() []member.ServiceFree { return []member.ServiceFree{{Service: "torquebench", Free: 44}} },
		Random:    rand.New(rand.NewPCG(1, uint64(i))),
	})
	s.service.Bind(granter{identity(i), cut})
	return s
}

func closeSpeakers(speakers []*speaker) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	for _, s := range speakers {
		s.client.Close()
		_ = s.server.Shutdown(ended)
		_ = s.listener.Close()
	}
}

// round is the cost of one heartbeat round at one entry VM, the answers that
// it gives included.
type round struct {
	bytes float64 // sent by it
	time  float64 // processor time, us
}

// rounds are those with the log within and out of reach.
type rounds struct{ normal, cut round }

func heartbeatRounds(members int) (rounds, error) {
	var cut atomic.Bool
	speakers, err := newSpeakers(members, &cut)
	if err != nil {
		return rounds{}, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer func() {
		cancel()
		running.Wait()
		closeSpeakers(speakers)
	}()
	for _, s := range speakers {
		if err := s.server.Register(member.ServiceName, s.service.Handler()); err != nil {
			return rounds{}, err
		}
		go func() { _ = s.server.Serve(s.listener) }() // ends with closeSpeakers
		running.Go(func() { _ = s.service.Run(ctx) })
	}
	time.Sleep(heartbeatsFor / 3) // most connections are made
	normal, err := roundUsage(members)
	if err != nil {
		return rounds{}, err
	}
	cut.Store(true)
	time.Sleep(heartbeatsFor / 3) // the connections that lack are made
	without, err := roundUsage(members)
	return rounds{normal: normal, cut: without}, err
}

// roundUsage returns what the rounds from now on cost.
func roundUsage(members int) (round, error) {
	bytes, seconds, err := usage(heartbeatsFor)
	count := float64(members) * heartbeatsFor.Seconds() / heartbeatEvery.Seconds()
	return round{bytes: bytes / count, time: seconds * microseconds / count}, err
}

// usage returns the bytes written and the processor time used in a while.
func usage(while time.Duration) (bytes, seconds float64, err error) {
	wroteBefore, err := writtenBytes()
	if err != nil {
		return 0, 0, err
	}
	before := processorSeconds()
	time.Sleep(while)
	seconds = processorSeconds() - before
	wrote, err := writtenBytes()
	return wrote - wroteBefore, seconds, err
}

func heartbeats() []Measurement {
	both := newMemo(heartbeatRounds)
	x := "entry VMs in the roster"
	return []Measurement{
		{Name: "heartbeat_bytes", XLabel: x, YLabel: "bytes sent in a round by one entry VM", Sizes: rosterSizes, Run: both.read(func(r rounds) float64 { return r.normal.bytes })},
		{Name: "heartbeat_time", XLabel: x, YLabel: "processor time of a round at one entry VM, us", Sizes: rosterSizes, Run: both.read(func(r rounds) float64 { return r.normal.time })},
		{Name: "heartbeat_cut_bytes", XLabel: x + ", the log out of reach", YLabel: "bytes sent in a round by one entry VM", Sizes: rosterSizes, Run: both.read(func(r rounds) float64 { return r.cut.bytes })},
		{Name: "heartbeat_cut_time", XLabel: x + ", the log out of reach", YLabel: "processor time of a round at one entry VM, us", Sizes: rosterSizes, Run: both.read(func(r rounds) float64 { return r.cut.time })},
	}
}
