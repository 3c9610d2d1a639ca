package member

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/ownership"
)

// Timing holds the parameters of the heartbeat.
type Timing struct {
	Heartbeat    time.Duration // time between two rounds
	Fanout       int           // number of peers to exchange heartbeats with in each round
	MissedRounds int           // rounds without a sign of life before a member of a small roster is suspected
}

// Defaults of Timing.
const (
	DefaultHeartbeat    = 250 * time.Millisecond
	DefaultFanout       = 2
	DefaultMissedRounds = 4
)

// withDefaults returns t with defaults for zero fields.
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

// SuspectAfter returns the time without a sign of life after which a member of a roster
// of the given size is suspected. The number of rounds in which a sign of life spreads
// grows with the logarithm of the roster's size.
func (t Timing) SuspectAfter(members int) time.Duration {
	spread := bits.Len(uint(members / (8 * t.Fanout)))
	return time.Duration(t.MissedRounds+2*spread) * t.Heartbeat
}

// peer is the known state of one other member.
type peer struct {
	member      ownership.Member
	lastHeard   time.Time // latest sign of life, direct or passed on by another member
	aliveSince  time.Time // since when it has not been suspected
	digest      Digest    // its latest digest
	digestAt    time.Time // when that was received; zero before the first
	lastAsked   time.Time // start of the latest exchange with it
	lastGranted time.Time // start of the latest exchange in which it gave a grant
}

// Liveness tracks the liveness of the other members of the roster. It reads no clock: the
// time is passed to each call and must not go back. It does no locking.
type Liveness struct {
	timing            Timing
	self              ownership.Identity
	roster            []ownership.Member // ordered by node
	rosterFingerprint uint32
	peers             map[api.NodeID]*peer
	lastTick          time.Time
}

// NewLiveness returns a Liveness with an empty roster.
func NewLiveness(timing Timing, self ownership.Identity) *Liveness {
	return &Liveness{timing: timing.withDefaults(), self: self, peers: make(map[api.NodeID]*peer)}
}

// SetRoster sets the roster, which must be ordered by node. A new member counts as heard
// from now.
func (l *Liveness) SetRoster(roster []ownership.Member, now time.Time) {
	l.roster = roster
	l.rosterFingerprint = fingerprint(roster)
	newPeers := make(map[api.NodeID]*peer, len(roster))
	for _, m := range roster {
		if m.Process == l.self {
			continue
		}
		p := l.peers[m.Process.Node]
		if p == nil || p.member.Process != m.Process {
			p = &peer{lastHeard: now, aliveSince: now}
		}
		p.member = m
		newPeers[m.Process.Node] = p
	}
	l.peers = newPeers
}

// Tick starts a round. If this process itself was suspended since the last round, that
// time doesn't count as silence of its peers.
func (l *Liveness) Tick(now time.Time) {
	gap := now.Sub(l.lastTick) - l.timing.Heartbeat
	first := l.lastTick.IsZero()
	l.lastTick = now
	if !first && gap > l.timing.Heartbeat {
		for _, p := range l.peers {
			p.lastHeard = p.lastHeard.Add(gap)
		}
	}
	for _, p := range l.peers {
		if l.suspected(p, now) {
			p.aliveSince = now
		}
	}
}

// suspected reports whether p's last sign of life is too long ago.
func (l *Liveness) suspected(p *peer, now time.Time) bool {
	return now.Sub(p.lastHeard) >= l.timing.SuspectAfter(len(l.roster))
}

// ObserveDigest handles a digest received from a member. A digest from another
// incarnation than the one in the roster is ignored.
func (l *Liveness) ObserveDigest(d Digest, now time.Time) {
	p := l.peers[d.Ask.Process.Node]
	if p == nil || p.member.Process != d.Ask.Process {
		return
	}
	if now.After(p.lastHeard) {
		p.lastHeard = now
	}
	p.digest = d
	p.digestAt = now
	l.merge(d, now)
}

