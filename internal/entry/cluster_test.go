package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/history"
	"github.com/skylarklock/skylarklock/internal/logging"
	"github.com/skylarklock/skylarklock/internal/platform/httpendpoint"
	"github.com/skylarklock/skylarklock/internal/platform/httplog"
	"github.com/skylarklock/skylarklock/internal/platform/httpvmlist"
	"github.com/skylarklock/skylarklock/internal/platform/httpworker"
	"github.com/skylarklock/skylarklock/internal/schema"
	"github.com/skylarklock/skylarklock/internal/settings"
	"github.com/skylarklock/skylarklock/internal/standin/site"
)

// waitTimeout is the timeout of every wait. It is so long that no result depends on
// the speed of the machine.
const waitTimeout = 60 * time.Second

// meanServiceTime is the mean service time of an executor without faults.
const meanServiceTime = 5 * time.Millisecond

// defaultRequestTimeout is the timeout of callers' requests. It is longer than the
// hold duration.
const defaultRequestTimeout = 2 * time.Second

// minFaultDuration is the minimum duration of a fault. It is longer than the hold
// duration and the callers' timeout together, so that none of them covers a whole
// fault.
const minFaultDuration = 3 * time.Second

// serviceName is the name of the service that all tests call.
const serviceName = "torquebench"

// maxWorkAfterLeaving is the maximum time for which new work may start after a VM or
// endpoint was announced as leaving.
const maxWorkAfterLeaving = 5 * time.Second

// logLevel returns the log level of the nodes, from the environment variable
// LOG_LEVEL if it is set.
func logLevel() string {
	if level := os.Getenv("LOG_LEVEL"); level != "" {
		return level
	}
	return "error"
}

// process is one incarnation of an entry VM.
type process struct {
	*Node
	settings *settings.Settings
	stop     context.CancelFunc // starts the graceful shutdown
	done     chan error         // Run's result
	dead     atomic.Bool
}

func (p *process) callersAddress() string { return p.settings.Listen.Callers }

// cluster is a running site with its entry VMs and the recorded history.
type cluster struct {
	t        *testing.T
	site     *site.Site
	net      *network
	recorder *history.Recorder
	mu       sync.Mutex // guards nodes
	nodes    []*process
	log      *logrus.Logger
	http     *http.Client

	hanging     sync.Mutex
	lastHanging string // ID of the newest request of newHangingRequest

	requestRate    float64       // requests a second of each kind in traffic
	requestTimeout time.Duration // of each request
}

// startCluster starts two data centres with two entry VMs each and waits until all
// entry VMs serve requests.
func startCluster(t *testing.T) *cluster {
	t.Helper()
	t.Parallel()
	s, err := site.Start(site.Config{
		DataCentres: []api.DataCentre{"bne", "cas"}, VMsPerDataCentre: 4, VMsPerRack: 2,
		Capacity: api.Resources{MilliCPU: 4000, MemoryMB: 4096},
		Services: []site.Service{{Name: serviceName, ExecutorsPerDataCentre: 4, Slots: 8, Connections: 60, ServiceTime: meanServiceTime, Spread: 0.5}},
		Seed:     1,
	})
	must(t, err)
	log, err := logging.New(t.Output(), logLevel())
	must(t, err)
	c := &cluster{t: t, site: s, net: newNetwork(), recorder: history.NewRecorder(), log: log, http: &http.Client{Timeout: waitTimeout},
		requestRate: 30, requestTimeout: defaultRequestTimeout}
	t.Cleanup(c.close)
	all, err := s.EntrySettings(2)
	must(t, err)
	c.registerAddresses(all)
	for _, e := range all {
		e.Hold.Hold, e.Hold.Lease, e.Hold.Heartbeat = ms(600), ms(2000), ms(100)
		e.Log.AppendTimeout, e.Log.ReadTimeout, e.Log.ReadWait = ms(500), ms(500), ms(200)
		e.VMList.Interval, e.VMList.Timeout = ms(200), ms(500)
		e.ReadinessDelay, e.DrainDeadline = ms(200), settings.Duration(waitTimeout)
		must(t, e.Validate())
		c.nodes = append(c.nodes, c.run(e))
	}
	c.publish(c.nodes[0], "service", serviceName, 0, `{"max_attempts":3,"queue_ms":1000}`)
	c.awaitServing(c.nodes...)
	return c
}

// registerAddresses registers the peers' addresses with the network and makes all
// of them seeds.
func (c *cluster) registerAddresses(all []*settings.Settings) {
	var seeds []string
	for _, e := range all {
		c.net.names[e.AdvertisePeer] = e.NodeID
		seeds = append(seeds, e.AdvertisePeer)
	}
	for _, e := range all {
		e.Peers = seeds
	}
}

func ms(n int) settings.Duration { return settings.Duration(time.Duration(n) * time.Millisecond) }

