package dispatch

import (
	"context"
	"flag"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

var (
	largeMachines  = flag.Int("machines", 60, "machines of the cell in TestLargeCell")
	largeExecutors = flag.Int("executors", 1000, "executors of the cell in TestLargeCell")
	largeJobs      = flag.Int("jobs", 10, "jobs a second in TestLargeCell")
	largeSeconds   = flag.Int("seconds", 10, "seconds of load before and after the takeover in TestLargeCell")
)

// processorSeconds returns the processor time that this process has used.
func processorSeconds(t *testing.T) float64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		t.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()).Seconds()
}

// A leader serves a fleet, and so does its successor: work that waits starts within moments of the takeover.
// By hand, with the flags of this file, it shows what a leader's decisions and exchanges cost without a network.
func TestLargeCell(t *testing.T) {
	size := cellSize{machines: *largeMachines, executors: *largeExecutors, jobsPerSecond: *largeJobs}
	load := time.Duration(*largeSeconds) * time.Second
	synctest.Test(t, func(t *testing.T) {
		c := newLargeCell(t, size)
		ctx, cancel := context.WithCancel(t.Context())
		go c.heartbeats(ctx)
		c.takeOver()
		time.Sleep(3 * time.Second)
		report := func(phase string, refused int, processor float64) {
			t.Logf("%s: %d starts, %d ends, %d holds, %d deliveries, %d advice calls, %d refused; first start after %v; %.2f s of a processor",
				phase, c.starts.Swap(0), c.ended.Swap(0), c.holds.Swap(0), c.deliveries.Swap(0), c.adviceCalls.Swap(0), refused,
				time.Duration(c.firstStart.Load()), processor)
		}
		report("idle", 0, 0)
		before := processorSeconds(t)
		refused := c.submit(load, 0)
		report("load", refused, processorSeconds(t)-before)
		before = processorSeconds(t)
		c.takeOver()
		time.Sleep(100 * time.Millisecond)
		refused += c.submit(load, 1<<20)
		report("after the takeover", refused, processorSeconds(t)-before)
		if refused > 0 {
			t.Errorf("%d jobs were refused with executors free", refused)
		}
		cancel()
		c.stop()
	})
}