// merge merges the ages of other members in d, if d was made for the same roster.
func (l *Liveness) merge(d Digest, now time.Time) {
	if d.Roster != l.rosterFingerprint || len(d.Ages) != len(l.roster) {
		return
	}
	for i, m := range l.roster {
		p := l.peers[m.Process.Node]
		if p == nil || d.Ages[i] == ageUnknown {
			continue
		}
		lastHeard := now.Add(-time.Duration(d.Ages[i]) * ageUnit)
		if lastHeard.After(p.lastHeard) {
			p.lastHeard = lastHeard
		}
	}
}

// Ages returns the encoded time since each member was heard from, for a digest.
func (l *Liveness) Ages(now time.Time) []byte {
	ages := make([]byte, len(l.roster))
	for i, m := range l.roster {
		if p := l.peers[m.Process.Node]; p != nil {
			ages[i] = encodeAge(now.Sub(p.lastHeard))
		}
	}
	return ages
}

// Health returns the health of every other member.
func (l *Liveness) Health(now time.Time) map[api.NodeID]ownership.Health {
	health := make(map[api.NodeID]ownership.Health, len(l.peers))
	for node, p := range l.peers {
		health[node] = ownership.Health{
			Process:   p.member.Process,
			Suspected: l.suspected(p, now),
			Draining:  p.digest.Flags&flagDraining != 0,
			AliveFor:  now.Sub(p.aliveSince),
		}
	}
	return health
}

// Targets picks the members to exchange heartbeats with in this round: the one with the
// longest time since the last exchange, and otherwise random ones. With grants set it
// adds all members that have given no grant within maxAge.
func (l *Liveness) Targets(now time.Time, random *rand.Rand, grants bool, maxAge time.Duration) []ownership.Member {
	peers := l.shuffled(random)
	var targets []ownership.Member
	for i, p := range peers {
		due := grants && now.Sub(p.lastGranted) >= maxAge
		if i >= l.timing.Fanout && !due {
			continue
		}
		p.lastAsked = now
		targets = append(targets, p.member)
	}
	return targets
}

// shuffled returns the peers in random order, except that the one with the longest time
// since the last exchange comes first. The order depends on random only.
func (l *Liveness) shuffled(random *rand.Rand) []*peer {
	peers := make([]*peer, 0, len(l.peers))
	for _, m := range l.roster {
		if p := l.peers[m.Process.Node]; p != nil {
			peers = append(peers, p)
		}
	}
	random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	oldest := 0
	for i, p := range peers {
		if p.lastAsked.Before(peers[oldest].lastAsked) {
			oldest = i
		}
	}
	if len(peers) > 0 {
		peers[0], peers[oldest] = peers[oldest], peers[0]
	}
	return peers
}

// RecordGrant records that a member gave a grant in an exchange that started at the given
// time.
func (l *Liveness) RecordGrant(process ownership.Identity, started time.Time) {
	p := l.peers[process.Node]
	if p != nil && p.member.Process == process && started.After(p.lastGranted) {
		p.lastGranted = started
	}
}

// Candidates returns the members that last reported free slots for a service, the one
// with the most slots first. Suspected and draining members are omitted.
func (l *Liveness) Candidates(service string, now time.Time) []PeerLoad {
	var loads []PeerLoad
	for _, m := range l.roster {
		p := l.peers[m.Process.Node]
		if p == nil || p.digestAt.IsZero() || l.suspected(p, now) || p.digest.Flags&flagDraining != 0 {
			continue
		}
		if free := p.digest.free(service); free > 0 {
			loads = append(loads, PeerLoad{Node: m.Process.Node, Address: m.Address, Free: free, Age: now.Sub(p.digestAt)})
		}
	}
	slices.SortStableFunc(loads, func(a, b PeerLoad) int { return b.Free - a.Free })
	return loads
}

// free returns the number of free slots for a service in d.
func (d Digest) free(service string) int {
	for _, f := range d.Free {
		if f.Service == service {
			return f.Free
		}
	}
	return 0
}
