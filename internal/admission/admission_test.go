package admission

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// newRequest returns a job that demands capacity of a resource with the given backlog.
func newRequest(backlog, added time.Duration) Request {
	return Request{MaxUsefulWait: time.Second, Demands: []Demand{{Resource: "room", Backlog: backlog, Added: added}}}
}

// refusalCount returns 1 if the job is refused and 0 otherwise.
func refusalCount(c *Controller, r Request, now time.Time) int {
	if c.Decide(r, now).Reason != "" {
		return 1
	}
	return 0
}

func TestController(t *testing.T) {
	const small, overload = 2 * time.Millisecond, BacklogThreshold + 2*time.Second
	Convey("Given a controller", t, func() {
		c := &Controller{}
		Convey("every job is accepted while the backlog is within the threshold", func() {
			refused := 0
			for range 1000 {
				refused += refusalCount(c, newRequest(BacklogThreshold, time.Second), start)
			}
			So(refused, ShouldEqual, 0)
		})
		Convey("a job that would wait too long is refused with the excess as retry time", func() {
			r := newRequest(0, small)
			r.ExpectedWait = 1500 * time.Millisecond
			So(c.Decide(r, start), ShouldResemble, Decision{Reason: TooLate, RetryAfter: 500 * time.Millisecond})
		})
		Convey("under overload, jobs that need less than half of the resource are all accepted", func() {
			refused := 0
			for i := range 2000 {
				refused += refusalCount(c, newRequest(overload, small), start.Add(time.Duration(i)*5*time.Millisecond))
			}
			So(refused, ShouldEqual, 0)
		})
		Convey("under overload, jobs that need more than half of the resource get half of it", func() {
			accepted := time.Duration(0)
			const span = 20 * time.Second
			for now := time.Duration(0); now < span; now += time.Millisecond {
				if c.Decide(newRequest(overload, small), start.Add(now)).Reason == "" {
					accepted += small
				}
			}
			So(accepted, ShouldBeBetweenOrEqual, span/2, span/2+burst+small)
		})
		Convey("a job larger than the burst is accepted from a full budget, which then goes negative", func() {
			large := newRequest(overload, 3*burst)
			So(c.Decide(large, start).Reason, ShouldBeEmpty)
			got := c.Decide(newRequest(overload, small), start)
			So(got.Reason, ShouldEqual, Overloaded)
			So(got.Resource, ShouldEqual, "room")
			So(got.RetryAfter, ShouldEqual, 2*(2*burst+small))
		})
		Convey("the retry time is the drain time of the backlog if that is shorter", func() {
			So(c.Decide(newRequest(overload, 20*burst), start).Reason, ShouldBeEmpty)
			got := c.Decide(newRequest(BacklogThreshold+100*time.Millisecond, small), start)
			So(got.RetryAfter, ShouldEqual, 200*time.Millisecond)
		})
		Convey("a job that is refused for one resource is not charged to another", func() {
			calls := Demand{Resource: "calls", Backlog: overload, Added: 2 * burst}
			both := newRequest(overload, burst)
			both.Demands = append(both.Demands, calls)
			So(c.Decide(Request{Demands: []Demand{calls}}, start).Reason, ShouldBeEmpty)
			So(c.Decide(both, start).Resource, ShouldEqual, "calls")
			So(c.Decide(newRequest(overload, burst), start).Reason, ShouldBeEmpty)
		})
	})
}

// A client that retries after RetryAfter is accepted if no other job was submitted.
func TestRetryAfterIsLongEnough(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, now := &Controller{}, start
		waiting := BacklogThreshold + time.Duration(rapid.Int64Range(1, 20_000).Draw(t, "crowd_ms"))*time.Millisecond
		for range rapid.IntRange(1, 50).Draw(t, "jobs") {
			added := time.Duration(rapid.Int64Range(0, 2_000_000).Draw(t, "added_us")) * time.Microsecond
			got := c.Decide(newRequest(waiting, added), now)
			if got.Reason == "" {
				continue
			}
			if got.RetryAfter <= 0 {
				t.Fatalf("refused with retry after %v", got.RetryAfter)
			}
			// The backlog shrinks by the half of the resource that accepted work keeps.
			now = now.Add(got.RetryAfter)
			waiting -= time.Duration(newJobShare * float64(got.RetryAfter))
			if again := c.Decide(newRequest(waiting-time.Microsecond, added), now.Add(time.Microsecond)); again.Reason != "" {
				t.Fatalf("refused again: %+v after %+v", again, got)
			}
			if waiting <= BacklogThreshold {
				return
			}
		}
	})
}

// A backlog accepted before executors were lost drains while jobs worth twice the remaining
// capacity are submitted, and most small jobs are accepted meanwhile. When every job was
// checked against the same backlog bound, all were refused until half of the excess was gone.
func TestAcceptedBacklogDrainsUnderLoad(t *testing.T) {
	const (
		step  = 10 * time.Millisecond
		check = 2500 * time.Microsecond // time of all executors; 48 jobs a second are submitted
		sweep = 300 * time.Millisecond  // 6 jobs a second
	)
	c := &Controller{}
	oldBacklog, newBacklog := 12*time.Second, time.Duration(0)
	checks, accepted := 0, 0
	submit := func(added time.Duration, now time.Time) bool {
		if c.Decide(newRequest(oldBacklog+newBacklog, added), now).Reason != "" {
			return false
		}
		newBacklog += added
		return true
	}
	// Half of the capacity needs 8 s for the 4 s above the threshold, and 1 s for the
	// initial burst of new jobs.
	for i := range 900 {
		now := start.Add(time.Duration(i) * step)
		if i%2 == 0 {
			checks++
			if submit(check, now) {
				accepted++
			}
		}
		if i%17 == 0 {
			submit(sweep, now)
		}
		done := min(newBacklog, step) // new jobs that are in time run first
		newBacklog -= done
		oldBacklog -= min(oldBacklog, step-done)
	}
	if oldBacklog > BacklogThreshold {
		t.Errorf("%v of the accepted backlog remains after 9 s, it was 12 s", oldBacklog)
	}
	if accepted < checks*9/10 {
		t.Errorf("%d of %d checks accepted", accepted, checks)
	}
}
