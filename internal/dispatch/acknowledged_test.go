package dispatch

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

var ackSeeds = flag.Uint64("ack-seeds", 2, "number of seeds of TestAcknowledgedEndsAreStored")

// Guards against tasks that start again after they have ended as done: their ends were acknowledged, and the store didn't have
// them. Leaders are replaced in turn at a slow store, and then all machines are lost.
func TestAcknowledgedEndsAreStored(t *testing.T) {
	for seed := range *ackSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playLeaders(t, seed) })
		})
	}
}

func playLeaders(t *testing.T, seed uint64) {
	c := newCluster(t, seed, 7)
	const length, step = 60 * time.Second, 50 * time.Millisecond
	nextRestart, powerLoss := 3*time.Second, length-15*time.Second
	for elapsed := time.Duration(0); elapsed < length; elapsed += step {
		time.Sleep(step)
		leads, _ := c.leader()
		if leads == nil {
			c.elect()
		}
		if elapsed%(4*step) == 0 {
			for _, m := range c.machines {
				m.attach()
			}
		}
		if elapsed < length-10*time.Second {
			c.submit()
		}
		switch {
		case elapsed == powerLoss:
			c.loseAll()
		case elapsed > nextRestart && elapsed < powerLoss:
			nextRestart = elapsed + c.random.between(300*time.Millisecond, 2*time.Second)
			m := c.machines[c.random.between(0, time.Duration(len(c.machines)-1))]
			if leads != nil && c.random.between(0, 2) == 0 {
				m = leads
			}
			c.restart(m)
		}
	}
	c.stop()
	time.Sleep(10 * time.Second) // lets reads and appends end
	c.executor.mu.Lock()
	defer c.executor.mu.Unlock()
	for i, p := range c.executor.problems {
		if i < 5 {
			t.Error(p)
		}
	}
	if len(c.executor.problems) > 5 {
		t.Errorf("and %d more", len(c.executor.problems)-5)
	}
	if done, want := len(c.executor.doneTasks), 3*c.jobs; done < want/2 {
		t.Errorf("%d of %d tasks have ended", done, want)
	}
	t.Logf("%d jobs, %d tasks done, %d leaders", c.jobs, len(c.executor.doneTasks), c.epoch)
}
