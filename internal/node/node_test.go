package node

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/logging"
	"github.com/skylarklock/skylarklock/platform"
	"github.com/skylarklock/skylarklock/platform/standin"
)

// patience bounds how long a test waits for something that has to come; it
// says nothing about speed.
const patience = 30 * time.Second

// outside is the users' platform as stand-ins.
type outside struct {
	store     *standin.Store
	advice    *standin.Advice
	executors []*standin.Executor
}

func newOutside(t *testing.T, executors int) *outside {
	t.Helper()
	o := &outside{store: standin.NewStore(), advice: standin.NewAdvice()}
	t.Cleanup(o.store.Server.CloseClientConnections)
	for i := range executors {
		e := standin.NewExecutor(fmt.Sprintf("i-%d", i))
		t.Cleanup(e.Server.CloseClientConnections)
		e.Register(o.store, "svc")
		o.executors = append(o.executors, e)
	}
	o.store.Configure(1, "/q/")
	return o
}

// starts returns how often each task was started, over all executors.
func (o *outside) starts() map[string]int {
	n := make(map[string]int)
	for _, e := range o.executors {
		for _, task := range e.Started() {
			n[task]++
		}
	}
	return n
}

// firstPort is below the range from which the kernel takes ports for
// connections, so that none of these takes a listener's place.
const firstPort = 20100

var nextPort = firstPort

func address(t *testing.T) string {
	t.Helper()
	for range 1000 {
		nextPort++
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", nextPort))
		if err == nil {
			defer l.Close()
			return l.Addr().String()
		}
	}
	t.Fatal("no free port")
	return ""
}

// process is a node that runs.
type process struct {
	node     *Node
	settings *platform.Settings
	stop     context.CancelFunc
	done     chan error
}

func (o *outside) start(t *testing.T, name string) *process {
	t.Helper()
	s := &platform.Settings{
		Node: api.NodeID(name), DataCentre: "z1",
		FrontAddress: address(t), ReadinessAddress: address(t), PeerAddress: address(t),
		StoreAddress: o.store.Address(), AdviceAddress: o.advice.Address(),
		MemoryBytes: 1 << 28, MaxLease: 10 * time.Second,
		Grace: 2 * time.Second, JobStateRetention: time.Minute, DrainDelay: 2 * time.Second,
	}
	ctx, stop := context.WithCancel(context.Background())
	n := New(s, logging.Nop())
	p := &process{node: n, settings: s, stop: stop, done: make(chan error, 1)}
	go func() { p.done <- n.Run(ctx) }()
	t.Cleanup(stop)
	return p
}

// ask makes a client's request and returns status and body.
func (p *process) ask(t *testing.T, method, path, body string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+p.settings.FrontAddress+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = standin.Host
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(data)
}

// eventually waits until check holds.
func eventually(t *testing.T, what string, check func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if check() {
			return
		}
	}
	t.Fatalf("not within %v: %s", patience, what)
}

