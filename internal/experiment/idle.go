package experiment

import (
	"context"
	"runtime"
	"syscall"
	"time"

	"github.com/skylarklock/skylarklock/internal/load"
)

// idle measures what entry VMs cost without load, and the memory of open
// requests.
func idle(ctx context.Context, cfg Config, r *report) error {
	before := heap()
	c, err := startCell(ctx, cfg)
	if err != nil {
		return err
	}
	defer c.Close()
	started := heap()
	entries := uint64(len(c.Entries))
	r.note("memory: a cell of %d entry VMs with its stand-ins: heap %d KiB, %d KiB for each entry VM", entries, (started-before)>>10, (started-before)/entries>>10)
	cpu := processorTime()
	pause(ctx, cfg.duration())
	used := processorTime() - cpu
	r.note("idle: %.2f%% of a processor for each entry VM, stand-ins included", 100*used.Seconds()/cfg.duration().Seconds()/float64(entries))
	return c.openRequests(ctx, r)
}

// openRequests compares the heap before and with many requests open.
func (c *cell) openRequests(ctx context.Context, r *report) error {
	s := c.stream(c.cfg.Policies[0], 0.9*c.cfg.capacity())
	var open int
	var grown uint64
	o, err := c.run(ctx, phase{streams: []load.Stream{s}, during: func(ctx context.Context) {
		base := heap()
		pause(ctx, c.cfg.duration()/2)
		now := heap()
		for _, e := range c.Entries {
			open += e.Node.Status().Requests
		}
		grown = now - min(now, base)
	}})
	if err != nil {
		return err
	}
	r.add("0.9x", o)
	r.note("memory: %d requests open: heap grew by %d KiB, %d bytes each, callers and executors included", open, grown>>10, grown/uint64(max(open, 1)))
	return nil
}

// heap returns the bytes of the live heap with stacks.
func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// processorTime returns the time that this process has used of all
// processors.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
