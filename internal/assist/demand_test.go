package assist

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/queue"
)

// callLasting returns a call whose duration does not depend on the executors that it names.
func callLasting(d time.Duration) queue.CallTime { return queue.CallTime{Fixed: d, Total: d} }

func TestPeers(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	attach := func(peers *Peers, n int, at time.Time) {
		for i := range n {
			peers.HandleAttachment(Attachment{Node: api.NodeID([]byte{'a' + byte(i)}), Address: "x"}, at)
		}
	}
	Convey("Given nine machines", t, func() {
		peers := NewPeers("self", nil, nil)
		attach(peers, 8, now)

		Convey("long calls never use all machines once short ones have been requested", func() {
			So(peers.Take(callLasting(10*time.Millisecond), now), ShouldNotBeNil)
			taken := 0
			for peers.Take(callLasting(700*time.Millisecond), now) != nil {
				taken++
			}
			So(taken, ShouldBeBetween, 3, 9)
			So(peers.Take(callLasting(10*time.Millisecond), now), ShouldNotBeNil)
		})
		Convey("calls of a single class use all machines", func() {
			taken := 0
			for peers.Take(callLasting(700*time.Millisecond), now) != nil {
				taken++
			}
			So(taken, ShouldEqual, 9)
		})
		Convey("a slot is free again once its call has ended", func() {
			var last *Slot
			for s := peers.Take(callLasting(700*time.Millisecond), now); s != nil; s = peers.Take(callLasting(700*time.Millisecond), now) {
				last = s
			}
			peers.release(last)
			So(peers.Take(callLasting(700*time.Millisecond), now), ShouldNotBeNil)
		})
		Convey("a machine whose attachment has expired gets no calls", func() {
			later := now.Add(attachmentTTL + time.Millisecond)
			So(peers.Others(later), ShouldBeEmpty)
			So(peers.Take(callLasting(10*time.Millisecond), later), ShouldNotBeNil)
		})
	})
	Convey("Given three machines, the calls of each class have a machine of their own", t, func() {
		peers := NewPeers("self", nil, nil)
		attach(peers, 2, now)
		So(peers.Take(callLasting(10*time.Millisecond), now), ShouldNotBeNil)
		So(peers.Take(callLasting(100*time.Millisecond), now), ShouldNotBeNil)
		So(peers.Take(callLasting(700*time.Millisecond), now), ShouldNotBeNil)
		So(peers.Take(callLasting(700*time.Millisecond), now), ShouldBeNil)
		So(peers.Take(callLasting(10*time.Millisecond), now), ShouldNotBeNil)
	})
	Convey("Given two machines, long calls have a machine of their own", t, func() {
		peers := NewPeers("self", nil, nil)
		attach(peers, 1, now)
		So(peers.Take(callLasting(10*time.Millisecond), now), ShouldNotBeNil)
		So(peers.Take(callLasting(100*time.Millisecond), now), ShouldNotBeNil)
		So(peers.Take(callLasting(700*time.Millisecond), now), ShouldNotBeNil)
		So(peers.Take(callLasting(700*time.Millisecond), now), ShouldBeNil)
	})
	Convey("A single machine serves calls of all classes", t, func() {
		peers := NewPeers("self", nil, nil)
		So(peers.Take(callLasting(10*time.Millisecond), now), ShouldNotBeNil)
		So(peers.Take(callLasting(100*time.Millisecond), now), ShouldNotBeNil)
		So(peers.Take(callLasting(700*time.Millisecond), now), ShouldNotBeNil)
	})
}
