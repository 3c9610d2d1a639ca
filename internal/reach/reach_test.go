package reach

import (
	"testing"
	"time"
)

// machine is a simulated machine whose data centre is cut off, or whose store is down,
// from time 0 on.
type machine struct {
	leads        bool
	leaderInside bool // the leader is in the data centre that is cut off
	outage       bool // the store is down for all data centres and none is cut off
}

// at returns the machine's connectivity at time t. At time 0 the store's last answer is up
// to 0.8 s old and a delivery up to 0.2 s. The means of these ages are assumed, except that
// what a machine knows of its leader's state is 0.2 s old.
func (m machine) at(t time.Duration) Connectivity {
	s := Connectivity{SinceStore: t + 400*time.Millisecond, Leads: m.leads, HasRemotePeers: true}
	switch {
	case m.outage:
		s.LeaderDelivers = !m.leads
	case m.leaderInside:
		s.SinceRemotePeer = t + 100*time.Millisecond
		s.LeaderDelivers = !m.leads
		leader := machine{leads: true, leaderInside: true}
		s.LeaderCutOff = !m.leads && leader.at(t-200*time.Millisecond).CutOff()
	default:
		s.LeaderDelivers = t < 500*time.Millisecond
	}
	return s
}

// redirected returns the time after which the platform redirects a machine's clients to
// other machines. The platform checks once a second and needs two failed checks in a row.
func (m machine) redirected(limit time.Duration) (time.Duration, bool) {
	const checkInterval = time.Second
	failures := 0
	for t := checkInterval / 2; t < limit; t += checkInterval {
		if !m.at(t).CutOff() {
			failures = 0
			continue
		}
		if failures++; failures == 2 {
			return t, true
		}
	}
	return 0, false
}

// A client retries for 3 s in total, so it is served by another machine only if the
// platform has redirected it by then.
func TestClientsOfCutOffDataCentreAreRedirected(t *testing.T) {
	const clientTimeout = 3 * time.Second
	for name, m := range map[string]machine{
		"the leader, cut off with its data centre":          {leads: true, leaderInside: true},
		"a machine cut off together with the leader":        {leaderInside: true},
		"a machine cut off from the leader":                 {},
		"a leader alone in a data centre, and cut off":      {leads: true, leaderInside: true},
		"a machine that can reach neither leader nor store": {},
	} {
		if after, redirected := m.redirected(10 * time.Second); !redirected || after > clientTimeout {
			t.Errorf("%s: clients are redirected after %v (%t)", name, after, redirected)
		}
	}
}

// During an outage of the store no machine counts as cut off, because redirecting clients
// would not help them.
func TestStoreOutageCutsOffNoMachine(t *testing.T) {
	for _, m := range []machine{{leads: true, outage: true}, {outage: true}} {
		if after, redirected := m.redirected(10 * time.Second); redirected {
			t.Errorf("leads %t: clients are redirected after %v", m.leads, after)
		}
	}
}

func TestCutOff(t *testing.T) {
	const long = 10 * time.Second
	for _, c := range []struct {
		name         string
		connectivity Connectivity
		want         bool
	}{
		{"the store answers", Connectivity{SinceStore: 300 * time.Millisecond}, false},
		{"a leader without contact to other data centres, and the store answers", Connectivity{Leads: true, HasRemotePeers: true, SinceRemotePeer: long}, false},
		{"a leader that never had contact with another data centre", Connectivity{SinceStore: long, Leads: true, SinceRemotePeer: long}, false},
		{"a leader with recent contact to another data centre", Connectivity{SinceStore: long, Leads: true, HasRemotePeers: true, SinceRemotePeer: 100 * time.Millisecond}, false},
		{"a leader that has lost contact with all other data centres", Connectivity{SinceStore: long, Leads: true, HasRemotePeers: true, SinceRemotePeer: long}, true},
		{"deliveries from a leader that waits for the store", Connectivity{SinceStore: long, LeaderDelivers: true}, false},
		{"deliveries from a leader that is cut off", Connectivity{SinceStore: long, LeaderDelivers: true, LeaderCutOff: true}, true},
		{"deliveries from a leader that is cut off, and the store answers here", Connectivity{LeaderDelivers: true, LeaderCutOff: true}, false},
		{"contact with neither store nor leader", Connectivity{SinceStore: long}, true},
	} {
		if got := c.connectivity.CutOff(); got != c.want {
			t.Errorf("%s: CutOff() = %t", c.name, got)
		}
	}
}
