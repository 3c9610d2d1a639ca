package capacity

import (
	"bytes"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Factors that convert seconds to the units of costs.
const (
	microsPerSecond = 1e6
	msPerSecond     = 1e3
)

// heapBytes returns the bytes of live objects on the heap.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc)
}

// heapAndStackBytes returns the bytes of live objects on the heap and of goroutine
// stacks.
func heapAndStackBytes() float64 {
	heap := heapBytes()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return heap + float64(s.StackInuse)
}

// cpuSeconds returns the processor time that this process has used. Other load on
// the machine distorts it less than elapsed time, because it excludes the time in
// which the process didn't run.
func cpuSeconds() float64 {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u) // never fails for these arguments
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()).Seconds()
}

// measureCPUSeconds returns the processor seconds that f uses, including those of
// garbage collection.
func measureCPUSeconds(f func() error) (float64, error) {
	runtime.GC()
	before := cpuSeconds()
	err := f()
	return cpuSeconds() - before, err
}

// ioStatsPath is the file with the bytes that this process has read and written,
// sockets included.
const ioStatsPath = "/proc/self/io"

// writtenBytes returns the bytes that this process has written. As it contains both
// ends of every connection, these are the bytes on all connections in both
// directions, without TCP and IP headers.
func writtenBytes() (float64, error) {
	data, err := os.ReadFile(ioStatsPath)
	if err != nil {
		return 0, errors.Wrap(err, "bytes written")
	}
	for _, line := range bytes.Split(data, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, []byte("wchar: ")); ok {
			return strconv.ParseFloat(string(value), 64)
		}
	}
	return 0, errors.Newf("no wchar in %s", ioStatsPath)
}

// LoadAverage returns the one-minute load average of the machine, or "?" if it can't
// be read.
func LoadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "?"
	}
	first, _, _ := bytes.Cut(data, []byte(" "))
	return string(first)
}

// DescribeMachine returns the Go version, number of processors and platform that
// measurements run on.
func DescribeMachine() string {
	return fmt.Sprintf("%s, %d processors, %s/%s", runtime.Version(), runtime.NumCPU(), runtime.GOOS, runtime.GOARCH)
}
