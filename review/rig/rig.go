package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the users' sheets that the cases use.
const (
	contact = 3 * time.Second
	visible = 3 * time.Second
)

// rig is one play: a small deployment and its stand-ins.
type rig struct {
	rec       *record
	trouble   bool
	folder    string // temporary
	store     *store
	executors []*executor
	ran       *execution
	machines  []*machine
	zones     []string
	client    *http.Client
	advice    *advice

	mu     sync.Mutex
	closed bool
}

// machine is one machine of the deployment with the project's process.
type machine struct {
	rig   *rig
	name  string
	zone  string
	ip    string
	ports [4]int // clients, readiness, and two for the processes among themselves
	path  string // of its settings file

	mu      sync.Mutex
	process *exec.Cmd
	log     *os.File
	exited  chan struct{}
}

func newRig(rec *record, trouble bool) (*rig, error) {
	folder, err := os.MkdirTemp("", "rig")
	if err != nil {
		return nil, err
	}
	transport := &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}
	r := &rig{rec: rec, trouble: trouble, folder: folder, ran: newExecution(), client: &http.Client{Transport: transport}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r.store = newStore(l)
	if l, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	r.advice = newAdvice(l)
	rec.line("disruption: %v", trouble)
	return r, nil
}

// addExecutors starts executors, by turns in all zones.
func (r *rig) addExecutors(n int, service string, withBorn bool) error {
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		e := newExecutor(l, fmt.Sprintf("i-%04x", 0x7f00+i), r.zones[i%len(r.zones)], fmt.Sprintf("r1-%d", i/executorRack), service, r.store, r.ran)
		e.mu.Lock()
		e.withBorn = withBorn
		e.advice = r.advice
		e.mu.Unlock()
		r.executors = append(r.executors, e)
	}
	return nil
}

// configure publishes a configuration, as the operator does.
func (r *rig) configure(version int, routes []map[string]any, services ...string) {
	var list []map[string]any
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "enforces_capacity": false})
	}
	r.store.put("keyed.op", "config", map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 60000},
	})
}

