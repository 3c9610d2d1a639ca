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
	residentBytes   int64 // the kernel's record since the start of the process
	queuedBytes     int64 // received and not read, or written and not taken by the other side
	fileDescriptors int
	samples         int
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
	if resident, err := peakResidentBytes(pid); err == nil {
		w.most.residentBytes = max(w.most.residentBytes, resident)
	}
	if queued, err := queuedBytes(pid, w.machine.ports()); err == nil {
		w.most.queuedBytes = max(w.most.queuedBytes, queued)
		w.most.samples++
	}
	if open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)); err == nil {
		w.most.fileDescriptors = max(w.most.fileDescriptors, len(open))
	}
}

// stop ends the measurement and checks that the process stayed within the limits of its machine, even if its
// greatest resident memory and the fullest buffers fell on one moment.
func (w *monitor) stop(t *testing.T) {
	t.Helper()
	close(w.done)
	w.stopped.Wait()
	l := w.machine.cell.limits
	memory := w.most.residentBytes + w.most.queuedBytes
	t.Logf("at most %.1f MB: %.1f MB resident, %.1f MB in the kernel's buffers; %d file descriptors; %d samples",
		float64(memory)/(1<<20), float64(w.most.residentBytes)/(1<<20), float64(w.most.queuedBytes)/(1<<20), w.most.fileDescriptors, w.most.samples)
	if most := int64(l.memoryMB) << 20; memory > most {
		t.Errorf("the process used up to %d bytes of memory, its machine has %d", memory, most)
	}
	if w.most.fileDescriptors > l.fileDescriptors {
		t.Errorf("the process used %d file descriptors, its machine has %d", w.most.fileDescriptors, l.fileDescriptors)
	}
}

// peakResidentBytes returns the greatest resident memory that a process has had.
func peakResidentBytes(pid int) (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(data)) {
		if text, found := strings.CutPrefix(line, "VmHWM:"); found {
			kilobytes, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(text), " kB"), 10, 64)
			return kilobytes << 10, err
		}
	}
	return 0, fmt.Errorf("no VmHWM: %q", data)
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
