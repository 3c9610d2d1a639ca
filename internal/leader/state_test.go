package leader

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestState(t *testing.T) {
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	other := record{Kind: kindClaim, Node: "b", Incarnation: 2, Address: "b:1"}
	renewal := record{Kind: kindRenewal, Node: "b", Incarnation: 2, Address: "b:1", Epoch: 1}

	Convey("Given a process that watches", t, func() {
		s := NewState(Leader{Node: "a", Incarnation: 1}, 0, start)

		Convey("a claim's epoch follows from its offset", func() {
			s.applyRecord(0, other, at(time.Second))
			So(s.Current().Epoch, ShouldEqual, 1)
			So(s.SinceContact(at(3*time.Second)), ShouldEqual, 2*time.Second)
		})
		Convey("after a release there is no leader", func() {
			s.applyRecord(0, other, start)
			s.applyRecord(1, record{Kind: kindRelease, Epoch: 1}, start)
			So(s.Released(), ShouldBeTrue)
			So(s.Current().Epoch, ShouldEqual, 0)
		})
		Convey("other processes' reports of a known leader are no sign of life", func() {
			s.applyRecord(0, other, start)
			So(s.observeLeader(Leader{Epoch: 1, Node: "b"}, at(time.Second)), ShouldBeFalse)
			So(s.SinceContact(at(2*time.Second)), ShouldEqual, 2*time.Second)
		})
		Convey("a later leader reported by other processes is accepted, an earlier one is not", func() {
			So(s.observeLeader(Leader{Epoch: 7, Node: "b"}, at(time.Second)), ShouldBeTrue)
			So(s.Current().Epoch, ShouldEqual, 7)
			So(s.observeLeader(Leader{Epoch: 5, Node: "c"}, at(time.Second)), ShouldBeFalse)
			So(s.Current().Epoch, ShouldEqual, 7)
		})
		Convey("the renewal gap follows the renewals", func() {
			s.applyRecord(0, other, start)
			now := start
			for i := range 30 {
				now = now.Add(400 * time.Millisecond)
				s.applyRecord(2, renewal, now)
				_ = i
			}
			So(s.RenewalGap(), ShouldBeBetween, 390*time.Millisecond, 410*time.Millisecond)
		})
	})
	Convey("Given a process that leads", t, func() {
		s := NewState(Leader{Node: "a", Incarnation: 1}, 4, start)
		up := func(d time.Duration) Uptime { return Uptime(time.Hour + d) }
		s.appendStarted(up(0))
		s.claimStored(4, at(10*time.Millisecond))
		So(s.Leads(), ShouldBeTrue)
		So(s.Current().Epoch, ShouldEqual, 5)

		Convey("leases may be extended for a limited time after the last confirmed renewal was sent", func() {
			So(s.MayRenewLeases(up(2*time.Second), 3*time.Second), ShouldBeTrue)
			So(s.MayRenewLeases(up(4*time.Second), 3*time.Second), ShouldBeFalse)
			s.appendStarted(up(5 * time.Second))
			So(s.MayRenewLeases(up(5*time.Second), 3*time.Second), ShouldBeFalse)
			s.renewalStored(5, at(6*time.Second))
			So(s.MayRenewLeases(up(7*time.Second), 3*time.Second), ShouldBeTrue)
		})
		Convey("a renewal whose answer was lost counts when it is read", func() {
			s.appendStarted(up(5 * time.Second))
			s.applyRecord(5, record{Kind: kindRenewal, Node: "a", Incarnation: 1, Epoch: 5}, at(6*time.Second))
			So(s.Leads(), ShouldBeTrue)
			So(s.MayRenewLeases(up(7*time.Second), 3*time.Second), ShouldBeTrue)
		})
		Convey("another process's claim ends its leadership", func() {
			s.applyRecord(5, other, at(time.Second))
			So(s.Leads(), ShouldBeFalse)
			So(s.MayRenewLeases(up(time.Second), 3*time.Second), ShouldBeFalse)
		})
		Convey("the report of a later leader ends its leadership", func() {
			So(s.observeLeader(Leader{Epoch: 9, Node: "b"}, at(time.Second)), ShouldBeTrue)
			So(s.Leads(), ShouldBeFalse)
		})
	})
}
