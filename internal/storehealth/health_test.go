package storehealth

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/skylarklock/skylarklock/internal/platform"
)

// fakeLog answers each append with err.
type fakeLog struct {
	platform.PartitionLog
	err error
}

func (l *fakeLog) Append(context.Context, platform.Append) (platform.Offset, error) {
	return 0, l.err
}

func TestDown(t *testing.T) {
	Convey("Given a store that is watched", t, func() {
		now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
		store := &fakeLog{}
		l := Watch(store)
		l.now = func() time.Time { return now }
		try := func(err error) {
			store.err = err
			_, got := l.Append(context.Background(), platform.Append{})
			So(got, ShouldEqual, err)
		}
		try(nil)
		So(l.Down(), ShouldBeFalse)

		Convey("it is down once calls have failed for longer than the threshold", func() {
			try(platform.ErrUncertain)
			So(l.Down(), ShouldBeFalse)
			now = now.Add(downThreshold + time.Millisecond)
			So(l.Down(), ShouldBeTrue)
			Convey("it is up again after the next successful call", func() {
				try(nil)
				So(l.Down(), ShouldBeFalse)
			})
		})
		Convey("a conflict counts as an answer", func() {
			try(platform.ErrUnavailable)
			now = now.Add(downThreshold + time.Millisecond)
			try(&platform.ConflictError{End: 3})
			So(l.Down(), ShouldBeFalse)
		})
	})
}
