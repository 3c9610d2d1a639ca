package member

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/ownership"
)

// Timing holds the heartbeat's times and sizes.
type Timing struct {
	Heartbeat    time.Duration // time between two rounds
	Fanout       int           // peers talked to in each round
	MissedRounds int           // rounds of silence that make a member suspected, in a small roster
}

// Defaults of Timing.
const (
	DefaultHeartbeat    = 250 * time.Millisecond
	DefaultFanout       = 2
	DefaultMissedRounds = 4
)

// withDefaults fills what is zero.
func (t Timing) withDefaults() Timing {
	if t.Heartbeat == 0 {
		t.Heartbeat = DefaultHeartbeat
	}
	if t.Fanout == 0 {
		t.Fanout = DefaultFanout
	}
	if t.MissedRounds == 0 {
		t.MissedRounds = DefaultMissedRounds
	}
	return t
}

// SuspectAfter is how long a member of a roster of the given size is silent
// before it is suspected. News needs a number of rounds that grows with the
// logarithm of the roster.
func (t Timing) SuspectAfter(members int) time.Duration {
	spread := bits.Len(uint(members / (8 * t.Fanout)))
	return time.Duration(t.MissedRounds+2*spread) * t.Heartbeat
}

// peer is what is known of one other member.
type peer struct {
	member    ownership.Member
	heard     time.Time // latest sign of life, its own or passed on
	aliveFrom time.Time // start of the time without suspicion
	digest    Digest    // its latest own words
	digestAt  time.Time // zero before the first
	asked     time.Time // start of the latest exchange with it
	granted   time.Time // start of the latest exchange that it granted in
}

// Liveness judges the other members of the roster. It is pure: the time is
// given with each call, which must not go back. It doesn't lock.
type Liveness struct {
	timing Timing
	self   ownership.Identity
	roster []ownership.Member // ordered by node
	print  uint32
	peers  map[api.NodeID]*peer
	ticked time.Time
}

// NewLiveness returns a judge that knows nobody.
func NewLiveness(timing Timing, self ownership.Identity) *Liveness {
	return &Liveness{timing: timing.withDefaults(), self: self, peers: make(map[api.NodeID]*peer)}
}

// SetRoster takes over the roster, ordered by node. A new member counts as
// heard of now.
func (l *Liveness) SetRoster(roster []ownership.Member, now time.Time) {
	l.roster = roster
	l.print = fingerprint(roster)
	kept := make(map[api.NodeID]*peer, len(roster))
	for _, m := range roster {
		if m.Who == l.self {
			continue
		}
		p := l.peers[m.Who.Node]
		if p == nil || p.member.Who != m.Who {
			p = &peer{heard: now, aliveFrom: now}
		}
		p.member = m
		kept[m.Who.Node] = p
	}
	l.peers = kept
}

// Tick starts a round. When this process itself stood still, its peers are
// not held to have been silent meanwhile.
func (l *Liveness) Tick(now time.Time) {
	gap := now.Sub(l.ticked) - l.timing.Heartbeat
	first := l.ticked.IsZero()
	l.ticked = now
	if !first && gap > l.timing.Heartbeat {
		for _, p := range l.peers {
			p.heard = p.heard.Add(gap)
		}
	}
	for _, p := range l.peers {
		if l.suspected(p, now) {
			p.aliveFrom = now
		}
	}
}

// suspected reports whether p has been silent for too long.
func (l *Liveness) suspected(p *peer, now time.Time) bool {
	return now.Sub(p.heard) >= l.timing.SuspectAfter(len(l.roster))
}

// ObserveDigest takes a member's own digest. A digest of another incarnation than
// the roster's says nothing of the member.
func (l *Liveness) ObserveDigest(d Digest, now time.Time) {
	p := l.peers[d.Ask.Who.Node]
	if p == nil || p.member.Who != d.Ask.Who {
		return
	}
	if now.After(p.heard) {
		p.heard = now
	}
	p.digest = d
	p.digestAt = now
	l.merge(d, now)
}

