package assist

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/leader"
	"github.com/skylarklock/skylarklock/internal/logging"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/replica"
	"github.com/skylarklock/skylarklock/internal/work"
)

// fakeMachine is a peer that handles deliveries as a replica does.
type fakeMachine struct {
	position platform.Offset
	jobs     []work.Summary
	epoch    api.Epoch

	hasContent      bool
	contentPosition platform.Offset
	keys            []string
}

func (m *fakeMachine) Call(_ context.Context, _, _ string, args, reply any) error {
	answer := reply.(*DeliveryAnswer)
	switch d := args.(type) {
	case *Delivery:
		answer.Epoch = max(m.epoch, d.Leader.Epoch)
		jobs, _ := d.Jobs.Unpack()
		if d.Span.From <= m.position && d.Span.To > m.position {
			m.jobs = append(m.jobs, jobs...)
			m.position = d.Span.To
		}
	case *ContentDelivery:
		answer.Epoch = max(m.epoch, d.Leader.Epoch)
		if d.Span.From <= m.contentPosition && d.Span.To > m.contentPosition {
			for _, r := range d.Records {
				m.keys = append(m.keys, r.Key)
			}
			m.contentPosition = d.Span.To
		}
	}
	answer.Position, answer.ContentPosition, answer.HasContent = m.position, m.contentPosition, m.hasContent
	return nil
}

// testPublisher is a publisher with one attached machine.
type testPublisher struct {
	*Publisher
	machine    *fakeMachine
	attachment Attachment
	now        time.Time
	replaced   api.Epoch
}

func newTestPublisher(m *fakeMachine, link float64) *testPublisher {
	f := &testPublisher{machine: m, attachment: Attachment{Node: "a", Address: "a:1", Fitness: 1, HasContent: m.hasContent}, now: time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)}
	f.Publisher = NewPublisher(PublisherConfig{
		Self:               leader.Leader{Epoch: 3},
		LinkBytesPerSecond: link,
		Peers:              NewPeers("self", nil, m),
		Caller:             m,
		BulkCaller:         m,
		LastRenewal:        func() leader.Renewal { return leader.Renewal{} },
		OnReplaced:         func(e api.Epoch) { f.replaced = e },
		Logger:             logging.Nop(),
	}, 10)
	return f
}

// deliver advances the clock and makes a delivery if one is due.
func (f *testPublisher) deliver(after time.Duration) bool {
	f.now = f.now.Add(after)
	d, due := f.nextDelivery(f.attachment.Node, minDeliveryInterval, f.now)
	if due {
		f.Publisher.deliver(context.Background(), f.attachment, d)
	}
	return due
}

// deliverContent advances the clock and makes a content delivery if one is due.
func (f *testPublisher) deliverContent(after time.Duration) bool {
	f.now = f.now.Add(after)
	c, due := f.nextContent(f.attachment.Node, f.now)
	if due {
		f.Publisher.deliverContent(context.Background(), f.attachment, c)
	}
	return due
}

// add adds a record for each key, each with an update of the job that is numbered by the record's offset.
func (f *testPublisher) add(first platform.Offset, keys ...string) {
	var a replica.AppliedBatch
	for i, key := range keys {
		at := first + platform.Offset(i)
		a.Records = append(a.Records, platform.Record{Offset: at, Key: key})
		a.Updates = append(a.Updates, replica.SummaryUpdate{Offset: at, Summary: work.Summary{ID: work.ID{byte(at)}, Queue: "q", State: work.Running}})
	}
	f.Add(a)
}

// offsets returns the numbers of the jobs that the machine received, which are the offsets of their
// records.
func (m *fakeMachine) offsets() []int {
	var out []int
	for _, j := range m.jobs {
		out = append(out, int(j.ID[0]))
	}
	return out
}

