package node

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// Of seven processes one leads, and three standbys keep all content as well; the others
// hold job states only. These followers answer for every job. When the leader and its
// standbys have stopped, one of the followers reads the content and leads: all jobs are
// still known, and running jobs complete.
func TestFollowersAnswerAndTakeOver(t *testing.T) {
	env := newTestEnv(t, 2)
	var all []*process
	for i := range 7 {
		all = append(all, env.start(t, fmt.Sprintf("m%d", i)))
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
	remaining := followers()

	const ended, running, later = "00000000000000a1", "00000000000000a2", "00000000000000a3"
	remaining[0].submit(t, ended, "20ms", 3)
	remaining[1].submit(t, running, "8s", 4)
	for _, p := range all {
		p.awaitState(t, ended, "completed")
		p.awaitState(t, running, "running")
	}
	for _, p := range remaining {
		e, _ := p.node.replica.Get([8]byte{7: 0xa2})
		if e.Job != nil || e.Progress != nil {
			t.Error("a process that keeps no content holds the content of a job")
		}
	}

	stopped := time.Now()
	for _, p := range all {
		if p.node.replica.HasContent() {
			p.stop()
		}
	}
	eventually(t, "one of the followers leads", func() bool {
		for _, p := range remaining {
			if p.node.epoch.Load() != 0 {
				return true
			}
		}
		return false
	})
	t.Logf("one of the followers led after %v", time.Since(stopped))
	remaining[0].submit(t, later, "20ms", 2)
	for _, p := range remaining {
		p.awaitState(t, ended, "completed")
		p.awaitState(t, later, "completed")
		p.awaitState(t, running, "completed")
	}
	for task, n := range env.starts() {
		// Running tasks are started again if their leases expire before a machine
		// leads, which may happen on a busy test machine.
		if n != 1 && !strings.HasPrefix(task, running) {
			t.Errorf("task %s was started %d times, want once", task, n)
		}
	}
}
