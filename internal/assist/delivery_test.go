package assist

import (
	"context"
	"fmt"
	"net"
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/leader"
	"github.com/skylarklock/skylarklock/internal/logging"
	"github.com/skylarklock/skylarklock/internal/peer"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/refusal"
	"github.com/skylarklock/skylarklock/internal/replica"
	"github.com/skylarklock/skylarklock/internal/work"
)

// FormerDelivery is Delivery as the build before Delivery.Refused declares it.
type FormerDelivery struct {
	_           struct{} `cbor:",toarray"`
	Leader      leader.Leader
	LastRenewal leader.Renewal
	Span        replica.Span
	Jobs        work.Summaries
	End         platform.Offset
	Role        Role
	Machines    []Attachment
	CutOff      bool
}

func testDelivery(refused *refusal.News) *Delivery {
	return &Delivery{
		Leader: leader.Leader{Epoch: 3, Node: "l", Address: "l:1"}, Span: replica.Span{From: 4, To: 9}, End: 9,
		Jobs: work.PackSummaries([]work.Summary{{ID: work.ID{1}, Queue: "q", Workspace: 1 << 63}}), Role: Standby, CutOff: true,
		Machines: []Attachment{{Node: "a", Address: "a:1"}}, Refused: refused,
	}
}

func testNews() *refusal.News {
	return &refusal.News{AtMs: 12, Refused: []refusal.Entry{{Queue: "q", Workspace: 1 << 63, CapacityMs: 2000, SpreadMs: 3000, IntervalMs: 8000, Processing: 1, Memory: 2, ObjectiveMs: 3}}}
}

