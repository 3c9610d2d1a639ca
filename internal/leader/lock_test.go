package leader

import (
	"testing"
	"testing/synctest"
	"time"
)

// Users saw nothing accepted, shown or stopped for half a minute: the machine
// that led had frozen, at no processor time, with all connections open and
// deaf to SIGTERM. Order of events: the elector asked, with its lock held, how
// its machine compares, which takes the replica's lock; the replica, with that
// held, was handing records to the leader's publisher and planner and waited
// for theirs; these, with theirs held, asked the elector when leadership was
// last renewed. Cause: a callback under a lock, which closed a cycle. The
// evidence: the processor time of leaders fell from 40-80% to 0 within a second,
// four times in one play, with memory and connections held and a few calls to
// the store a second going on. In a trial in which three of these locks were held
// 0.2 ms longer, and leadership was renewed each millisecond, the processes of a
// cell froze within 15 s, two times of two, with the stacks of this cycle.
func TestStandingIsAskedWithoutTheLock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := election(t, 1)[0]
		ask := c.cfg.Suitability
		asked := map[bool]int{} // by whether the process leads
		c.cfg.Suitability = func() Suitability {
			leads, _ := c.state()
			if c.Elector.mu.TryLock() { // nobody else takes it here
				c.Elector.mu.Unlock()
			} else {
				t.Errorf("the elector's lock is held; it leads: %t", leads)
			}
			asked[leads]++
			return ask()
		}
		end := run(c)
		time.Sleep(2 * time.Second)
		end()
		if asked[false] == 0 || asked[true] == 0 {
			t.Errorf("asked %d times before leading and %d times while leading", asked[false], asked[true])
		}
	})
}
