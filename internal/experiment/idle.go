package experiment

import (
	"context"
	"runtime"
	"syscall"
	"time"

	"github.com/skylarklock/skylarklock/internal/load"
)

// measureIdle measures the processor time and memory of entry VMs without load,
// and the memory of open requests.
func measureIdle(ctx context.Context, cfg Config, r *resultTable) error {
	before := heapAndStackBytes()
	c, err := startCell(ctx, cfg)
	if err != nil {
		return err
	}
	defer c.Close()
	started := heapAndStackBytes()
	entries := uint64(len(c.Entries))
	r.note("memory: a cell of %d entry VMs with its stand-ins: heap %d KiB, %d KiB for each entry VM", entries, (started-before)>>10, (started-before)/entries>>10)
	cpuBefore := cpuTime()
	sleep(ctx, cfg.phaseDuration())
	used := cpuTime() - cpuBefore
	r.note("idle: %.2f%% of a processor for each entry VM, stand-ins included", 100*used.Seconds()/cfg.phaseDuration().Seconds()/float64(entries))
	return c.measureOpenRequests(ctx, r)
}

// measureOpenRequests measures how much the heap has grown halfway through a phase
// with high load, and how many requests are open then.
func (c *cell) measureOpenRequests(ctx context.Context, r *resultTable) error {
	s := c.newStream(c.cfg.Policies[0], 0.9*c.cfg.requestCapacity())
	var open int
	var grown uint64
	result, err := c.runPhase(ctx, phase{streams: []load.Stream{s}, during: func(ctx context.Context) {
		base := heapAndStackBytes()
		sleep(ctx, c.cfg.phaseDuration()/2)
		now := heapAndStackBytes()
		for _, e := range c.Entries {
			open += e.Node.Status().Requests
		}
		grown = now - min(now, base)
	}})
	if err != nil {
		return err
	}
	r.addPhase("0.9x", result)
	r.note("memory: %d requests open: heap grew by %d KiB, %d bytes each, callers and executors included", open, grown>>10, grown/uint64(max(open, 1)))
	return nil
}

// heapAndStackBytes returns the bytes of the live heap and of the stacks.
func heapAndStackBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// cpuTime returns the processor time that this process has used, or 0 if it can't
// be read.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
