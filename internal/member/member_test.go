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
		members[i].Who = ownership.Identity{Node: api.NodeID(fmt.Sprintf("entry-%d", i)), Incarnation: 1}
	}
	return members
}

// Silence, news from others, another incarnation and an own standstill.
func TestLiveness(t *testing.T) {
	members := roster(3)
	start := time.Unix(1000, 0)
	l := NewLiveness(Timing{}, members[0].Who)
	l.SetRoster(members, start)
	suspects := func(after time.Duration) [2]bool {
		h := l.Health(start.Add(after))
		return [2]bool{h["entry-1"].Suspected, h["entry-2"].Suspected}
	}
	at := func(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }
	for ms := 0; ms <= 900; ms += 250 {
		l.Tick(start.Add(at(ms)))
	}
	fresh := Digest{Ask: ownership.Ask{Who: members[1].Who}, Roster: l.print, Ages: []byte{0, 0, 2}}
	stranger := Digest{Ask: ownership.Ask{Who: ownership.Identity{Node: "entry-2", Incarnation: 2}}}
	other := fresh
	other.Roster++
	other.Ages = []byte{0, 0, 0}
	l.ObserveDigest(fresh, start.Add(at(600)))
	l.ObserveDigest(stranger, start.Add(at(900)))
	l.ObserveDigest(other, start.Add(at(800)))
	if got := suspects(at(1499)); got != [2]bool{false, false} {
		t.Fatalf("suspected %v", got)
	}
	if got := suspects(at(1500)); got != [2]bool{false, true} { // heard of 100 ms before 600
		t.Fatalf("suspected %v", got)
	}
	l.Tick(start.Add(at(9000)))
	if got := suspects(at(9000)); got != [2]bool{false, false} {
		t.Fatalf("suspected %v after an own standstill", got)
	}
}

// Every peer is talked to within a bounded number of rounds.
func TestTargetsReachEveryPeer(t *testing.T) {
	const nodes = 90
	l := NewLiveness(Timing{}, roster(1)[0].Who)
	now := time.Unix(1000, 0)
	l.SetRoster(roster(nodes), now)
	random := rand.New(rand.NewPCG(1, 1))
	seen := make(map[api.NodeID]bool)
	for round := range nodes - 1 {
		for _, m := range l.Targets(now.Add(time.Duration(round)*time.Second), random, false, 0) {
			seen[m.Who.Node] = true
		}
	}
	few, all := len(l.Targets(now, random, false, 0)), len(l.Targets(now, random, true, time.Second))
	if len(seen) != nodes-1 || few != DefaultFanout || all != nodes-1 {
		t.Fatalf("%d peers reached, %d in a round, %d for grants", len(seen), few, all)
	}
}

// What strangers tell is bounded, and is forgotten when nobody renews it.
func TestContactsAreBounded(t *testing.T) {
	c := newContacts(Contact{DataCentre: "a", Address: "self"})
	now := time.Unix(1000, 0)
	for i := range 1000 {
		c.learn([]Contact{{DataCentre: api.DataCentre(fmt.Sprint(i / 20)), Address: fmt.Sprint(i)}, {Address: "self"}}, now)
	}
	if len(c.seen) != maxContacts || len(c.of("0")) != maxContactsOfDC {
		t.Fatalf("%d contacts, %d in one data centre", len(c.seen), len(c.of("0")))
	}
	if told := c.tell(rand.New(rand.NewPCG(1, 1)), now); len(told) != maxContactsToTell+1 || told[0].Address != "self" {
		t.Fatalf("told %v", told)
	}
	c.learn(nil, now.Add(contactLife+time.Second))
	if len(c.seen) != 0 {
		t.Fatalf("%d contacts kept", len(c.seen))
	}
}
