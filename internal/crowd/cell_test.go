//go:build crowd && linux

package crowd

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/skylarklock/skylarklock/platform"
	"github.com/skylarklock/skylarklock/platform/standin"
)

// program is the path of the program under test, which is built without the race detector.
var program string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	program = filepath.Join(dir, "skylarklock")
	build := exec.Command("go", "build", "-buildvcs=false", "-o", program, "github.com/skylarklock/skylarklock/cmd/skylarklock")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, output)
		return 1
	}
	return m.Run()
}

// waitTimeout bounds each wait for an event that must happen. It isn't a requirement on speed.
const waitTimeout = 60 * time.Second

// eventually waits until check returns true and fails the test after waitTimeout.
func eventually(t *testing.T, what string, check func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if check() {
			return
		}
	}
	t.Fatalf("not within %v: %s", waitTimeout, what)
}

// limits are the limits of each machine of a cell.
type limits struct {
	memoryMB        int
	fileDescriptors int
}

// cell is a small cell of processes with stand-ins of the platform.
type cell struct {
	t         *testing.T
	limits    limits
	store     *standin.Store
	advice    *standin.Advice
	executors []*standin.Executor
	machines  []*machine
	jobs      int // submitted by ordinary clients
}

// maxBodyBytes is the limit of a request's body in the cell's configuration, in bytes.
const maxBodyBytes = 262144

const executorCount = 8

// startCell starts the given number of processes and waits until they are ready.
func startCell(t *testing.T, machines int, l limits) *cell {
	t.Helper()
	c := &cell{t: t, limits: l, store: standin.NewStore(), advice: standin.NewAdvice()}
	t.Cleanup(c.store.Server.CloseClientConnections)
	for i := range executorCount {
		e := standin.NewExecutor(fmt.Sprintf("i-%d", i))
		t.Cleanup(e.Server.CloseClientConnections)
		e.Register(c.store, "svc")
		c.executors = append(c.executors, e)
	}
	c.store.ConfigureMaxBody(1, "/q/", maxBodyBytes)
	for i := range machines {
		m := &machine{
			cell: c,
			settings: standin.Machine{
				Name: fmt.Sprintf("n%d", i), DataCentre: "z1",
				FrontAddress: freeAddress(t).String(), ReadinessAddress: freeAddress(t).String(), PeerPort: freeAddress(t).Port,
				StoreAddress: c.store.Address(), AdviceAddress: c.advice.Address(),
				MemoryMB: l.memoryMB, FileDescriptors: l.fileDescriptors, GraceSeconds: 6,
			},
			settingsPath: filepath.Join(t.TempDir(), "settings.toml"),
		}
		if err := os.WriteFile(m.settingsPath, []byte(m.settings.SettingsFile()), 0o600); err != nil {
			t.Fatal(err)
		}
		m.start()
		c.machines = append(c.machines, m)
	}
	for _, m := range c.machines {
		m.awaitReady()
	}
	return c
}

// Ports of the machines are below the kernel's range for outgoing connections.
const (
	firstPort = 20000
	portCount = 12000
)

// handedOut holds the ports that freeAddress has returned. One that is not in use yet looks free to the next call.
var handedOut = make(map[int]bool)

func freeAddress(t *testing.T) *net.TCPAddr {
	t.Helper()
	for range 1000 {
		port := firstPort + rand.N(portCount)
		if handedOut[port] {
			continue
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			handedOut[port] = true
			defer l.Close()
			return l.Addr().(*net.TCPAddr)
		}
	}
	t.Fatal("no free port")
	return nil
}

// machine is a machine of a cell with its process.
type machine struct {
	cell         *cell
	settings     standin.Machine
	settingsPath string

	cmd    *exec.Cmd
	log    *lastLines
	exited chan struct{} // closed when the process has ended
	err    error         // with which it ended; valid after exited is closed
}

