package leader

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a deadlock that froze the leader for half a minute, with all connections
// open and SIGTERM ignored; meanwhile no job was accepted, shown or cancelled. A callback
// that was called with a lock held closed a cycle of locks: the elector called
// Config.Suitability, which takes the replica's lock, with its own lock held. The replica,
// with its lock held, passed records to the leader's publisher and planner and waited for
// their locks, whose holders asked the elector when leadership was last renewed. It
// happened four times in one test run: the leader's processor time fell from 40-80% to 0
// within a second. In a trial with three of these locks held 0.2 ms longer and a renewal
// each millisecond, the processes of a cell froze within 15 s, two times of two, with the
// stacks of this cycle.
func TestSuitabilityIsCalledWithoutLock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := election(t, 1)[0]
		suitability := c.cfg.Suitability
		calls := map[bool]int{} // by whether the process leads
		c.cfg.Suitability = func() Suitability {
			leads, _ := c.state()
			if c.Elector.mu.TryLock() { // no other goroutine takes it here
				c.Elector.mu.Unlock()
			} else {
				t.Errorf("the elector's lock is held; the process leads: %t", leads)
			}
			calls[leads]++
			return suitability()
		}
		end := run(c)
		time.Sleep(2 * time.Second)
		end()
		if calls[false] == 0 || calls[true] == 0 {
			t.Errorf("called %d times before leading and %d times while leading", calls[false], calls[true])
		}
	})
}
