package node

import (
	"fmt"
	"testing"
)

// A process that starts while another leads gets the states of jobs from it. When all processes start at once,
// those that don't read the store first get the states from those that do.
func TestRestartedProcessesDoNotAllReadTheStore(t *testing.T) {
	const processes = 12
	env := newTestEnv(t, 2)
	start := func() (all []*process) {
		for i := range processes {
			all = append(all, env.start(t, fmt.Sprintf("m%d", i)))
		}
		return all
	}
	first := env.start(t, "first")
	first.awaitReady(t)
	first.submit(t, "00000000000000b1", "20ms", 3)
	first.awaitState(t, "00000000000000b1", "completed")
	eventually(t, "the process leads", func() bool { return first.node.epoch.Load() != 0 })

	before := env.store.NewestReads(topicJobs)
	all := start()
	for _, p := range all {
		p.awaitReady(t)
		p.awaitState(t, "00000000000000b1", "completed")
	}
	// Three standbys read the content of the records, others only what they have missed.
	if n := env.store.NewestReads(topicJobs) - before; n > processes/2 {
		t.Errorf("%d of %d processes that started beside a leader read the store", n, processes)
	}

	for _, p := range append(all, first) {
		p.stop()
	}
	for _, p := range append(all, first) {
		<-p.done
	}
	before = env.store.NewestReads(topicJobs)
	all = start()
	for _, p := range all {
		p.awaitReady(t)
		p.awaitState(t, "00000000000000b1", "completed")
	}
	t.Logf("%d of %d processes read the store after all had been lost", env.store.NewestReads(topicJobs)-before, processes)
}
