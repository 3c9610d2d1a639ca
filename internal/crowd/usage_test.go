//go:build crowd && linux

package crowd

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// usage is what a process used at most.
type usage struct {
	memoryBytes     int64 // resident memory and bytes in the kernel's buffers, at one moment
	residentBytes   int64
	queuedBytes     int64 // received and not read, or written and not taken by the other side
	fileDescriptors int
}

// monitor measures a process until it is stopped.
type monitor struct {
	machine *machine
	done    chan struct{}
	stopped sync.WaitGroup
	most    usage
}

const sampleInterval = 25 * time.Millisecond

func watch(m *machine) *monitor {
	w := &monitor{machine: m, done: make(chan struct{})}
	w.stopped.Go(func() {
		for {
			w.sample()
			select {
			case <-w.done:
				return
			case <-time.After(sampleInterval):
			}
		}
	})
	return w
}

// sample measures the process once. A process that has ended isn't measured.
func (w *monitor) sample() {
	pid := w.machine.cmd.Process.Pid
	resident, err := residentBytes(pid)
	if err != nil {
		return
	}
	queued, err := queuedBytes(pid, w.machine.ports())
	if err != nil {
		return
	}
	w.most.residentBytes = max(w.most.residentBytes, resident)
	w.most.queuedBytes = max(w.most.queuedBytes, queued)
	w.most.memoryBytes = max(w.most.memoryBytes, resident+queued)
	if open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)); err == nil {
		w.most.fileDescriptors = max(w.most.fileDescriptors, len(open))
	}
}

// stop ends the measurement and checks that the process stayed within the limits of its machine.
func (w *monitor) stop(t *testing.T) {
	t.Helper()
	close(w.done)
	w.stopped.Wait()
	l := w.machine.cell.limits
	t.Logf("at most %.1f MB: %.1f MB resident, %.1f MB in the kernel's buffers; %d file descriptors",
		float64(w.most.memoryBytes)/(1<<20), float64(w.most.residentBytes)/(1<<20), float64(w.most.queuedBytes)/(1<<20), w.most.fileDescriptors)
	if most := int64(l.memoryMB) << 20; w.most.memoryBytes > most {
		t.Errorf("the process used %d bytes of memory, its machine has %d", w.most.memoryBytes, most)
	}
	if w.most.fileDescriptors > l.fileDescriptors {
		t.Errorf("the process used %d file descriptors, its machine has %d", w.most.fileDescriptors, l.fileDescriptors)
	}
}

// residentBytes returns the resident memory of a process.
func residentBytes(pid int) (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0, fmt.Errorf("statm: %q", data)
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()), err
}

// ports returns the ports on which the machine listens, in the form of /proc/net/tcp.
func (m *machine) ports() []string {
	var ports []string
	for _, address := range []string{m.settings.FrontAddress, m.settings.ReadinessAddress, fmt.Sprintf("127.0.0.1:%d", m.settings.PeerPort)} {
		_, text, _ := strings.Cut(address, ":")
		port, _ := strconv.Atoi(text)
		ports = append(ports, fmt.Sprintf(":%04X", port))
	}
	return ports
}

// queuedBytes returns the bytes in the kernel's buffers of the connections that a process has accepted at
// the given ports.
func queuedBytes(pid int, ports []string) (int64, error) {
	f, err := os.Open(fmt.Sprintf("/proc/%d/net/tcp", pid))
	if err != nil {
		return 0, err
	}
	defer f.Close()
	var total int64
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		// sl, local address, remote address, state, tx_queue:rx_queue in hexadecimal
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || fields[3] == "0A" || !hasPort(fields[1], ports) {
			continue
		}
		sent, received, _ := strings.Cut(fields[4], ":")
		tx, _ := strconv.ParseInt(sent, 16, 64)
		rx, _ := strconv.ParseInt(received, 16, 64)
		total += tx + rx
	}
	return total, lines.Err()
}

func hasPort(address string, ports []string) bool {
	for _, p := range ports {
		if strings.HasSuffix(address, p) {
			return true
		}
	}
	return false
}
