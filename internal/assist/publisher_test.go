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

// machine is a peer that takes deliveries as a replica does.
type machine struct {
	position platform.Offset
	jobs     []work.Summary
	epoch    api.Epoch

	whole   bool
	content platform.Offset
	keys    []string
}

func (m *machine) Call(_ context.Context, _, _ string, args, reply any) error {
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
		if d.Span.From <= m.content && d.Span.To > m.content {
			for _, r := range d.Records {
				m.keys = append(m.keys, r.Key)
			}
			m.content = d.Span.To
		}
	}
	answer.Position, answer.ContentPosition, answer.HasContent = m.position, m.content, m.whole
	return nil
}

// feed is a publisher with one machine that is attached.
type feed struct {
	*Publisher
	to       *machine
	at       Attachment
	now      time.Time
	replaced api.Epoch
}

func newFeed(m *machine, link float64) *feed {
	f := &feed{to: m, at: Attachment{Node: "a", Address: "a:1", Fitness: 1, HasContent: m.whole}, now: time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)}
	f.Publisher = NewPublisher(PublisherConfig{
		Self:               leader.Leader{Epoch: 3},
		LinkBytesPerSecond: link,
		Peers:              NewPeers("self", nil, m),
		Caller:             m,
		BulkCaller:         m,
		LastRenewal:        func() leader.Renewal { return leader.Renewal{} },
		OnReplaced:         func(e api.Epoch) { f.replaced = e },
		Logger:             logging.Silent(),
	}, 10)
	return f
}

// deliver delivers news if any is due, a while after the last time.
func (f *feed) deliver(after time.Duration) bool {
	f.now = f.now.Add(after)
	d, due := f.next(f.at.Node, deliverEvery, f.now)
	if due {
		f.Publisher.deliver(context.Background(), f.at, d)
	}
	return due
}

// deliverContent does the same with content.
func (f *feed) deliverContent(after time.Duration) bool {
	f.now = f.now.Add(after)
	c, due := f.nextContent(f.at.Node, f.now)
	if due {
		f.Publisher.deliverContent(context.Background(), f.at, c)
	}
	return due
}

// add publishes a record for each key; each brings news of the job of its offset.
func (f *feed) add(first platform.Offset, keys ...string) {
	var a replica.AppliedBatch
	for i, key := range keys {
		at := first + platform.Offset(i)
		a.Records = append(a.Records, platform.Record{Offset: at, Key: key})
		a.Updates = append(a.Updates, replica.SummaryUpdate{Offset: at, Summary: work.Summary{ID: work.ID{byte(at)}, Queue: "q", State: work.Running}})
	}
	f.Add(a)
}

// offsets returns the jobs that the machine was told of, which are numbered by
// the offsets of their records.
func (m *machine) offsets() []int {
	var out []int
	for _, j := range m.jobs {
		out = append(out, int(j.ID[0]))
	}
	return out
}

func TestPublisher(t *testing.T) {
	Convey("Given a publisher and a machine that is up to date", t, func() {
		m := &machine{position: 10}
		f := newFeed(m, 0)
		So(f.deliver(time.Millisecond), ShouldBeTrue) // learns where the machine is
		So(f.deliver(time.Millisecond), ShouldBeFalse)

		Convey("news reaches it once and in order", func() {
			f.add(10, "a", "b")
			So(f.deliver(deliverEvery), ShouldBeTrue)
			f.add(12, "c")
			So(f.deliver(deliverEvery), ShouldBeTrue)
			So(f.deliver(deliverEvery), ShouldBeFalse)
			So(m.offsets(), ShouldResemble, []int{10, 11, 12})
		})
		Convey("of a job that has changed several times only the newest is told", func() {
			id := work.ID{7}
			records := []platform.Record{{Offset: 10, Key: "a"}, {Offset: 11, Key: "b"}}
			f.Add(replica.AppliedBatch{Records: records, Updates: []replica.SummaryUpdate{
				{Offset: 10, Summary: work.Summary{ID: id, Queue: "q"}},
				{Offset: 11, Summary: work.Summary{ID: id, Queue: "q", State: work.Completed}},
			}})
			So(f.deliver(deliverEvery), ShouldBeTrue)
			So(m.jobs, ShouldResemble, []work.Summary{{ID: id, Queue: "q", State: work.Completed}})
			So(m.position, ShouldEqual, 12)
		})
		Convey("records that change no state bring it up to date all the same", func() {
			f.Add(replica.AppliedBatch{Records: []platform.Record{{Offset: 10, Key: "a"}}})
			So(f.deliver(deliverEvery), ShouldBeFalse)
			So(f.deliver(deliverIdle), ShouldBeTrue)
			So(m.position, ShouldEqual, 11)
			So(m.jobs, ShouldBeEmpty)
		})
		Convey("after a gap nothing is taken for what lies in it", func() {
			f.add(15, "f")
			f.deliver(deliverIdle)
			So(m.jobs, ShouldBeEmpty)
			So(m.position, ShouldEqual, 10)
			m.position = 15 // it has read the store meanwhile
			f.deliver(deliverIdle)
			So(f.deliver(deliverEvery), ShouldBeTrue)
			So(m.offsets(), ShouldResemble, []int{15})
		})
		Convey("a machine that is behind what is kept is told so now and then, not all the time", func() {
			m.position = 0 // it was restarted
			So(f.deliver(deliverIdle), ShouldBeTrue)
			sent := 0
			for range int(time.Second / time.Millisecond) {
				if f.deliver(time.Millisecond) {
					sent++
				}
			}
			So(sent, ShouldBeBetweenOrEqual, 4, 5)
		})
		Convey("one delivery brings a bounded number of jobs, and the next the others", func() {
			var a replica.AppliedBatch
			for i := range sentNews + 5 {
				at := 10 + platform.Offset(i)
				a.Records = append(a.Records, platform.Record{Offset: at, Key: "k"})
				a.Updates = append(a.Updates, replica.SummaryUpdate{Offset: at, Summary: work.Summary{ID: work.ID{byte(i >> 8), byte(i)}}})
			}
			f.Add(a)
			So(f.deliver(deliverEvery), ShouldBeTrue)
			So(m.jobs, ShouldHaveLength, sentNews)
			So(f.deliver(deliverEvery), ShouldBeTrue)
			So(m.jobs, ShouldHaveLength, sentNews+5)
			So(m.position, ShouldEqual, 10+sentNews+5)
		})
		Convey("a machine that has heard of a later leader ends it", func() {
			m.epoch = 4
			So(f.deliver(deliverIdle), ShouldBeTrue)
			So(f.replaced, ShouldEqual, 4)
		})
		Convey("a machine that is no standby gets no content", func() {
			f.add(10, "a")
			So(f.deliver(deliverEvery), ShouldBeTrue)
			So(f.deliverContent(contentEvery), ShouldBeFalse)
		})
	})
}

