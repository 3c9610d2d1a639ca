package node

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// Of seven processes one leads and three keep all content with it; the others know
// states only. They answer for every job, and when the four are gone, one of them
// reads what is needed and leads: everything is known, and what ran ends.
func TestFollowersAnswerAndTakeOver(t *testing.T) {
	o := newOutside(t, 2)
	var all []*process
	for i := range 7 {
		all = append(all, o.start(t, fmt.Sprintf("m%d", i)))
	}
	for _, p := range all {
		p.awaitReady(t)
	}
	followers := func() (out []*process) {
		for _, p := range all {
			if !p.node.replica.HasContent() {
				out = append(out, p)
			}
		}
		return out
	}
	eventually(t, "three processes keep no content", func() bool { return len(followers()) == 3 })
	left := followers()

	const ended, running, later = "00000000000000a1", "00000000000000a2", "00000000000000a3"
	left[0].submit(t, ended, "20ms", 3)
	left[1].submit(t, running, "8s", 4)
	for _, p := range all {
		p.awaitState(t, ended, "completed")
		p.awaitState(t, running, "running")
	}
	for _, p := range left {
		e, _ := p.node.replica.Get([8]byte{7: 0xa2})
		if e.Job != nil || e.Progress != nil {
			t.Error("a process that keeps no content keeps that of a job")
		}
	}

	stopped := time.Now()
	for _, p := range all {
		if p.node.replica.HasContent() {
			p.stop()
		}
	}
	eventually(t, "one of the others leads", func() bool {
		for _, p := range left {
			if p.node.epoch.Load() != 0 {
				return true
			}
		}
		return false
	})
	t.Logf("one of the others led after %v", time.Since(stopped))
	left[0].submit(t, later, "20ms", 2)
	for _, p := range left {
		p.awaitState(t, ended, "completed")
		p.awaitState(t, later, "completed")
		p.awaitState(t, running, "completed")
	}
	for task, n := range o.starts() {
		// Runs that are at work are started again if their leases are over before
		// a machine leads, which a busy test machine may bring about.
		if n != 1 && !strings.HasPrefix(task, running) {
			t.Errorf("task %s was started %d times", task, n)
		}
	}
}