// Guards against a delivery that another build can't decode: machines of the previous build lead and
// follow beside those of this one, and a later build may add fields.
func TestDeliveriesBetweenBuilds(t *testing.T) {
	encode := func(v any) []byte {
		data, err := cbor.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	decode := func(data []byte) *Delivery {
		var d Delivery
		if err := cbor.Unmarshal(data, &d); err != nil {
			t.Fatal(err)
		}
		return &d
	}
	for _, news := range []*refusal.News{nil, testNews()} {
		if got := decode(encode(testDelivery(news).wireForm())); !reflect.DeepEqual(got, testDelivery(news)) {
			t.Errorf("decoded %+v, want %+v", got, testDelivery(news))
		}
	}
	var former FormerDelivery
	if err := cbor.Unmarshal(encode(testDelivery(nil).wireForm()), &former); err != nil || former.Leader.Epoch != 3 || !former.CutOff {
		t.Errorf("the previous build decodes %+v, error %v", former, err)
	}
	if got := decode(encode(&former)); !reflect.DeepEqual(got, testDelivery(nil)) {
		t.Errorf("delivery of the previous build decoded as %+v", got)
	}
	var later []any
	if err := cbor.Unmarshal(encode(testDelivery(testNews()).wireForm()), &later); err != nil {
		t.Fatal(err)
	}
	if got := decode(encode(append(later, "a field of a later build"))); !reflect.DeepEqual(got, testDelivery(testNews())) {
		t.Errorf("delivery of a later build decoded as %+v", got)
	}
}

// formerMachine is a machine of the previous build: it refuses deliveries with Delivery.Refused.
type formerMachine struct {
	fakeMachine
	down            bool
	calls, refusals int
}

func (m *formerMachine) Call(ctx context.Context, address, method string, args, reply any) error {
	m.calls++
	if m.down {
		return fmt.Errorf("%w: connection refused", peer.ErrNotSent)
	}
	data, err := cbor.Marshal(args)
	if err != nil {
		return err
	}
	if err := cbor.Unmarshal(data, &FormerDelivery{}); err != nil {
		m.refusals++
		return fmt.Errorf("%w: %w", peer.ErrNotSent, err)
	}
	return m.fakeMachine.Call(ctx, address, method, args, reply)
}

// Guards against a machine of the previous build getting no deliveries while the leader refuses a queue,
// and against a second call for each delivery to it. A machine that could not be reached is sent the list
// again.
func TestMachineOfThePreviousBuildGetsDeliveries(t *testing.T) {
	m := &formerMachine{}
	p := newTestPublisher(&m.fakeMachine, 0)
	p.cfg.Caller = m
	ctx := t.Context()
	m.down = true
	if _, ok := p.callDeliver(ctx, p.attachment, *testDelivery(testNews())); ok || !p.knowsRefused("a", time.Now()) {
		t.Error("a machine that was not reached counts as one of the previous build")
	}
	m.down, m.calls = false, 0
	if _, ok := p.callDeliver(ctx, p.attachment, *testDelivery(testNews())); !ok || m.calls != 2 || m.refusals != 1 {
		t.Errorf("delivered %v after %d calls, %d refused; want a second call without the list", ok, m.calls, m.refusals)
	}
	now := time.Now()
	if p.knowsRefused("a", now) || !p.knowsRefused("a", now.Add(refusedFieldRetry)) {
		t.Error("want deliveries without the list for refusedFieldRetry")
	}
}

// fixedReceiver knows the states of jobs up to a position.
type fixedReceiver struct {
	Receiver
	position platform.Offset
}

func (r fixedReceiver) Deliver(replica.Span, []work.Summary, platform.Offset) platform.Offset {
	return r.position
}
func (r fixedReceiver) ContentPosition() (platform.Offset, bool) { return 0, false }
func (r fixedReceiver) KeepContent()                             {}

// fixedElector knows one epoch.
type fixedElector struct {
	Elector
	epoch api.Epoch
}

func (e fixedElector) ObserveLeader(leader.Leader) api.Epoch { return e.epoch }
func (fixedElector) ObserveRenewal(api.Epoch, leader.Renewal) {
}

// Guards against refusing a job that is stored but unknown here, and against the list of a former leader.
func TestListCountsOnlyWithAllJobsKnown(t *testing.T) {
	for _, c := range []struct {
		name     string
		position platform.Offset
		epoch    api.Epoch
		calls    int
		taken    bool
	}{
		{"all jobs known", 9, 3, 1, true},
		{"some jobs unknown", 8, 3, 1, false},
		{"later leader known", 9, 4, 0, false},
	} {
		calls := 0
		var taken *refusal.News
		h := &Handler{
			Receiver: fixedReceiver{position: c.position}, Elector: fixedElector{epoch: c.epoch}, Peers: NewPeers("self", nil, nil),
			SetRefused: func(_ api.Epoch, news *refusal.News) { calls++; taken = news },
		}
		if err := h.Deliver(testDelivery(testNews()), &DeliveryAnswer{}); err != nil {
			t.Fatal(err)
		}
		if calls != c.calls || (taken != nil) != c.taken {
			t.Errorf("%s: %d calls, list taken %v", c.name, calls, taken != nil)
		}
	}
}

// FormerHandler is the peer service of the previous build.
type FormerHandler struct{}

// Deliver takes a delivery.
func (FormerHandler) Deliver(d *FormerDelivery, reply *DeliveryAnswer) error {
	reply.Epoch, reply.Position = d.Leader.Epoch, d.End
	return nil
}

// callDeliver relies on the peer protocol reporting a delivery that the other build can't decode as not
// sent, on the connection remaining usable, and on the delivery being made without the list.
func TestFallbackOverThePeerProtocol(t *testing.T) {
	server := peer.NewServer(peer.DefaultLimits(), logging.Nop())
	if err := server.Register(ServiceName, FormerHandler{}); err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	dials := 0
	client := peer.NewClient(peer.DefaultLimits(), func(context.Context, string) (net.Conn, error) {
		dials++
		near, far := net.Pipe()
		server.ServeConn(far)
		return near, nil
	})
	defer client.Close()
	p := newTestPublisher(&fakeMachine{}, 0)
	p.cfg.Caller = client
	answer, ok := p.callDeliver(t.Context(), p.attachment, *testDelivery(testNews()))
	if !ok || answer.Position != 9 || dials != 1 || p.knowsRefused("a", time.Now()) {
		t.Errorf("delivered %v, answer %+v, %d connections", ok, answer, dials)
	}
}
