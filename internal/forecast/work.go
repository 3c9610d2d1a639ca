package forecast

import "time"

// work is an amount of capacity times milliseconds.
type work struct {
	milliCPU, memoryMB float64
}

func (w work) add(task Capacity, tasks int, run time.Duration) work {
	ms := float64(tasks) * float64(run.Milliseconds())
	return work{w.milliCPU + ms*float64(task.MilliCPU), w.memoryMB + ms*float64(task.MemoryMB)}
}

func (w work) plus(o work) work { return work{w.milliCPU + o.milliCPU, w.memoryMB + o.memoryMB} }

func (w work) minus(o work) work { return work{w.milliCPU - o.milliCPU, w.memoryMB - o.memoryMB} }

// timeOn returns how long some capacity needs for the work.
func (w work) timeOn(c Capacity) time.Duration {
	ms := 0.0
	if c.MilliCPU > 0 {
		ms = w.milliCPU / float64(c.MilliCPU)
	}
	if c.MemoryMB > 0 {
		ms = max(ms, w.memoryMB/float64(c.MemoryMB))
	}
	return time.Duration(min(ms, float64(maxExtrapolation.Milliseconds()))) * time.Millisecond
}

// maxExtrapolation bounds times that are extrapolated beyond the horizon.
const maxExtrapolation = time.Hour

// done returns the work that is left after some capacity has worked on it for a time.
func (w work) done(c Capacity, elapsed time.Duration) work {
	ms := float64(elapsed.Milliseconds())
	return work{max(0, w.milliCPU-ms*float64(c.MilliCPU)), max(0, w.memoryMB-ms*float64(c.MemoryMB))}
}