// start starts the process with the machine's limit of file descriptors.
func (m *machine) start() {
	t := m.cell.t
	t.Helper()
	m.log = &lastLines{}
	cmd := exec.Command(program, "platform")
	cmd.Env = append(os.Environ(), platform.SettingsEnvVar+"="+m.settingsPath)
	cmd.Stdout, cmd.Stderr = m.log, m.log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	n := uint64(m.settings.FileDescriptors)
	if err := unix.Prlimit(cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: n, Max: n}, nil); err != nil {
		t.Fatal(err)
	}
	exited := make(chan struct{})
	m.cmd, m.exited = cmd, exited
	go func() {
		m.err = cmd.Wait()
		close(exited)
	}()
	t.Cleanup(func() { m.kill() })
}

// kill ends the process at once.
func (m *machine) kill() {
	_ = m.cmd.Process.Kill() // may have ended
	<-m.exited
}

// stop asks the process to stop and returns the error with which it ended.
func (m *machine) stop() error {
	if err := m.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	<-m.exited
	return m.err
}

func (m *machine) running() bool {
	select {
	case <-m.exited:
		return false
	default:
		return true
	}
}

func (m *machine) awaitReady() {
	m.cell.t.Helper()
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	eventually(m.cell.t, m.settings.Name+" is ready", func() bool {
		if !m.running() {
			m.cell.t.Fatalf("%s ended before it was ready: %v\n%s", m.settings.Name, m.err, m.log)
		}
		resp, err := client.Get("http://" + m.settings.ReadinessAddress + platform.ReadinessPath)
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// dropped returns the process's counters of connections and requests that it has dropped.
func (m *machine) dropped() string {
	resp, err := http.Get("http://" + m.settings.ReadinessAddress + "/debug/vars/clients")
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	return string(text)
}

// clientTimeout is how long an ordinary client waits for an answer.
const clientTimeout = 3 * time.Second

// awaitServed submits a job as an ordinary client does, which repeats its request until it is accepted.
func (m *machine) awaitServed(when string) {
	m.cell.t.Helper()
	m.cell.jobs++
	m.awaitAccepted(when, fmt.Sprintf("00000000000f%04x", m.cell.jobs), standin.Submission("1ms", 1))
}

func (m *machine) awaitAccepted(when, id, body string) {
	m.cell.t.Helper()
	client := &http.Client{Timeout: clientTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	var outcomes []string // of the requests that were not accepted
	defer func() {
		if len(outcomes) > 0 {
			m.cell.t.Logf("%d requests not accepted %s, the last one: %s", len(outcomes), when, outcomes[len(outcomes)-1])
		}
		if m.cell.t.Failed() {
			m.cell.t.Logf("log of %s:\n%s", m.settings.Name, m.log)
		}
	}()
	eventually(m.cell.t, "a request is accepted "+when, func() bool {
		if !m.running() {
			m.cell.t.Fatalf("the process ended %s: %v\n%s", when, m.err, m.log)
		}
		req, err := http.NewRequest(http.MethodPost, "http://"+m.settings.FrontAddress+"/q/"+id, strings.NewReader(body))
		if err != nil {
			m.cell.t.Fatal(err)
		}
		req.Host = standin.Host
		resp, err := client.Do(req)
		if err != nil {
			outcomes = append(outcomes, err.Error())
			return false
		}
		defer resp.Body.Close()
		_, _ = io.Copy(io.Discard, resp.Body) // the status counts
		if resp.StatusCode/100 != 2 {
			outcomes = append(outcomes, resp.Status)
			return false
		}
		return true
	})
}

// lastLines keeps the last bytes that a process has written.
type lastLines struct {
	mu   sync.Mutex
	text []byte
}

const maxLastLines = 8 << 10 // bytes

// Write implements io.Writer.
func (l *lastLines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text = append(l.text, p...)
	if extra := len(l.text) - maxLastLines; extra > 0 {
		l.text = append(l.text[:0], l.text[extra:]...)
	}
	return len(p), nil
}

// String implements fmt.Stringer.
func (l *lastLines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return string(l.text)
}