// merge takes what d passes on of the others.
func (l *Liveness) merge(d Digest, now time.Time) {
	if d.Roster != l.print || len(d.Ages) != len(l.roster) {
		return
	}
	for i, m := range l.roster {
		p := l.peers[m.Who.Node]
		if p == nil || d.Ages[i] == ageUnknown {
			continue
		}
		heard := now.Add(-time.Duration(d.Ages[i]) * ageUnit)
		if heard.After(p.heard) {
			p.heard = heard
		}
	}
}

// Ages returns how long ago each member was heard of, for a digest.
func (l *Liveness) Ages(now time.Time) []byte {
	ages := make([]byte, len(l.roster))
	for i, m := range l.roster {
		if p := l.peers[m.Who.Node]; p != nil {
			ages[i] = encodeAge(now.Sub(p.heard))
		}
	}
	return ages
}

// Health says of every other member whether it is alive.
func (l *Liveness) Health(now time.Time) map[api.NodeID]ownership.Health {
	health := make(map[api.NodeID]ownership.Health, len(l.peers))
	for node, p := range l.peers {
		health[node] = ownership.Health{
			Who:       p.member.Who,
			Suspected: l.suspected(p, now),
			Draining:  p.digest.Flags&flagDraining != 0,
			AliveFor:  now.Sub(p.aliveFrom),
		}
	}
	return health
}

// Targets picks the members to talk to in this round: the one not spoken to
// for longest and otherwise random ones. With grants set it adds each that
// has not granted within maxAge.
func (l *Liveness) Targets(now time.Time, random *rand.Rand, grants bool, maxAge time.Duration) []ownership.Member {
	peers := l.shuffled(random)
	var picked []ownership.Member
	for i, p := range peers {
		due := grants && now.Sub(p.granted) >= maxAge
		if i >= l.timing.Fanout && !due {
			continue
		}
		p.asked = now
		picked = append(picked, p.member)
	}
	return picked
}

// shuffled returns the peers in random order, but the one asked longest ago
// first. The order is a function of random alone.
func (l *Liveness) shuffled(random *rand.Rand) []*peer {
	peers := make([]*peer, 0, len(l.peers))
	for _, m := range l.roster {
		if p := l.peers[m.Who.Node]; p != nil {
			peers = append(peers, p)
		}
	}
	random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	oldest := 0
	for i, p := range peers {
		if p.asked.Before(peers[oldest].asked) {
			oldest = i
		}
	}
	if len(peers) > 0 {
		peers[0], peers[oldest] = peers[oldest], peers[0]
	}
	return peers
}

// RecordGrant notes that a member granted in an exchange started at the given
// time.
func (l *Liveness) RecordGrant(who ownership.Identity, started time.Time) {
	p := l.peers[who.Node]
	if p != nil && p.member.Who == who && started.After(p.granted) {
		p.granted = started
	}
}

// Candidates returns the members that last said they had free slots for a
// service, the one with most first. Those suspected or draining are left out.
func (l *Liveness) Candidates(service string, now time.Time) []PeerLoad {
	var loads []PeerLoad
	for _, m := range l.roster {
		p := l.peers[m.Who.Node]
		if p == nil || p.digestAt.IsZero() || l.suspected(p, now) || p.digest.Flags&flagDraining != 0 {
			continue
		}
		if free := p.digest.free(service); free > 0 {
			loads = append(loads, PeerLoad{Node: m.Who.Node, Address: m.Address, Free: free, Age: now.Sub(p.digestAt)})
		}
	}
	slices.SortStableFunc(loads, func(a, b PeerLoad) int { return b.Free - a.Free })
	return loads
}

// free returns the free slots that d tells for a service.
func (d Digest) free(service string) int {
	for _, f := range d.Free {
		if f.Service == service {
			return f.Free
		}
	}
	return 0
}
