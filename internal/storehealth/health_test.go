package storehealth

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/skylarklock/skylarklock/internal/platform"
)

type answers struct {
	platform.PartitionLog
	err error
}

func (a *answers) Append(context.Context, platform.Append) (platform.Offset, error) {
	return 0, a.err
}

func TestDown(t *testing.T) {
	Convey("Given a store that is watched", t, func() {
		now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
		store := &answers{}
		l := Watch(store)
		l.now = func() time.Time { return now }
		try := func(err error) {
			store.err = err
			_, got := l.Append(context.Background(), platform.Append{})
			So(got, ShouldEqual, err)
		}
		try(nil)
		So(l.Down(), ShouldBeFalse)

		Convey("it is down when only failures came back for a while", func() {
			try(platform.ErrUncertain)
			So(l.Down(), ShouldBeFalse)
			now = now.Add(downAfter + time.Millisecond)
			So(l.Down(), ShouldBeTrue)
			Convey("until the next answer", func() {
				try(nil)
				So(l.Down(), ShouldBeFalse)
			})
		})
		Convey("a refusal by condition is an answer", func() {
			try(platform.ErrUnavailable)
			now = now.Add(downAfter + time.Millisecond)
			try(&platform.ConflictError{End: 3})
			So(l.Down(), ShouldBeFalse)
		})
	})
}