// addMachines prepares machines with addresses of their own and the same ports. Zones are as given.
func (r *rig) addMachines(perZone []int) error {
	n := 0
	for z, count := range perZone {
		zone := fmt.Sprintf("zone-%c", 'a'+z)
		r.zones = append(r.zones, zone)
		for i := range count {
			n++
			r.machines = append(r.machines, &machine{rig: r, name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, ip: fmt.Sprintf("127.0.0.%d", 10+n)})
		}
	}
	base, err := r.freePorts(4)
	if err != nil {
		return err
	}
	for _, m := range r.machines {
		for i := range m.ports {
			m.ports[i] = base + i
		}
		m.path = filepath.Join(r.folder, m.name+".toml")
		if err := os.WriteFile(m.path, []byte(m.settings()), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// freePorts returns the first of n consecutive ports that are free at the addresses of all machines. They lie below
// the range from which outgoing connections get theirs.
func (r *rig) freePorts(n int) (int, error) {
	for range 200 {
		base := 12000 + rand.IntN(15000)
		if r.allFree(base, n) {
			return base, nil
		}
	}
	return 0, fmt.Errorf("no %d free ports", n)
}

func (r *rig) allFree(base, n int) bool {
	for _, m := range r.machines {
		for i := range n {
			l, err := net.Listen("tcp", net.JoinHostPort(m.ip, strconv.Itoa(base+i)))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (m *machine) address(port int) string {
	return net.JoinHostPort(m.ip, strconv.Itoa(m.ports[port]))
}

// settings returns the settings file of the platform for a machine.
func (m *machine) settings() string {
	var b strings.Builder
	fmt.Fprintf(&b, "node = %q\nrole = \"entry\"\nmachine_class = \"front\"\nserves = [\"front\"]\nip = %q\nzone = %q\nregion = \"r1\"\n", m.name, m.ip, m.zone)
	fmt.Fprintf(&b, "internal_port_range = [%d,%d]\nseeds = []\nbootstrap = true\ncounts_in_tolerance = true\n", m.ports[2], m.ports[3])
	b.WriteString("discovery = \"platform\"\nentry = \"virtual_ip\"\nheartbeat_ms = 1500\norders = \"call\"\n")
	fmt.Fprintf(&b, "advice = %q\n", m.rig.advice.address)
	b.WriteString("contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"platform\",\"advice\"]\n[zones]\n")
	for _, z := range m.rig.zones {
		fmt.Fprintf(&b, "%s = \"r1\"\n", z)
	}
	fmt.Fprintf(&b, "[listen_addresses]\nfront = %q\nready = %q\n", m.address(0), m.address(1))
	b.WriteString("[limits]\ncpu_share = 0.4\ncores = 1\nmemory_mb = 284\nfile_descriptors = 4100\nlink_mbps = 1000.0\ndisk_mb = 0\n")
	b.WriteString("[fault_tolerance]\nmachines = 2\nzones = 1\nregions = 0\n")
	b.WriteString("[bounds]\ncontact_ms = 3000\nack_timeout_ms = 4000\ndrain_ms = 2000\ngrace_s = 6\nconfig_apply_ms = 2000\nmax_hold_ms = 10000\nstop_timeout_ms = 200\n")
	b.WriteString("gang_timeout_ms = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nfinish_s = 14\nstatus_s = 120\nremote_factor = 2\n")
	fmt.Fprintf(&b, "[platform]\naddress = %q\nform = \"log\"\nwrites_per_s = 800\nreads_per_s = 2000\nparts = 24\nappend_ms = 1.0\n", m.rig.store.address)
	b.WriteString("record_bytes = 262144\ncall_bytes = 2097152\nkeep_s = 300\npartition_mb = 200\nmin_ttl_ms = 1000\n")
	return b.String()
}

// start starts the process with the command of the deploy file.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(m.rig.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/skylarklock", "platform")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SKYLARKLOCK_SETTINGS=" + m.path}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it must not outlive the play
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.process, m.log, m.exited = cmd, log, exited
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process != nil {
		_ = m.process.Process.Signal(s)
	}
}

// startMachines starts all processes and waits until all are ready.
func (r *rig) startMachines() error {
	for _, m := range r.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	return r.awaitReady(20 * time.Second)
}

func (r *rig) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, m := range r.machines {
		for !m.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready after %v", m.name, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// ready asks the process for its readiness, as the platform does.
func (m *machine) ready() bool {
	resp, err := m.rig.client.Get("http://" + m.address(1) + "/v1/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// answer is the answer to a client's request; the status is 0 if there was none.
type answer struct {
	status int
	body   string
}

// request sends a client's request to a machine.
func (m *machine) request(method, host, path, body string, wait time.Duration) answer {
	req, err := http.NewRequest(method, "http://"+m.address(0)+path, strings.NewReader(body))
	if err != nil {
		return answer{}
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Skylarklock-Remaining-Milliseconds", strconv.FormatInt(wait.Milliseconds(), 10))
	client := *m.rig.client
	client.Timeout = wait
	resp, err := client.Do(req)
	if err != nil {
		return answer{}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{}
	}
	return answer{resp.StatusCode, string(bytes.TrimSpace(data))}
}

// close ends all processes of the play and removes its folder.
func (r *rig) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	r.closed = true
	for _, m := range r.machines {
		m.signal(syscall.SIGKILL)
	}
	for _, m := range r.machines {
		m.mu.Lock()
		exited := m.exited
		m.mu.Unlock()
		if exited != nil {
			<-exited
		}
	}
	if keep := os.Getenv("RIG_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(r.folder))
	}
	_ = os.RemoveAll(r.folder)
}

// newID returns a job's ID, as a client chooses it.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
