package filter

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/journal"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/reqkey"
)

// testCluster is a data centre of entry VMs with one log and one pool of
// executors. fault returns how each call of an interface fails, and "" for no
// fault.
type testCluster struct {
	mu            sync.Mutex
	entries       []journal.Entry // of the log
	late          []journal.Entry // unsettled, appended before the next entry
	logs          []*nodeLog
	chains        map[api.NodeID]*Chain
	all           []*Chain // including earlier incarnations
	down          map[api.NodeID]bool
	blockEndpoint chan struct{}  // when set, the endpoint waits until it is closed
	counts        map[string]int // runs by ID, body and receipt, tickets held, and the counts of Counters
	fault         func(site string) string
	limits        api.LimitsSpec
	settings      Settings
	delay         time.Duration // of an executor's answer
	spec          api.ServiceSpec
}

func newTestCluster(nodes ...api.NodeID) *testCluster {
	w := &testCluster{
		chains: make(map[api.NodeID]*Chain),
		down:   make(map[api.NodeID]bool),
		counts: make(map[string]int),
		delay:  5 * time.Millisecond,
		fault:  func(string) string { return "" },
		spec:   api.ServiceSpec{Service: "svc", TimeoutMs: 1000, MaxAttempts: 3, RetryBudget: 1},
	}
	for _, node := range nodes {
		w.start(node, "east", []api.DataCentre{"east"})
	}
	return w
}

// start starts a new incarnation of node, which reads the whole log.
func (w *testCluster) start(node api.NodeID, dc api.DataCentre, dcs []api.DataCentre) *Chain {
	w.mu.Lock()
	defer w.mu.Unlock()
	l := &nodeLog{w: w, machine: reqkey.NewStateMachine()}
	_ = l.read()
	w.logs = append(w.logs, l)
	self := journal.Origin{Node: node, Incarnation: api.Incarnation(len(w.logs))}
	settings := w.settings
	settings.Node, settings.DataCentre, settings.DataCentres = node, dc, dcs
	c := New(settings, Deps{
		Router: w, Endpoint: w, Peers: &fakePeers{w, node}, Services: w, Limits: w, Counters: w,
		Keys: reqkey.NewKeys(l.machine, l, self, reqkey.DefaultMaxBodyBytes), Now: time.Now, Log: &logrus.Logger{Out: io.Discard, Formatter: &logrus.TextFormatter{}},
	})
	c.Gate().SetReady(true)
	w.chains[node] = c
	w.all = append(w.all, c)
	return c
}

// close waits for the appends that the chains have in progress.
func (w *testCluster) close() {
	for _, c := range w.all {
		_ = c.Close(context.Background())
	}
}

// nodeLog is one incarnation's view of the log. It lags behind the entries of
// other writers when the fault "lag" is set, and always while disconnected.
type nodeLog struct {
	w            *testCluster
	machine      *reqkey.StateMachine
	applied      int
	disconnected bool
}

// read applies the new entries and returns the result of the last one. The
// caller holds w.mu.
func (l *nodeLog) read() (err error) {
	for ; l.applied < len(l.w.entries); l.applied++ {
		err = l.machine.Apply(journal.Position{}, l.w.entries[l.applied])
	}
	return err
}

