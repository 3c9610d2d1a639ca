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

// ServiceName is the name to register Service.Handler under.
const ServiceName = "M"

// Methods of the peer service.
const (
	methodExchange = ServiceName + ".Exchange"
	methodContacts = ServiceName + ".Contacts"
)

// maxAgesInRequest is the largest roster whose ages travel in both directions
// of an exchange. In a larger one only the answer carries them, which halves
// their cost; news then spreads by those who ask.
const maxAgesInRequest = 32

// contactsEvery is the number of rounds between two exchanges of contacts.
const contactsEvery = 16

// contactsAtStart is the number of rounds after the start that all exchange
// contacts, since a process that was just started knows nobody.
const contactsAtStart = 16

// Caller calls a peer once; *peer.Client is one.
type Caller interface {
	Call(ctx context.Context, addr, method string, args, reply any) error
}

// Granter asks for and gives grants; *ownership.Controller is one.
type Granter interface {
	Ask() ownership.Ask
	NeedsGrants(now time.Time) bool
	Answer(ask ownership.Ask, now time.Time) bool
	Granted(from ownership.Identity, started time.Time)
}

// Config is what a Service works with.
type Config struct {
	Self       ownership.Identity
	DataCentre api.DataCentre
	Address    string   // IP:port of this process's peer service
	Seeds      []string // peer addresses from the settings, of any data centre
	Timing     Timing   // zero fields take their defaults
	Hold       time.Duration

	Caller     Caller
	Roster     func() []ownership.Member // ordered by node
	Applied    func() platform.Offset
	FreeSlots  func() []ServiceFree // nil: none
	IsDraining func() bool          // nil: never

	Random *rand.Rand       // used under the service's lock only
	Now    func() time.Time // nil means time.Now
}

// withDefaults fills what is zero.
func (c Config) withDefaults() Config {
	c.Timing = c.Timing.withDefaults()
	defaults.Set(&c.Hold, ownership.DefaultHold)
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

	mu       sync.Mutex
	liveness *Liveness
	contacts *contacts
	missed   atomic.Bool     // Entries found nobody in a data centre
	talking  map[string]bool // addresses with an exchange under way
	exchange uint64
}

// New returns a service. Bind must be called before Run and Handler.
func New(cfg Config) *Service {
	cfg = cfg.withDefaults()
	return &Service{
		cfg:      cfg,
		vars:     new(expvar.Map).Init(),
		liveness: NewLiveness(cfg.Timing, cfg.Self),
		contacts: newContacts(Contact{DataCentre: cfg.DataCentre, Address: cfg.Address}),
		talking:  make(map[string]bool),
	}
}

// Bind sets who asks for and gives grants.
func (s *Service) Bind(g Granter) { s.granter = g }

// Vars returns the counters: exchanges, failures and grants.
func (s *Service) Vars() *expvar.Map { return s.vars }

// Run sends heartbeats until ctx ends and returns the context's error.
func (s *Service) Run(ctx context.Context) error {
	var exchanges sync.WaitGroup
	defer exchanges.Wait()
	ticker := time.NewTicker(s.cfg.Timing.Heartbeat)
	defer ticker.Stop()
	for round := 0; ; round++ {
		for _, m := range s.round() {
			exchanges.Go(func() { s.talk(ctx, m) })
		}
		if s.wantsContacts(round) {
			exchanges.Go(func() { s.swapContacts(ctx) })
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// wantsContacts reports whether contacts are exchanged in a round: often after
// the start or when a data centre was asked for in vain, else seldom.
func (s *Service) wantsContacts(round int) bool {
	missed := s.missed.Swap(false)
	return missed || round < contactsAtStart || round%contactsEvery == 0
}

// round starts a round and returns the members to talk to.
func (s *Service) round() []ownership.Member {
	now := s.cfg.Now()
	roster := s.cfg.Roster()
	grants := s.granter.NeedsGrants(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.liveness.SetRoster(roster, now)
	s.liveness.Tick(now)
	var free []ownership.Member
	for _, m := range s.liveness.Targets(now, s.cfg.Random, grants, s.grantAge()) {
		if !s.talking[m.Address] {
			s.talking[m.Address] = true
			free = append(free, m)
		}
	}
	return free
}

// grantAge is the age from which a grant is renewed; there is time for a
// second try.
func (s *Service) grantAge() time.Duration { return s.cfg.Hold / 2 }

// callTime bounds one exchange. A longer one would not count: a grant is
// worth nothing after the hold time, and silence is judged sooner.
func (s *Service) callTime() time.Duration { return s.cfg.Hold / 3 }

// talk makes one exchange with m.
func (s *Service) talk(ctx context.Context, m ownership.Member) {
	ctx, cancel := context.WithTimeout(ctx, s.callTime())
	defer cancel()
	started := s.cfg.Now()
	request := Request{Exchange: s.nextExchange(), Digest: s.digest(started)}
	if len(request.Digest.Ages) > maxAgesInRequest {
		request.Digest.Ages = nil
	}
	var reply Reply
	err := s.cfg.Caller.Call(ctx, m.Address, methodExchange, &request, &reply)
	s.mu.Lock()
	delete(s.talking, m.Address)
	s.mu.Unlock()
	if err != nil {
		s.vars.Add("exchange_failures", 1)
		return
	}
	s.vars.Add("exchanges", 1)
	if reply.Exchange != request.Exchange || reply.Digest.Ask.Who != m.Who {
		s.vars.Add("exchange_mismatches", 1)
		return
	}
	s.take(request, reply, started)
}

// take uses the answer of an exchange.
func (s *Service) take(request Request, reply Reply, started time.Time) {
	granted := reply.Granted && request.Digest.Flags&flagAsks != 0
	s.mu.Lock()
	s.liveness.ObserveDigest(reply.Digest, s.cfg.Now())
	if granted {
		s.liveness.RecordGrant(reply.Digest.Ask.Who, started)
	}
	s.mu.Unlock()
	if granted {
		s.vars.Add("grants_received", 1)
		s.granter.Granted(reply.Digest.Ask.Who, started)
	}
}

// nextExchange numbers the exchanges that this process starts.
func (s *Service) nextExchange() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.exchange++
	return s.exchange
}

// digest returns what this process says of itself at now.
func (s *Service) digest(now time.Time) Digest {
	d := Digest{Ask: s.granter.Ask(), Applied: s.cfg.Applied(), Free: s.cfg.FreeSlots()}
	d.Free = d.Free[:min(len(d.Free), MaxServices)]
	if s.cfg.IsDraining() {
		d.Flags |= flagDraining
	}
	if s.granter.NeedsGrants(now) {
		d.Flags |= flagAsks
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	d.Roster = s.liveness.print
	d.Ages = s.liveness.Ages(now)
	return d
}

// Health says of every other member whether it is alive at now.
func (s *Service) Health(now time.Time) map[api.NodeID]ownership.Health {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.liveness.Health(now)
}

// Candidates returns the members that last said they had free slots for a
// service, the one with most first.
func (s *Service) Candidates(service string) []PeerLoad {
	now := s.cfg.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.liveness.Candidates(service, now)
}

// EntryAddresses returns the peer addresses known in a data centre, the latest
// heard of first. For the own data centre they include entry VMs that the
// roster may lack.
func (s *Service) EntryAddresses(dc api.DataCentre) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	addresses := s.contacts.of(dc)
	if len(addresses) == 0 {
		s.missed.Store(true)
	}
	return addresses
}
