package blame

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestBlame(t *testing.T) {
	Convey("Given failures of two jobs on an executor", t, func() {
		var a, b Step[string]
		var first Executor[int, string]
		So(first.IsEmpty(), ShouldBeTrue)
		for job, s := range []*Step[string]{&a, &b} {
			s.AddFailure("e0")
			first.AddFailure(job, s)
			first.AddFailure(job, s)
		}

		Convey("they are the executor's", func() {
			So(first.Streak(), ShouldEqual, 2)
		})
		Convey("a job that fails elsewhere too is at fault itself", func() {
			a.AddFailure("e1")
			So(a.AtFault(), ShouldBeTrue)
			So(first.Streak(), ShouldEqual, 1)
			So(first.IsEmpty(), ShouldBeFalse)

			Convey("unless a task of it ends as done", func() {
				a.AddSuccess()
				a.AddFailure("e1")
				a.AddFailure("e2")
				So(first.Streak(), ShouldEqual, 2)
			})
			Convey("until its tasks have been well for long", func() {
				a.ForgetFailures()
				So(first.Streak(), ShouldEqual, 2)
				a.AddFailure("e1")
				a.AddFailure("e2")
				So(first.Streak(), ShouldEqual, 1)
			})
		})
		Convey("a task that ends as done clears the executor", func() {
			first.Clear()
			So(first.Streak(), ShouldEqual, 0)
			So(first.IsEmpty(), ShouldBeTrue)
		})
	})
}