// run starts a process with the given settings.
func (c *cluster) run(s *settings.Settings) *process {
	c.t.Helper()
	logs, err := httplog.NewClient(httplog.Config{BaseURL: s.Log.URLs[0]})
	must(c.t, err)
	c.net.revive(s.NodeID)
	n, err := NewWithAdapters(s, c.log, c.net.wrap(s.NodeID, Adapters{
		Log: logs, VMList: httpvmlist.New(s.VMList.URL), Worker: httpworker.New(workerDialTimeout),
		Endpoint: httpendpoint.New(httpendpoint.Config{}),
	}))
	must(c.t, err)
	ctx, stop := context.WithCancel(context.Background())
	p := &process{Node: n, settings: s, stop: stop, done: make(chan error, 1)}
	go func() { p.done <- n.Run(ctx) }()
	return p
}

// kill stops a process immediately. It can send nothing afterwards.
func (c *cluster) kill(p *process) {
	c.net.setDead(p.settings.NodeID)
	p.Abort()
	if err := <-p.done; !errors.Is(err, ErrAborted) {
		c.t.Errorf("%s: %v", p.settings.NodeID, err)
	}
	p.dead.Store(true)
}

// replace starts a new process with the settings of a dead one.
func (c *cluster) replace(p *process) *process {
	next := c.run(p.settings)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes[slices.Index(c.nodes, p)] = next
	return next
}

// shutDown shuts a process down gracefully and waits until it has stopped.
func (c *cluster) shutDown(p *process) {
	p.stop()
	if err := <-p.done; err != nil {
		c.t.Errorf("%s: %v", p.settings.NodeID, err)
	}
	p.dead.Store(true)
}

func (c *cluster) close() {
	c.net.heal()
	for _, p := range c.nodes {
		if !p.dead.Load() {
			c.kill(p)
		}
	}
	c.http.CloseIdleConnections()
	c.site.Close()
}

// liveProcesses returns the processes that have not been stopped.
func (c *cluster) liveProcesses() []*process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(c.nodes), func(p *process) bool { return p.dead.Load() })
}

// stopAndCheck shuts every process down gracefully and checks the recorded history
// for violations.
func (c *cluster) stopAndCheck() {
	c.t.Helper()
	var stops sync.WaitGroup
	for _, p := range c.liveProcesses() {
		stops.Go(func() { c.shutDown(p) })
	}
	stops.Wait()
	h := c.recorder.History()
	for _, vm := range c.site.VMs {
		h.Workers = append(h.Workers, c.site.Workers.VM(vm.ID).Record())
		for _, ep := range vm.Endpoints {
			h.Endpoints = append(h.Endpoints, history.Endpoint{Spec: ep, Record: c.site.Executors[ep.ID].Record()})
		}
	}
	h.End = time.Now()
	for _, v := range history.Check(h, history.Limits{MaxConnections: 60, LeavingGracePeriod: maxWorkAfterLeaving, MaxAttempts: 3}) {
		c.t.Error(v)
	}
}

// await waits until ok returns true, and otherwise fails the test.
func (c *cluster) await(what string, ok func() bool) {
	c.t.Helper()
	if !c.poll(ok) {
		c.t.Fatalf("timed out waiting for: %s", what)
	}
}

// poll reports whether ok returns true before the timeout.
func (c *cluster) poll(ok func() bool) bool {
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return false
}

// do sends one request to a node and returns its answer, or an error if there is
// no complete answer.
func (c *cluster) do(method, url, body string) (status int, outcome api.Outcome, answer []byte, err error) {
	req, err := http.NewRequest(method, url, bytes.NewReader([]byte(body)))
	must(c.t, err)
	req.GetBody = nil
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, "", nil, err
	}
	defer resp.Body.Close()
	answer, err = io.ReadAll(resp.Body)
	return resp.StatusCode, api.Outcome(resp.Header.Get(api.HeaderOutcome)), answer, err
}

// publish repeats the publication of a record through p until its outcome is known
// or p is dead, and records the publication.
func (c *cluster) publish(p *process, kind api.Kind, name string, basedOn api.Revision, spec string) api.PublishAnswer {
	body, err := json.Marshal(api.Record{Kind: kind, Name: name, SchemaVersion: schema.LatestVersion(kind), BasedOn: basedOn, Spec: json.RawMessage(spec)})
	must(c.t, err)
	done := history.Publication{Entry: string(p.settings.NodeID), Key: string(kind) + "/" + name, Value: spec, BasedOn: basedOn, Start: c.recorder.Now()}
	c.await("publication of "+done.Key, func() bool {
		_, _, answer, err := c.do(http.MethodPost, "http://"+p.settings.Listen.Operators+"/v1/records", string(body))
		if err != nil || json.Unmarshal(answer, &done.Answer) != nil {
			return p.dead.Load()
		}
		return done.Answer.Outcome == api.PublishAccepted || done.Answer.Outcome == api.PublishConflict
	})
	done.End = c.recorder.Now()
	c.recorder.AddPublication(done)
	return done.Answer
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
