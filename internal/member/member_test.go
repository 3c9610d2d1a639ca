package member

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/ownership"
)

func roster(nodes int) []ownership.Member {
	members := make([]ownership.Member, nodes)
	for i := range members {
		members[i].Process = ownership.Identity{Node: api.NodeID(fmt.Sprintf("entry-%d", i)), Incarnation: 1}
	}
	return members
}

// Suspicion follows from direct signs of life and from those passed on by members with the
// same roster. Digests of other incarnations and rosters are ignored, and a suspension of
// this process doesn't count as silence.
func TestLiveness(t *testing.T) {
	members := roster(3)
	start := time.Unix(1000, 0)
	l := NewLiveness(Timing{}, members[0].Process)
	l.SetRoster(members, start)
	suspects := func(after time.Duration) [2]bool {
		h := l.Health(start.Add(after))
		return [2]bool{h["entry-1"].Suspected, h["entry-2"].Suspected}
	}
	at := func(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }
	for ms := 0; ms <= 900; ms += 250 {
		l.Tick(start.Add(at(ms)))
	}
	fresh := Digest{Ask: ownership.GrantRequest{Process: members[1].Process}, Roster: l.rosterFingerprint, Ages: []byte{0, 0, 2}}
	otherIncarnation := Digest{Ask: ownership.GrantRequest{Process: ownership.Identity{Node: "entry-2", Incarnation: 2}}}
	otherRoster := fresh
	otherRoster.Roster++
	otherRoster.Ages = []byte{0, 0, 0}
	l.ObserveDigest(fresh, start.Add(at(600)))
	l.ObserveDigest(otherIncarnation, start.Add(at(900)))
	l.ObserveDigest(otherRoster, start.Add(at(800)))
	if got := suspects(at(1499)); got != [2]bool{false, false} {
		t.Fatalf("suspected %v", got)
	}
	if got := suspects(at(1500)); got != [2]bool{false, true} { // last heard from 100 ms before 600 ms
		t.Fatalf("suspected %v", got)
	}
	l.Tick(start.Add(at(9000)))
	if got := suspects(at(9000)); got != [2]bool{false, false} {
		t.Fatalf("suspected %v after a suspension of this process", got)
	}
}

// Every peer is a target within a bounded number of rounds.
func TestTargetsReachEveryPeer(t *testing.T) {
	const nodes = 90
	l := NewLiveness(Timing{}, roster(1)[0].Process)
	now := time.Unix(1000, 0)
	l.SetRoster(roster(nodes), now)
	random := rand.New(rand.NewPCG(1, 1))
	seen := make(map[api.NodeID]bool)
	for round := range nodes - 1 {
		for _, m := range l.Targets(now.Add(time.Duration(round)*time.Second), random, false, 0) {
			seen[m.Process.Node] = true
		}
	}
	few, all := len(l.Targets(now, random, false, 0)), len(l.Targets(now, random, true, time.Second))
	if len(seen) != nodes-1 || few != DefaultFanout || all != nodes-1 {
		t.Fatalf("%d peers were targets, %d in a round, %d for grants", len(seen), few, all)
	}
}

// The number of contacts received from peers is bounded, and they expire unless they are
// refreshed.
func TestContactsAreBounded(t *testing.T) {
	c := newContacts(Contact{DataCentre: "a", Address: "self"})
	now := time.Unix(1000, 0)
	for i := range 1000 {
		c.merge([]Contact{{DataCentre: api.DataCentre(fmt.Sprint(i / 20)), Address: fmt.Sprint(i)}, {Address: "self"}}, now)
	}
	if len(c.byAddress) != maxContacts || len(c.addressesIn("0")) != maxContactsPerDC {
		t.Fatalf("%d contacts, %d in one data centre", len(c.byAddress), len(c.addressesIn("0")))
	}
	if sampled := c.sample(rand.New(rand.NewPCG(1, 1)), now); len(sampled) != maxContactsPerMessage+1 || sampled[0].Address != "self" {
		t.Fatalf("sampled %v", sampled)
	}
	c.merge(nil, now.Add(contactTTL+time.Second))
	if len(c.byAddress) != 0 {
		t.Fatalf("%d contacts kept", len(c.byAddress))
	}
}