func (p *process) awaitReady(t *testing.T) {
	t.Helper()
	eventually(t, "process is ready", func() bool {
		resp, err := http.Get("http://" + p.settings.ReadinessAddress + platform.ReadinessPath)
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

func (p *process) submit(t *testing.T, id, spec string, tasks int) {
	t.Helper()
	body := standin.Submission(spec, tasks)
	eventually(t, "job is accepted", func() bool {
		status, _ := p.ask(t, http.MethodPost, "/q/"+id, body)
		return status == http.StatusOK
	})
}

func (p *process) awaitState(t *testing.T, id, state string) {
	t.Helper()
	eventually(t, "job "+id+" is "+state, func() bool {
		status, body := p.ask(t, http.MethodGet, "/q/"+id, "")
		return status == http.StatusOK && body == `{"state":"`+state+`"}`
	})
}

func TestJobRunsOnceAndIsKnownEverywhere(t *testing.T) {
	o := newOutside(t, 2)
	a, b := o.start(t, "a"), o.start(t, "b")
	a.awaitReady(t)
	b.awaitReady(t)
	const id = "00000000000000a1"
	a.submit(t, id, "20ms", 5)
	b.submit(t, id, "20ms", 5) // the same job once more
	a.awaitState(t, id, "completed")
	b.awaitState(t, id, "completed")
	starts := o.starts()
	if len(starts) != 5 {
		t.Fatalf("tasks started: %v", starts)
	}
	for task, n := range starts {
		if n != 1 {
			t.Errorf("task %s was started %d times", task, n)
		}
	}
}

func TestFailedAndCancelledJobs(t *testing.T) {
	o := newOutside(t, 1)
	a := o.start(t, "a")
	a.awaitReady(t)
	a.submit(t, "00000000000000b1", "not a duration, so it fails", 1)
	a.awaitState(t, "00000000000000b1", "failed")
	if n := o.starts()["00000000000000b1.0.0.0"]; n != 2 {
		t.Errorf("a task with two attempts was started %d times", n)
	}
	a.submit(t, "00000000000000b2", "10m", 2)
	a.awaitState(t, "00000000000000b2", "running")
	if status, _ := a.ask(t, http.MethodDelete, "/q/00000000000000b2", ""); status != http.StatusOK {
		t.Fatalf("cancel was answered %d", status)
	}
	a.awaitState(t, "00000000000000b2", "cancelled")
}

func TestLeaderIsReplacedAndNothingRunsTwice(t *testing.T) {
	o := newOutside(t, 2)
	first := o.start(t, "a")
	first.awaitReady(t)
	const id = "00000000000000c1"
	first.submit(t, id, "2s", 4)
	eventually(t, "all tasks are started", func() bool { return len(o.starts()) == 4 })
	second := o.start(t, "b")
	second.awaitReady(t)
	first.stop()
	second.submit(t, "00000000000000c2", "20ms", 2)
	second.awaitState(t, "00000000000000c2", "completed")
	second.awaitState(t, id, "completed")
	for task, n := range o.starts() {
		if n != 1 {
			t.Errorf("task %s was started %d times", task, n)
		}
	}
	if err := <-first.done; err != nil {
		t.Errorf("graceful stop: %v", err)
	}
}

func TestStoreOutage(t *testing.T) {
	o := newOutside(t, 1)
	a := o.start(t, "a")
	a.awaitReady(t)
	a.submit(t, "00000000000000d1", "20ms", 1)
	a.awaitState(t, "00000000000000d1", "completed")
	o.store.SetFault(standin.FaultDown)
	status, body := a.ask(t, http.MethodPost, "/q/00000000000000d2", `{"specification":"1ms","steps":[{"count":1}]}`)
	if status != http.StatusServiceUnavailable {
		t.Fatalf("a job was answered %d %s without a store", status, body)
	}
	a.awaitState(t, "00000000000000d1", "completed") // what is known is told
	o.store.SetFault(standin.FaultNone)
	a.submit(t, "00000000000000d3", "20ms", 1)
	a.awaitState(t, "00000000000000d3", "completed")
	if n := o.starts()["00000000000000d2.0.0.0"]; n != 0 {
		t.Errorf("a job that was refused was started %d times", n)
	}
}

func TestLostStoreAnswers(t *testing.T) {
	o := newOutside(t, 2)
	a := o.start(t, "a")
	a.awaitReady(t)
	o.store.SetFault(standin.FaultLoseAnswers)
	for i := range 5 {
		a.submit(t, fmt.Sprintf("00000000000000e%d", i), "5ms", 2)
	}
	for i := range 5 {
		a.awaitState(t, fmt.Sprintf("00000000000000e%d", i), "completed")
	}
	for task, n := range o.starts() {
		if n != 1 {
			t.Errorf("task %s was started %d times", task, n)
		}
	}
}

func TestInvalidRequestsAreRejected(t *testing.T) {
	o := newOutside(t, 1)
	a := o.start(t, "a")
	a.awaitReady(t)
	const id = "/q/00000000000000f1"
	for _, c := range []struct {
		name, method, path, body string
		status                   int
		says                     string
	}{
		{"no JSON", http.MethodPost, id, "{", http.StatusBadRequest, "JSON"},
		{"no steps", http.MethodPost, id, `{"specification":"x"}`, http.StatusBadRequest, "steps"},
		{"specification too long", http.MethodPost, id, `{"specification":"` + strings.Repeat("x", 4001) + `","steps":[{"count":1}]}`, http.StatusBadRequest, "specification"},
		{"step waits for itself", http.MethodPost, id, `{"steps":[{"count":1,"after":[0]}]}`, http.StatusBadRequest, "after"},
		{"step waits for a later one", http.MethodPost, id, `{"steps":[{"count":1,"after":[1]},{"count":1}]}`, http.StatusBadRequest, "after"},
		{"no tasks", http.MethodPost, id, `{"steps":[{"count":0}]}`, http.StatusBadRequest, "count"},
		{"what isn't built", http.MethodPost, id, `{"steps":[{"count":1,"fills":true}]}`, http.StatusServiceUnavailable, "not supported"},
		{"body too large", http.MethodPost, id, `{"specification":"` + strings.Repeat("x", 100001) + `"}`, http.StatusRequestEntityTooLarge, "100000"},
		{"bad id", http.MethodPost, "/q/xyz", `{"steps":[{"count":1}]}`, http.StatusBadRequest, "16 hexadecimal"},
		{"no such queue", http.MethodGet, "/other/", "", http.StatusNotFound, "no such queue"},
		{"no such job", http.MethodGet, id, "", http.StatusGone, "no such job"},
		{"other method", http.MethodPut, id, "", http.StatusMethodNotAllowed, "GET"},
	} {
		status, body := a.ask(t, c.method, c.path, c.body)
		if status != c.status || !strings.Contains(body, c.says) {
			t.Errorf("%s: answered %d %s, want %d and %q", c.name, status, body, c.status, c.says)
		}
	}
	if n := len(o.starts()); n != 0 {
		t.Errorf("%d tasks were started", n)
	}
}

func TestConfigurationNeverReverts(t *testing.T) {
	o := newOutside(t, 1)
	a := o.start(t, "a")
	a.awaitReady(t)
	o.store.Configure(5, "/new/")
	eventually(t, "the new queue is there", func() bool {
		status, _ := a.ask(t, http.MethodGet, "/new/", "")
		return status == http.StatusOK
	})
	o.store.Configure(4, "/q/")
	o.store.Configure(6, "/newest/")
	eventually(t, "a later version is in force", func() bool {
		status, _ := a.ask(t, http.MethodGet, "/newest/", "")
		return status == http.StatusOK
	})
	if status, _ := a.ask(t, http.MethodGet, "/q/", ""); status != http.StatusNotFound {
		t.Errorf("a queue of an earlier version is answered %d", status)
	}
}
