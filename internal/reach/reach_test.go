package reach

import (
	"testing"
	"time"
)

// machine is what one machine hears while its data centre is cut off or the store is
// down from time 0 on.
type machine struct {
	leads  bool
	inside bool // the leader is in the data centre that is cut off
	outage bool // the store is down for all; nothing is cut off
}

// at returns the signs some time after the beginning. The store's last answer came up to
// 0.8 s before, a delivery up to 0.2 s.
func (m machine) at(t time.Duration) Connectivity {
	s := Connectivity{SinceStore: t + 400*time.Millisecond, Leads: m.leads, HasRemotePeers: true}
	switch {
	case m.outage:
		s.LeaderDelivers = !m.leads
	case m.inside:
		s.SinceRemotePeer = t + 100*time.Millisecond
		s.LeaderDelivers = !m.leads
		leader := machine{leads: true, inside: true}
		s.LeaderCutOff = !m.leads && leader.at(t-200*time.Millisecond).CutOff()
	default:
		s.LeaderDelivers = t < 500*time.Millisecond
	}
	return s
}

// moved returns after what time the platform sends a machine's clients elsewhere: it
// looks once a second and needs two refusals in a row.
func (m machine) moved(longest time.Duration) (time.Duration, bool) {
	const look = time.Second
	misses := 0
	for t := look / 2; t < longest; t += look {
		if !m.at(t).CutOff() {
			misses = 0
			continue
		}
		if misses++; misses == 2 {
			return t, true
		}
	}
	return 0, false
}

// A client tries for 3 s in all, so it is served elsewhere only if the platform has
// moved by then.
func TestClientsOfACutOffDataCentreAreSentElsewhere(t *testing.T) {
	const clientTries = 3 * time.Second
	for name, m := range map[string]machine{
		"the leader, cut off with its data centre":      {leads: true, inside: true},
		"a machine cut off together with the leader":    {inside: true},
		"a machine cut off from the leader":             {},
		"a leader alone in a data centre, and cut off":  {leads: true, inside: true},
		"a machine whose leader and store are both out": {},
	} {
		if after, moved := m.moved(10 * time.Second); !moved || after > clientTries {
			t.Errorf("%s: clients are sent elsewhere after %v (%t)", name, after, moved)
		}
	}
}

// While the store is down for all, no machine could do better than another.
func TestOutageOfTheStoreCutsNobodyOff(t *testing.T) {
	for _, m := range []machine{{leads: true, outage: true}, {outage: true}} {
		if after, moved := m.moved(10 * time.Second); moved {
			t.Errorf("leads %t: clients are sent elsewhere after %v", m.leads, after)
		}
	}
}

func TestCutOff(t *testing.T) {
	const long = 10 * time.Second
	for _, c := range []struct {
		name  string
		signs Connectivity
		want  bool
	}{
		{"the store answers", Connectivity{SinceStore: 300 * time.Millisecond}, false},
		{"the store answers a leader that hears nobody", Connectivity{Leads: true, HasRemotePeers: true, SinceRemotePeer: long}, false},
		{"a leader without machines in other data centres", Connectivity{SinceStore: long, Leads: true, SinceRemotePeer: long}, false},
		{"a leader that hears another data centre", Connectivity{SinceStore: long, Leads: true, HasRemotePeers: true, SinceRemotePeer: 100 * time.Millisecond}, false},
		{"a leader that hears none any more", Connectivity{SinceStore: long, Leads: true, HasRemotePeers: true, SinceRemotePeer: long}, true},
		{"fed by a leader that waits for the store", Connectivity{SinceStore: long, LeaderDelivers: true}, false},
		{"fed by a leader that is cut off", Connectivity{SinceStore: long, LeaderDelivers: true, LeaderCutOff: true}, true},
		{"fed by a leader that is cut off, and the store answers here", Connectivity{LeaderDelivers: true, LeaderCutOff: true}, false},
		{"neither store nor leader", Connectivity{SinceStore: long}, true},
	} {
		if got := c.signs.CutOff(); got != c.want {
			t.Errorf("%s: cut off is %t", c.name, got)
		}
	}
}
