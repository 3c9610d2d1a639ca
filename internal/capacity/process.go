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

// Units of costs.
const (
	microseconds = 1e6
	milliseconds = 1e3
)

// heapBytes returns the bytes of live objects.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc)
}

// liveBytes returns the bytes of live objects and of goroutines' stacks.
func liveBytes() float64 {
	heap := heapBytes()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return heap + float64(s.StackInuse)
}

// processorSeconds returns the processor time that this process has used. It
// counts only what ran, so that other load on the machine weighs less than
// on the time that passed.
func processorSeconds() float64 {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u) // never fails for these arguments
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()).Seconds()
}

// processorTime returns the seconds of processor time that f uses, garbage
// collection included.
func processorTime(f func() error) (float64, error) {
	runtime.GC()
	before := processorSeconds()
	err := f()
	return processorSeconds() - before, err
}

// ioFile counts what a process reads and writes, sockets included.
const ioFile = "/proc/self/io"

// writtenBytes returns the bytes that this process has written. With both
// ends of every connection in it, these are the bytes on all connections,
// both ways, without the headers of TCP and IP.
func writtenBytes() (float64, error) {
	data, err := os.ReadFile(ioFile)
	if err != nil {
		return 0, errors.Wrap(err, "bytes written")
	}
	for _, line := range bytes.Split(data, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, []byte("wchar: ")); ok {
			return strconv.ParseFloat(string(value), 64)
		}
	}
	return 0, errors.Newf("no wchar in %s", ioFile)
}

// LoadAverage returns the machine's load average over one minute, or "?".
func LoadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "?"
	}
	first, _, _ := bytes.Cut(data, []byte(" "))
	return string(first)
}

// DescribeMachine describes what the figures were taken on.
func DescribeMachine() string {
	return fmt.Sprintf("%s, %d processors, %s/%s", runtime.Version(), runtime.NumCPU(), runtime.GOOS, runtime.GOARCH)
}