// Propose implements journal.Proposer. Late entries are appended before newer
// ones.
func (l *nodeLog) Propose(_ context.Context, e journal.Entry) error {
	w := l.w
	fault := w.fault("log")
	if fault == "slow" {
		time.Sleep(20 * time.Millisecond)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch fault {
	case "down":
		return journal.ErrNotWritten
	case "late":
		w.late = append(w.late, e)
		return journal.ErrUnsettled
	case "lost":
		return journal.ErrUnsettled
	}
	w.entries = append(w.entries, w.late...)
	w.entries = append(w.entries, e)
	w.late = nil
	for _, other := range w.logs {
		if other != l && !other.disconnected && w.fault("lag") == "" {
			_ = other.read()
		}
	}
	if fault == "landed" {
		return journal.ErrUnsettled
	}
	return l.read()
}

// Attempt implements platform.Endpoint and counts what ran.
func (w *testCluster) Attempt(ctx context.Context, ep api.Endpoint, _ api.Epoch, req *api.Request, _ int64) (*api.Answer, platform.Feedback, error) {
	fault := w.fault("endpoint")
	if fault == "panic" {
		panic("injected")
	}
	if fault == "refuse" {
		return nil, platform.Feedback{}, &platform.AttemptError{Certainty: platform.CertainNotRun, Reason: api.ReasonConnectFailed, Endpoint: ep.ID}
	}
	if fault != "lost" {
		w.add("ran/"+req.ID, 1)
		w.add("ran/"+string(answerBody(req)), 1)
		w.add("receipt/"+req.Header["Receipt"], 1)
	}
	if w.blockEndpoint != nil {
		select {
		case <-w.blockEndpoint:
		case <-ctx.Done():
			fault = "broken"
		}
	}
	time.Sleep(w.delay)
	switch fault {
	case "broken", "lost":
		return nil, platform.Feedback{}, &platform.AttemptError{Certainty: platform.MayHaveRun, Reason: api.ReasonAnswerBroken, Endpoint: ep.ID}
	case "strange":
		return nil, platform.Feedback{}, errors.New("untyped")
	}
	return &api.Answer{Status: http.StatusOK, Body: answerBody(req), Endpoint: ep.ID}, platform.Feedback{}, nil
}

func answerBody(req *api.Request) []byte { return []byte(req.ID + "=" + string(req.Body)) }

// FreeSlots, Check and Acquire implement Router.
func (w *testCluster) FreeSlots(string) int {
	if w.fault("room") != "" {
		return 0
	}
	return 8
}

func (w *testCluster) Check(context.Context, string, api.Class, string) *api.Refusal {
	if reason := w.fault("check"); reason != "" {
		return api.NotRun(api.Reason(reason), time.Second, "fake")
	}
	return nil
}

func (w *testCluster) Acquire(_ context.Context, _ string, _ api.Class, _ string, exclude []api.EndpointID) (Ticket, error) {
	if reason := w.fault("router"); reason != "" {
		return nil, api.NotRun(api.Reason(reason), time.Second, "fake")
	}
	w.add("tickets", 1)
	return &fakeTicket{w: w, id: api.EndpointID(fmt.Sprint("e", len(exclude)))}, nil
}

type fakeTicket struct {
	w  *testCluster
	id api.EndpointID
}

func (t *fakeTicket) Endpoint() api.Endpoint { return api.Endpoint{ID: t.id} }
func (t *fakeTicket) Epoch() api.Epoch       { return 1 }
func (t *fakeTicket) Valid(time.Time) bool   { return t.w.fault("hold") == "" }
func (t *fakeTicket) Done(Result)            { t.w.add("tickets", -1) }

type fakePeers struct {
	w    *testCluster
	self api.NodeID
}

func (p *fakePeers) Candidates(string) []PeerLoad {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	var loads []PeerLoad
	for _, node := range slices.Sorted(maps.Keys(p.w.chains)) {
		if c := p.w.chains[node]; node != p.self && c.settings.DataCentre == p.w.chains[p.self].settings.DataCentre {
			if p.w.fault("peer-room") == "" {
				loads = append(loads, PeerLoad{Node: node, FreeSlots: 1})
			}
		}
	}
	return loads
}

func (p *fakePeers) EntryVMs(dc api.DataCentre) []api.NodeID { return []api.NodeID{api.NodeID(dc)} }

// reach returns the peer. lost is set if the peer's reply will be lost, and err if
// the peer is unreachable.
func (p *fakePeers) reach(node api.NodeID) (c *Chain, lost, err error) {
	p.w.mu.Lock()
	c = p.w.chains[node]
	down := p.w.down[node]
	p.w.mu.Unlock()
	fault := p.w.fault("peer")
	if down || c == nil || fault == "unreachable" {
		return nil, nil, &PeerError{Node: node, Cause: errors.New("no connection")}
	}
	if fault == "lost" {
		lost = &PeerError{Node: node, Sent: true, Cause: errors.New("connection broke")}
	}
	return c, lost, nil
}

func (p *fakePeers) Forward(ctx context.Context, node api.NodeID, req *ForwardRequest) (*ForwardReply, error) {
	c, lost, err := p.reach(node)
	if err != nil {
		return nil, err
	}
	own := *req
	reply := c.ServeForward(context.WithoutCancel(ctx), &own)
	return reply, lost
}

func (p *fakePeers) AnswerOf(ctx context.Context, node api.NodeID, q *AnswerQuery) (*AnswerReply, error) {
	c, lost, err := p.reach(node)
	if err == nil && lost == nil {
		return c.AnswerOf(ctx, q), nil
	}
	return nil, cmp.Or(err, lost)
}

func (w *testCluster) Service(name string) (api.ServiceSpec, bool) {
	return w.spec, name == w.spec.Service
}
func (w *testCluster) CallerLimits(string) api.LimitsSpec { return w.limits }

func (w *testCluster) Inc(group string, reason api.Reason) { w.add(group+"/"+string(reason), 1) }

func (w *testCluster) add(name string, n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts[name] += n
}

func (w *testCluster) count(name string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.counts[name]
}

// call is one request of a caller.
type call struct {
	node       api.NodeID
	id, body   string
	caller     string
	receipt    string
	idempotent bool
}

func (w *testCluster) send(ctx context.Context, k call) (*api.Answer, *api.Refusal) {
	header := http.Header{
		api.HeaderRequestID:  {k.id},
		api.HeaderCaller:     {k.caller},
		api.HeaderIdempotent: {fmt.Sprint(k.idempotent)},
	}
	w.mu.Lock()
	c := w.chains[k.node]
	w.mu.Unlock()
	answer, err := c.Handle(ctx, &Exchange{Header: header, Request: &api.Request{
		Service: "svc", Method: "POST", Path: "/x", Body: []byte(k.body), Header: map[string]string{"Receipt": k.receipt},
	}})
	if err != nil {
		return nil, asRefusal(err)
	}
	return answer, nil
}

// summarize returns a response in short form: the body, or outcome and reason.
func summarize(answer *api.Answer, refusal *api.Refusal) string {
	if refusal != nil {
		return string(refusal.Outcome) + " " + string(refusal.Reason)
	}
	return string(answer.Body)
}