func TestPublisher(t *testing.T) {
	Convey("Given a publisher and a machine that is up to date", t, func() {
		m := &fakeMachine{position: 10}
		f := newTestPublisher(m, 0)
		So(f.deliver(time.Millisecond), ShouldBeTrue) // learns the machine's position
		So(f.deliver(time.Millisecond), ShouldBeFalse)

		Convey("updates reach it once and in order", func() {
			f.add(10, "a", "b")
			So(f.deliver(minDeliveryInterval), ShouldBeTrue)
			f.add(12, "c")
			So(f.deliver(minDeliveryInterval), ShouldBeTrue)
			So(f.deliver(minDeliveryInterval), ShouldBeFalse)
			So(m.offsets(), ShouldResemble, []int{10, 11, 12})
		})
		Convey("only the latest update of a job is delivered", func() {
			id := work.ID{7}
			records := []platform.Record{{Offset: 10, Key: "a"}, {Offset: 11, Key: "b"}}
			f.Add(replica.AppliedBatch{Records: records, Updates: []replica.SummaryUpdate{
				{Offset: 10, Summary: work.Summary{ID: id, Queue: "q"}},
				{Offset: 11, Summary: work.Summary{ID: id, Queue: "q", State: work.Completed}},
			}})
			So(f.deliver(minDeliveryInterval), ShouldBeTrue)
			So(m.jobs, ShouldResemble, []work.Summary{{ID: id, Queue: "q", State: work.Completed}})
			So(m.position, ShouldEqual, 12)
		})
		Convey("records without updates advance its position", func() {
			f.Add(replica.AppliedBatch{Records: []platform.Record{{Offset: 10, Key: "a"}}})
			So(f.deliver(minDeliveryInterval), ShouldBeFalse)
			So(f.deliver(maxIdleInterval), ShouldBeTrue)
			So(m.position, ShouldEqual, 11)
			So(m.jobs, ShouldBeEmpty)
		})
		Convey("a gap in the records is not skipped", func() {
			f.add(15, "f")
			f.deliver(maxIdleInterval)
			So(m.jobs, ShouldBeEmpty)
			So(m.position, ShouldEqual, 10)
			m.position = 15 // it has read the store in the meantime
			f.deliver(maxIdleInterval)
			So(f.deliver(minDeliveryInterval), ShouldBeTrue)
			So(m.offsets(), ShouldResemble, []int{15})
		})
		Convey("a machine that lags behind the kept updates gets deliveries at the idle interval only", func() {
			m.position = 0 // it was restarted
			So(f.deliver(maxIdleInterval), ShouldBeTrue)
			sent := 0
			for range int(time.Second / time.Millisecond) {
				if f.deliver(time.Millisecond) {
					sent++
				}
			}
			So(sent, ShouldBeBetweenOrEqual, 4, 5)
		})
		Convey("one delivery holds a bounded number of updates, and the next one the rest", func() {
			var a replica.AppliedBatch
			for i := range maxDeliveryUpdates + 5 {
				at := 10 + platform.Offset(i)
				a.Records = append(a.Records, platform.Record{Offset: at, Key: "k"})
				a.Updates = append(a.Updates, replica.SummaryUpdate{Offset: at, Summary: work.Summary{ID: work.ID{byte(i >> 8), byte(i)}}})
			}
			f.Add(a)
			So(f.deliver(minDeliveryInterval), ShouldBeTrue)
			So(m.jobs, ShouldHaveLength, maxDeliveryUpdates)
			So(f.deliver(minDeliveryInterval), ShouldBeTrue)
			So(m.jobs, ShouldHaveLength, maxDeliveryUpdates+5)
			So(m.position, ShouldEqual, 10+maxDeliveryUpdates+5)
		})
		Convey("a machine that knows a later leader replaces this one", func() {
			m.epoch = 4
			So(f.deliver(maxIdleInterval), ShouldBeTrue)
			So(f.replaced, ShouldEqual, 4)
		})
		Convey("a machine that is not a standby gets no content", func() {
			f.add(10, "a")
			So(f.deliver(minDeliveryInterval), ShouldBeTrue)
			So(f.deliverContent(contentInterval), ShouldBeFalse)
		})
	})
}

