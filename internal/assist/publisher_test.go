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
)

// machine is a peer that takes deliveries as a replica does.
type machine struct {
	position platform.Offset
	keys     []string
	epoch    api.Epoch
}

func (m *machine) Call(_ context.Context, _, _ string, args, reply any) error {
	d, answer := args.(*Delivery), reply.(*DeliveryAnswer)
	answer.Epoch = max(m.epoch, d.Leader.Epoch)
	end := d.First + platform.Offset(len(d.Records))
	if d.First <= m.position && end > m.position {
		for _, r := range d.Records[m.position-d.First:] {
			m.keys = append(m.keys, r.Key)
		}
		m.position = end
	}
	answer.Position = m.position
	return nil
}

func TestPublisher(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	Convey("Given a publisher and a machine that is up to date", t, func() {
		m := &machine{position: 10}
		replaced := api.Epoch(0)
		fresh := func() time.Duration { return 0 }
		h := NewHelpers("self", nil, m)
		p := NewPublisher(leader.Leader{Epoch: 3}, 10, h, m, fresh, func(e api.Epoch) { replaced = e }, logging.Silent())
		at := Attachment{Node: "a", Address: "a:1"}
		deliver := func() bool {
			now = now.Add(time.Millisecond)
			d, due := p.next(at.Node, now)
			if due {
				p.deliver(context.Background(), at, d)
			}
			return due
		}
		record := func(offset platform.Offset, key string) platform.Record {
			return platform.Record{Offset: offset, Key: key}
		}
		So(deliver(), ShouldBeTrue) // learns where the machine is
		So(deliver(), ShouldBeFalse)

		Convey("records reach it once and in order", func() {
			p.Add([]platform.Record{record(10, "a"), record(11, "b")})
			So(deliver(), ShouldBeTrue)
			p.Add([]platform.Record{record(12, "c")})
			So(deliver(), ShouldBeTrue)
			So(deliver(), ShouldBeFalse)
			So(m.keys, ShouldResemble, []string{"a", "b", "c"})
		})
		Convey("after a gap nothing is taken for what lies in it", func() {
			p.Add([]platform.Record{record(15, "f")})
			deliver()
			So(m.keys, ShouldBeEmpty)
			So(m.position, ShouldEqual, 10)
			m.position = 15 // it has read the store meanwhile
			now = now.Add(deliverIdle)
			deliver()
			So(deliver(), ShouldBeTrue)
			So(m.keys, ShouldResemble, []string{"f"})
		})
		Convey("a machine that is behind what is kept is told so now and then, not all the time", func() {
			m.position = 0 // it was restarted
			now = now.Add(deliverIdle)
			So(deliver(), ShouldBeTrue)
			sent := 0
			for range int(time.Second / time.Millisecond) {
				if deliver() {
					sent++
				}
			}
			So(sent, ShouldBeBetweenOrEqual, 4, 5)
		})
		Convey("one delivery brings no more than a slow link carries in its time", func() {
			value := make([]byte, 4000)
			var records []platform.Record
			for i := range sentRecords {
				records = append(records, platform.Record{Offset: 10 + platform.Offset(i), Key: "k", Value: value})
			}
			p.Add(records)
			d, due := p.next(at.Node, now.Add(time.Millisecond))
			So(due, ShouldBeTrue)
			size := 0
			for _, r := range d.Records {
				size += len(r.Key) + len(r.Value)
			}
			So(size, ShouldBeBetween, 0, sentBytes+1)
		})
		Convey("a machine that has heard of a later leader ends it", func() {
			m.epoch = 4
			now = now.Add(deliverIdle)
			So(deliver(), ShouldBeTrue)
			So(replaced, ShouldEqual, 4)
		})
	})
}
