package endlist

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestTracker(t *testing.T) {
	Convey("Given an executor that has reported ends", t, func() {
		var ends Tracker
		So(ends.Complete().IsZero(), ShouldBeTrue)
		now := time.Unix(1000, 0)
		first := ends.Next(now, false)

		Convey("its list may be cut", func() {
			So(ends.IsComplete(first), ShouldBeFalse)
			So(ends.IsComplete(Report{}), ShouldBeTrue)
		})
		Convey("a report without ends completes the list, also for the reports before", func() {
			second := ends.Next(now.Add(time.Second), true)
			So(ends.IsComplete(first), ShouldBeTrue)
			So(ends.IsComplete(second), ShouldBeTrue)
			So(ends.Complete().ArrivedAt, ShouldEqual, now.Add(time.Second))
		})
		Convey("the end of a run that was alive at a report completes the list up to that report", func() {
			second := ends.Next(now.Add(time.Second), false)
			ends.AddEnd(first)
			So(ends.IsComplete(first), ShouldBeTrue)
			So(ends.IsComplete(second), ShouldBeFalse)
		})
		Convey("the end of an earlier run leaves the list as complete as it was", func() {
			second := ends.Next(now.Add(time.Second), true)
			ends.Next(now.Add(2*time.Second), false)
			ends.AddEnd(first)
			ends.AddEnd(Report{})
			So(ends.Complete(), ShouldResemble, second)
		})
	})
}