func TestPublisherContent(t *testing.T) {
	Convey("Given a publisher and a standby that keeps all content", t, func() {
		m := &fakeMachine{position: 10, contentPosition: 10, hasContent: true}
		f := newTestPublisher(m, 0)
		f.updateStandbys([]Attachment{f.attachment}, f.now)
		So(f.deliver(time.Millisecond), ShouldBeTrue)

		Convey("it gets the newest record of each key, in order", func() {
			f.add(10, "a", "b", "a", "c")
			So(f.deliverContent(contentInterval), ShouldBeTrue)
			So(m.keys, ShouldResemble, []string{"b", "a", "c"})
			So(m.contentPosition, ShouldEqual, 14)
			f.add(14, "b")
			So(f.deliverContent(time.Millisecond), ShouldBeFalse)
			So(f.deliverContent(contentInterval), ShouldBeTrue)
			So(m.keys, ShouldResemble, []string{"b", "a", "c", "b"})
		})
		Convey("a standby that does not keep all content yet gets none", func() {
			m.hasContent = false
			f.deliver(maxIdleInterval)
			f.add(10, "a")
			So(f.deliverContent(contentInterval), ShouldBeFalse)
		})
		Convey("a standby that lags behind the kept records gets none", func() {
			m.contentPosition = 5
			f.deliver(maxIdleInterval)
			f.add(10, "a")
			So(f.deliverContent(contentInterval), ShouldBeFalse)
		})
		Convey("one delivery fits a slow link", func() {
			value := make([]byte, 4000)
			var a replica.AppliedBatch
			for i := range platform.Offset(500) {
				key := work.Key(work.KindProgress, work.ID{byte(i >> 8), byte(i)})
				a.Records = append(a.Records, platform.Record{Offset: 10 + i, Key: key, Value: value})
			}
			f.Add(a)
			c, due := f.nextContent(f.attachment.Node, f.now.Add(contentInterval))
			So(due, ShouldBeTrue)
			size := 0
			for _, r := range c.Records {
				size += len(r.Key) + len(r.Value)
			}
			So(size, ShouldBeBetween, 0, maxDeliveryBytes+1)
			So(c.Span, ShouldResemble, replica.Span{From: 10, To: 10 + platform.Offset(len(c.Records))})
		})
	})
}

// Content uses no more of a slow link than its share, whatever its amount, because the leader's orders
// and renewals use the same link.
func TestContentStaysWithinLinkShare(t *testing.T) {
	const link = 250_000 // bytes a second: 2 Mbit/s
	m := &fakeMachine{position: 10, contentPosition: 10, hasContent: true}
	f := newTestPublisher(m, link)
	f.updateStandbys([]Attachment{f.attachment}, f.now)
	f.deliver(time.Millisecond)
	const seconds = 20
	sentBytes, next := 0, platform.Offset(10)
	for range seconds * 10 {
		var a replica.AppliedBatch
		for range 30 {
			key := work.Key(work.KindProgress, work.ID{byte(next >> 8), byte(next)})
			a.Records = append(a.Records, platform.Record{Offset: next, Key: key, Value: make([]byte, 400)})
			next++
		}
		f.Add(a)
		f.now = f.now.Add(100 * time.Millisecond)
		c, due := f.nextContent(f.attachment.Node, f.now)
		if !due {
			continue
		}
		for _, r := range c.Records {
			sentBytes += len(r.Key) + len(r.Value)
		}
		f.Publisher.deliverContent(context.Background(), f.attachment, c)
	}
	if rate := float64(sentBytes) / seconds; rate > 1.1*contentLinkShare*link || rate < 0.5*contentLinkShare*link {
		t.Errorf("content used %.0f bytes a second, its share is %.0f", rate, contentLinkShare*link)
	}
}

// The interval between deliveries grows with the number of machines and the slowness of the link, but
// stays below the time after which a machine considers itself cut off.
func TestUpdateInterval(t *testing.T) {
	for _, c := range []struct {
		machines int
		link     float64
		want     time.Duration
	}{
		{8, 125e6, minDeliveryInterval},
		{17, 250_000, 17 * updateDeliveryBytes * time.Second / 25_000},
		{96, 25e6, 96 * time.Second / maxDeliveriesPerSecond},
		{1000, 250_000, maxDeliveryInterval},
	} {
		f := newTestPublisher(&fakeMachine{}, c.link)
		if got := f.updateInterval(c.machines); got.Round(time.Millisecond) != c.want.Round(time.Millisecond) {
			t.Errorf("%d machines, %.0f bytes a second: interval %v, want %v", c.machines, c.link, got, c.want)
		}
	}
}
