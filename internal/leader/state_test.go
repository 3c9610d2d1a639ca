package leader

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestState(t *testing.T) {
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	other := record{Kind: claims, Node: "b", Incarnation: 2, Address: "b:1"}
	renewal := record{Kind: renews, Node: "b", Incarnation: 2, Address: "b:1", Epoch: 1}

	Convey("Given a process that watches", t, func() {
		s := NewState(Leader{Node: "a", Incarnation: 1}, 0, start)

		Convey("a claim's place is its epoch", func() {
			s.read(0, other, at(time.Second))
			So(s.Current().Epoch, ShouldEqual, 1)
			So(s.SinceContact(at(3*time.Second)), ShouldEqual, 2*time.Second)
		})
		Convey("a release leaves nobody leading", func() {
			s.read(0, other, start)
			s.read(1, record{Kind: releases, Epoch: 1}, start)
			So(s.Released(), ShouldBeTrue)
			So(s.Current().Epoch, ShouldEqual, 0)
		})
		Convey("what other processes say of a leader that is known is no sign of its life", func() {
			s.read(0, other, start)
			So(s.learn(Leader{Epoch: 1, Node: "b"}, at(time.Second)), ShouldBeFalse)
			So(s.SinceContact(at(2*time.Second)), ShouldEqual, 2*time.Second)
		})
		Convey("a later leader is learned from other processes, an earlier one is not", func() {
			So(s.learn(Leader{Epoch: 7, Node: "b"}, at(time.Second)), ShouldBeTrue)
			So(s.Current().Epoch, ShouldEqual, 7)
			So(s.learn(Leader{Epoch: 5, Node: "c"}, at(time.Second)), ShouldBeFalse)
			So(s.Current().Epoch, ShouldEqual, 7)
		})
		Convey("the usual gap follows the renewals", func() {
			s.read(0, other, start)
			now := start
			for i := range 30 {
				now = now.Add(400 * time.Millisecond)
				s.read(2, renewal, now)
				_ = i
			}
			So(s.RenewalGap(), ShouldBeBetween, 390*time.Millisecond, 410*time.Millisecond)
		})
	})
	Convey("Given a process that leads", t, func() {
		s := NewState(Leader{Node: "a", Incarnation: 1}, 4, start)
		up := func(d time.Duration) Uptime { return Uptime(time.Hour + d) }
		s.sending(up(0))
		s.claimed(4, at(10*time.Millisecond))
		So(s.Leads(), ShouldBeTrue)
		So(s.Current().Epoch, ShouldEqual, 5)

		Convey("leases are extended for a while after the last confirmed renewal was sent", func() {
			So(s.MayRenewLeases(up(2*time.Second), 3*time.Second), ShouldBeTrue)
			So(s.MayRenewLeases(up(4*time.Second), 3*time.Second), ShouldBeFalse)
			s.sending(up(5 * time.Second))
			So(s.MayRenewLeases(up(5*time.Second), 3*time.Second), ShouldBeFalse)
			s.renewed(5, at(6*time.Second))
			So(s.MayRenewLeases(up(7*time.Second), 3*time.Second), ShouldBeTrue)
		})
		Convey("a renewal whose answer was lost counts when it is read", func() {
			s.sending(up(5 * time.Second))
			s.read(5, record{Kind: renews, Node: "a", Incarnation: 1, Epoch: 5}, at(6*time.Second))
			So(s.Leads(), ShouldBeTrue)
			So(s.MayRenewLeases(up(7*time.Second), 3*time.Second), ShouldBeTrue)
		})
		Convey("another claim ends it", func() {
			s.read(5, other, at(time.Second))
			So(s.Leads(), ShouldBeFalse)
			So(s.MayRenewLeases(up(time.Second), 3*time.Second), ShouldBeFalse)
		})
		Convey("so does hearing of a later leader", func() {
			So(s.learn(Leader{Epoch: 9, Node: "b"}, at(time.Second)), ShouldBeTrue)
			So(s.Leads(), ShouldBeFalse)
		})
	})
}
