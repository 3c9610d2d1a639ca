package leader

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against requests that waited in vain at a stopping process while leadership
// changed, which happens when the leader is asked to stop as well and another process
// claims. An elector that was asked to stop did not read the partition any more. The
// process served requests for some seconds and meanwhile called the former leader, or
// knew no leader if it had led itself, unless the next leader delivered to it.
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
			t.Fatal("no process leads")
		}
		for i, c := range all[:2] {
			if now := c.Current().Node; now != "c" {
				t.Errorf("stopping process %d has %q as the leader, want c", i, now)
			}
			if leads, gained := c.state(); leads || gained != 1-i {
				t.Errorf("process %d leads: %t, after %d claims", i, leads, gained)
			}
		}
	})
}

// A leader that is asked to stop during an outage of the store can't be replaced, so it
// continues to lead as long as it may. It used to stop at once, after which no work of
// the cell continued.
func TestLeaderStoppedDuringOutageLeadsUntilReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := election(t, 1, 1)
		log := &failingLog{PartitionLog: all[0].cfg.Log}
		all[0].cfg.Log = log
		defer run(all[0])()
		time.Sleep(time.Second)
		log.unavailable.Store(true)
		stopping, cancel := context.WithTimeout(context.Background(), 2500*time.Millisecond)
		defer cancel()
		all[0].Release(stopping)
		if leads, _ := all[0].state(); !leads {
			t.Error("the stopping process doesn't lead any more, and no other process could")
		}
		log.unavailable.Store(false)
		time.Sleep(time.Second)
		if leads, _ := all[0].state(); leads {
			t.Error("the process still leads although the store is available for its release")
		}
		defer run(all[1])()
		time.Sleep(time.Second)
		if leads, _ := all[1].state(); !leads {
			t.Error("the other process doesn't lead")
		}
	})
}
