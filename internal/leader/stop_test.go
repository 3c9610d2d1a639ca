package leader

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// Requests that came to a machine that was asked to stop waited in vain while
// leadership changed. Order of events: the process was asked to stop and served
// on for seconds; the leader was asked to stop too, and another process claimed;
// the first went on to ask the former leader, or, having led, knew of none.
// Cause: an elector that was asked to stop didn't read on, and learned of the
// next leader only if that delivered to it. The evidence: who it took for the
// leader two seconds later.
func TestStoppingProcessFollowsTheElection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := election(t, 1, 1, 1)
		defer run(all[0])()
		time.Sleep(time.Second)
		if leads, _ := all[0].state(); !leads {
			t.Fatal("the only process doesn't lead")
		}
		defer run(all[1])()
		time.Sleep(time.Second)
		all[1].Release(context.Background())
		all[0].Release(context.Background())
		defer run(all[2])()
		time.Sleep(2 * time.Second)
		if leads, _ := all[2].state(); !leads {
			t.Fatal("nobody leads")
		}
		for i, c := range all[:2] {
			if now := c.Current().Node; now != "c" {
				t.Errorf("process %d, which stops, takes %q for the leader", i, now)
			}
			if leads, gained := c.state(); leads || gained != 1-i {
				t.Errorf("process %d leads: %t, after %d claims", i, leads, gained)
			}
		}
	})
}

// A leader that is asked to stop while the store is down can't be followed by anybody.
// It goes on as long as it may; it ended at once, and nothing ran on from then on.
func TestLeaderStoppedInAnOutageLeadsUntilItIsFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := election(t, 1, 1)
		log := &mortalLog{PartitionLog: all[0].cfg.Log}
		all[0].cfg.Log = log
		defer run(all[0])()
		time.Sleep(time.Second)
		log.gone.Store(true)
		stopping, cancel := context.WithTimeout(context.Background(), 2500*time.Millisecond)
		defer cancel()
		all[0].Release(stopping)
		if leads, _ := all[0].state(); !leads {
			t.Error("it doesn't lead any more, and nobody else could")
		}
		log.gone.Store(false)
		time.Sleep(time.Second)
		if leads, _ := all[0].state(); leads {
			t.Error("it still leads, with a store that takes that it steps down")
		}
		defer run(all[1])()
		time.Sleep(time.Second)
		if leads, _ := all[1].state(); !leads {
			t.Error("it isn't followed")
		}
	})
}
