package assist

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/queue"
)

// lasting returns a call of a time that doesn't depend on what it names.
func lasting(d time.Duration) queue.CallTime { return queue.CallTime{Fixed: d, Total: d} }

func TestPeers(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	attach := func(h *Peers, n int, at time.Time) {
		for i := range n {
			h.HandleAttachment(Attachment{Node: api.NodeID([]byte{'a' + byte(i)}), Address: "x"}, at)
		}
	}
	Convey("Given nine machines", t, func() {
		h := NewPeers("self", nil, nil)
		attach(h, 8, now)

		Convey("long calls never take all of them, once short ones were asked for", func() {
			So(h.Take(lasting(10*time.Millisecond), now), ShouldNotBeNil)
			taken := 0
			for h.Take(lasting(700*time.Millisecond), now) != nil {
				taken++
			}
			So(taken, ShouldBeBetween, 3, 9)
			So(h.Take(lasting(10*time.Millisecond), now), ShouldNotBeNil)
		})
		Convey("calls of one length alone get all of them", func() {
			taken := 0
			for h.Take(lasting(700*time.Millisecond), now) != nil {
				taken++
			}
			So(taken, ShouldEqual, 9)
		})
		Convey("a slot is free again when the call is over", func() {
			var last *Slot
			for s := h.Take(lasting(700*time.Millisecond), now); s != nil; s = h.Take(lasting(700*time.Millisecond), now) {
				last = s
			}
			h.giveBack(last)
			So(h.Take(lasting(700*time.Millisecond), now), ShouldNotBeNil)
		})
		Convey("a machine that is silent is asked no more", func() {
			later := now.Add(attachedFor + time.Millisecond)
			So(h.Others(later), ShouldBeEmpty)
			So(h.Take(lasting(10*time.Millisecond), later), ShouldNotBeNil)
		})
	})
	Convey("Given three machines, calls of each length have one of their own", t, func() {
		h := NewPeers("self", nil, nil)
		attach(h, 2, now)
		So(h.Take(lasting(10*time.Millisecond), now), ShouldNotBeNil)
		So(h.Take(lasting(100*time.Millisecond), now), ShouldNotBeNil)
		So(h.Take(lasting(700*time.Millisecond), now), ShouldNotBeNil)
		So(h.Take(lasting(700*time.Millisecond), now), ShouldBeNil)
		So(h.Take(lasting(10*time.Millisecond), now), ShouldNotBeNil)
	})
	Convey("Given two machines, long calls have one of their own", t, func() {
		h := NewPeers("self", nil, nil)
		attach(h, 1, now)
		So(h.Take(lasting(10*time.Millisecond), now), ShouldNotBeNil)
		So(h.Take(lasting(100*time.Millisecond), now), ShouldNotBeNil)
		So(h.Take(lasting(700*time.Millisecond), now), ShouldNotBeNil)
		So(h.Take(lasting(700*time.Millisecond), now), ShouldBeNil)
	})
	Convey("One machine serves calls of all lengths", t, func() {
		h := NewPeers("self", nil, nil)
		So(h.Take(lasting(10*time.Millisecond), now), ShouldNotBeNil)
		So(h.Take(lasting(100*time.Millisecond), now), ShouldNotBeNil)
		So(h.Take(lasting(700*time.Millisecond), now), ShouldNotBeNil)
	})
}