func TestPublisherContent(t *testing.T) {
	Convey("Given a publisher and a standby that keeps everything", t, func() {
		m := &machine{position: 10, content: 10, whole: true}
		f := newFeed(m, 0)
		f.choose([]Attachment{f.at}, f.now)
		So(f.deliver(time.Millisecond), ShouldBeTrue)

		Convey("it gets the newest record of each key, in order", func() {
			f.add(10, "a", "b", "a", "c")
			So(f.deliverContent(contentEvery), ShouldBeTrue)
			So(m.keys, ShouldResemble, []string{"b", "a", "c"})
			So(m.content, ShouldEqual, 14)
			f.add(14, "b")
			So(f.deliverContent(time.Millisecond), ShouldBeFalse)
			So(f.deliverContent(contentEvery), ShouldBeTrue)
			So(m.keys, ShouldResemble, []string{"b", "a", "c", "b"})
		})
		Convey("one that has not read everything yet gets none", func() {
			m.whole = false
			f.deliver(deliverIdle)
			f.add(10, "a")
			So(f.deliverContent(contentEvery), ShouldBeFalse)
		})
		Convey("one that lacks what isn't kept any more gets none", func() {
			m.content = 5
			f.deliver(deliverIdle)
			f.add(10, "a")
			So(f.deliverContent(contentEvery), ShouldBeFalse)
		})
		Convey("one delivery brings no more than a slow link carries in its time", func() {
			value := make([]byte, 4000)
			var a replica.AppliedBatch
			for i := range platform.Offset(500) {
				key := work.Key(work.KindProgress, work.ID{byte(i >> 8), byte(i)})
				a.Records = append(a.Records, platform.Record{Offset: 10 + i, Key: key, Value: value})
			}
			f.Add(a)
			c, due := f.nextContent(f.at.Node, f.now.Add(contentEvery))
			So(due, ShouldBeTrue)
			size := 0
			for _, r := range c.Records {
				size += len(r.Key) + len(r.Value)
			}
			So(size, ShouldBeBetween, 0, sentBytes+1)
			So(c.Span, ShouldResemble, replica.Span{From: 10, To: 10 + platform.Offset(len(c.Records))})
		})
	})
}

// Content takes no more of a thin link than its share, however much there is: the
// leader's orders and renewals go by the same link.
func TestContentStaysWithinLinkShare(t *testing.T) {
	const link = 250_000 // bytes a second: 2 Mbit/s
	m := &machine{position: 10, content: 10, whole: true}
	f := newFeed(m, link)
	f.choose([]Attachment{f.at}, f.now)
	f.deliver(time.Millisecond)
	const seconds = 20
	sent, next := 0, platform.Offset(10)
	for range seconds * 10 {
		var a replica.AppliedBatch
		for range 30 {
			key := work.Key(work.KindProgress, work.ID{byte(next >> 8), byte(next)})
			a.Records = append(a.Records, platform.Record{Offset: next, Key: key, Value: make([]byte, 400)})
			next++
		}
		f.Add(a)
		f.now = f.now.Add(100 * time.Millisecond)
		c, due := f.nextContent(f.at.Node, f.now)
		if !due {
			continue
		}
		for _, r := range c.Records {
			sent += len(r.Key) + len(r.Value)
		}
		f.Publisher.deliverContent(context.Background(), f.at, c)
	}
	if rate := float64(sent) / seconds; rate > 1.1*contentShare*link || rate < 0.5*contentShare*link {
		t.Errorf("%.0f bytes a second, share %.0f", rate, contentShare*link)
	}
}

// The time between two deliveries follows the link and the number of machines, and
// stays below that at which a machine takes itself for cut off.
func TestUpdateInterval(t *testing.T) {
	for _, c := range []struct {
		machines int
		link     float64
		want     time.Duration
	}{
		{8, 125e6, deliverEvery},
		{17, 250_000, 17 * deliverBytes * time.Second / 25_000},
		{96, 25e6, 96 * time.Second / deliverAtMost},
		{1000, 250_000, deliverMost},
	} {
		f := newFeed(&machine{}, c.link)
		if got := f.pace(c.machines); got.Round(time.Millisecond) != c.want.Round(time.Millisecond) {
			t.Errorf("%d machines, %.0f bytes a second: %v, want %v", c.machines, c.link, got, c.want)
		}
	}
}
