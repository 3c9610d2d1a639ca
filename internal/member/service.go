package member

import (
	"context"
	"expvar"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/defaults"
	"github.com/skylarklock/skylarklock/internal/ownership"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// ServiceName is the name under which Service.Handler is registered.
const ServiceName = "M"

// Methods of the peer service.
const (
	methodExchange = ServiceName + ".Exchange"
	methodContacts = ServiceName + ".Contacts"
)

// maxAgesInRequest is the size of the largest roster whose ages are sent in both
// directions of an exchange. For a larger one only the reply carries them, which halves
// their cost; signs of life then spread to the processes that start exchanges.
const maxAgesInRequest = 32

// contactRounds is the number of rounds between two exchanges of contacts.
const contactRounds = 16

// initialContactRounds is the number of rounds after the start in each of which contacts
// are exchanged, because a process that has just started knows no other.
const initialContactRounds = 16

// Caller makes a single call to a peer. *peer.Client implements it.
type Caller interface {
	Call(ctx context.Context, addr, method string, args, reply any) error
}

// Granter asks for and gives grants. *ownership.Controller implements it.
type Granter interface {
	GrantRequest() ownership.GrantRequest
	NeedsGrants(now time.Time) bool
	HandleGrantRequest(ask ownership.GrantRequest, now time.Time) bool
	RecordGrant(from ownership.Identity, started time.Time)
}

// Config holds the settings and dependencies of a Service.
type Config struct {
	Self       ownership.Identity
	DataCentre api.DataCentre
	Address    string   // IP:port of this process's peer service
	Seeds      []string // peer addresses from the settings, of any data centre
	Timing     Timing   // zero fields mean their defaults
	Hold       time.Duration

	Caller     Caller
	Roster     func() []ownership.Member // ordered by node
	Applied    func() platform.Offset
	FreeSlots  func() []ServiceFree // nil: none
	IsDraining func() bool          // nil: never

	Random *rand.Rand       // used under the service's lock only
	Now    func() time.Time // nil means time.Now
}

// withDefaults returns c with defaults for zero fields.
func (c Config) withDefaults() Config {
	c.Timing = c.Timing.withDefaults()
	defaults.Set(&c.Hold, ownership.DefaultHoldDuration)
	if c.FreeSlots == nil {
		c.FreeSlots = func() []ServiceFree { return nil }
	}
	if c.IsDraining == nil {
		c.IsDraining = func() bool { return false }
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return c
}

// Service sends and answers heartbeats.
type Service struct {
	cfg     Config
	granter Granter
	vars    *expvar.Map

	mu           sync.Mutex
	liveness     *Liveness
	contacts     *contacts
	lookupMissed atomic.Bool     // EntryAddresses found no address in a data centre
	inProgress   map[string]bool // addresses with an exchange in progress
	lastExchange uint64
}

// New returns a service. Bind must be called before Run and Handler.
func New(cfg Config) *Service {
	cfg = cfg.withDefaults()
	return &Service{
		cfg:        cfg,
		vars:       new(expvar.Map).Init(),
		liveness:   NewLiveness(cfg.Timing, cfg.Self),
		contacts:   newContacts(Contact{DataCentre: cfg.DataCentre, Address: cfg.Address}),
		inProgress: make(map[string]bool),
	}
}

// Bind sets the Granter.
func (s *Service) Bind(g Granter) { s.granter = g }

// Vars returns the counters of exchanges, failures and grants.
func (s *Service) Vars() *expvar.Map { return s.vars }

// Run sends heartbeats until ctx ends and returns the context's error.
func (s *Service) Run(ctx context.Context) error {
	var exchanges sync.WaitGroup
	defer exchanges.Wait()
	ticker := time.NewTicker(s.cfg.Timing.Heartbeat)
	defer ticker.Stop()
	for round := 0; ; round++ {
		for _, m := range s.startRound() {
			exchanges.Go(func() { s.exchangeWith(ctx, m) })
		}
		if s.contactsDue(round) {
			exchanges.Go(func() { s.exchangeContacts(ctx) })
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// contactsDue reports whether contacts are exchanged in a round: in each of the first
// rounds, after a lookup that found no address, and otherwise every contactRounds.
func (s *Service) contactsDue(round int) bool {
	lookupMissed := s.lookupMissed.Swap(false)
	return lookupMissed || round < initialContactRounds || round%contactRounds == 0
}

// startRound starts a round and returns the members to exchange heartbeats with, except
// those with which an exchange is in progress.
func (s *Service) startRound() []ownership.Member {
	now := s.cfg.Now()
	roster := s.cfg.Roster()
	grants := s.granter.NeedsGrants(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.liveness.SetRoster(roster, now)
	s.liveness.Tick(now)
	var targets []ownership.Member
	for _, m := range s.liveness.Targets(now, s.cfg.Random, grants, s.grantRenewalAge()) {
		if !s.inProgress[m.Address] {
			s.inProgress[m.Address] = true
			targets = append(targets, m)
		}
	}
	return targets
}

// grantRenewalAge returns the age from which a grant is renewed. It leaves time for a
// second attempt.
func (s *Service) grantRenewalAge() time.Duration { return s.cfg.Hold / 2 }

// callTimeout returns the timeout of one exchange. A longer exchange would be useless: a
// grant has no value after the hold time, and the peer would be suspected earlier.
func (s *Service) callTimeout() time.Duration { return s.cfg.Hold / 3 }

// exchangeWith exchanges heartbeats with m once.
func (s *Service) exchangeWith(ctx context.Context, m ownership.Member) {
	ctx, cancel := context.WithTimeout(ctx, s.callTimeout())
	defer cancel()
	started := s.cfg.Now()
	request := Request{Exchange: s.nextExchange(), Digest: s.digest(started)}
	if len(request.Digest.Ages) > maxAgesInRequest {
		request.Digest.Ages = nil
	}
	var reply Reply
	err := s.cfg.Caller.Call(ctx, m.Address, methodExchange, &request, &reply)
	s.mu.Lock()
	delete(s.inProgress, m.Address)
	s.mu.Unlock()
	if err != nil {
		s.vars.Add("exchange_failures", 1)
		return
	}
	s.vars.Add("exchanges", 1)
	if reply.Exchange != request.Exchange || reply.Digest.Ask.Process != m.Process {
		s.vars.Add("exchange_mismatches", 1)
		return
	}
	s.applyReply(request, reply, started)
}

// applyReply applies the reply of an exchange.
func (s *Service) applyReply(request Request, reply Reply, started time.Time) {
	granted := reply.Granted && request.Digest.Flags&flagWantsGrant != 0
	s.mu.Lock()
	s.liveness.ObserveDigest(reply.Digest, s.cfg.Now())
	if granted {
		s.liveness.RecordGrant(reply.Digest.Ask.Process, started)
	}
	s.mu.Unlock()
	if granted {
		s.vars.Add("grants_received", 1)
		s.granter.RecordGrant(reply.Digest.Ask.Process, started)
	}
}

// nextExchange returns the number of the next exchange that this process starts.
func (s *Service) nextExchange() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastExchange++
	return s.lastExchange
}

// digest returns this process's digest at now.
func (s *Service) digest(now time.Time) Digest {
	d := Digest{Ask: s.granter.GrantRequest(), Applied: s.cfg.Applied(), Free: s.cfg.FreeSlots()}
	d.Free = d.Free[:min(len(d.Free), MaxServices)]
	if s.cfg.IsDraining() {
		d.Flags |= flagDraining
	}
	if s.granter.NeedsGrants(now) {
		d.Flags |= flagWantsGrant
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	d.Roster = s.liveness.rosterFingerprint
	d.Ages = s.liveness.Ages(now)
	return d
}

// Health returns the health of every other member at now.
func (s *Service) Health(now time.Time) map[api.NodeID]ownership.Health {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.liveness.Health(now)
}

// Candidates returns the members that last reported free slots for a service, the one
// with the most slots first.
func (s *Service) Candidates(service string) []PeerLoad {
	now := s.cfg.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.liveness.Candidates(service, now)
}

// EntryAddresses returns the known peer addresses in a data centre, the most recently
// seen first. For this process's data centre they include entry VMs that may be
// missing from the roster.
func (s *Service) EntryAddresses(dc api.DataCentre) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	addresses := s.contacts.addressesIn(dc)
	if len(addresses) == 0 {
		s.lookupMissed.Store(true)
	}
	return addresses
}
