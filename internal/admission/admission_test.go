package admission

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// room is a job that needs room of which so much waits.
func room(waiting, added time.Duration) Request {
	return Request{MaxUsefulWait: time.Second, Demands: []Demand{{Resource: "room", Backlog: waiting, Added: added}}}
}

// refusals returns 1 if the job is refused, else 0.
func refusals(g *Controller, r Request, now time.Time) int {
	if g.Decide(r, now).Reason != "" {
		return 1
	}
	return 0
}

func TestGate(t *testing.T) {
	const small, crowd = 2 * time.Millisecond, BacklogThreshold + 2*time.Second
	Convey("Given a gate", t, func() {
		g := &Controller{}
		Convey("while little waits every job is accepted", func() {
			refused := 0
			for range 1000 {
				refused += refusals(g, room(BacklogThreshold, time.Second), start)
			}
			So(refused, ShouldEqual, 0)
		})
		Convey("a job that would wait for too long is refused until it would not", func() {
			r := room(0, small)
			r.ExpectedWait = 1500 * time.Millisecond
			So(g.Decide(r, start), ShouldResemble, Decision{Reason: TooLate, RetryAfter: 500 * time.Millisecond})
		})
		Convey("while much waits, jobs that need less than half of the room are all accepted", func() {
			refused := 0
			for i := range 2000 {
				refused += refusals(g, room(crowd, small), start.Add(time.Duration(i)*5*time.Millisecond))
			}
			So(refused, ShouldEqual, 0)
		})
		Convey("and of more they get half", func() {
			accepted := time.Duration(0)
			const span = 20 * time.Second
			for now := time.Duration(0); now < span; now += time.Millisecond {
				if g.Decide(room(crowd, small), start.Add(now)).Reason == "" {
					accepted += small
				}
			}
			So(accepted, ShouldBeBetweenOrEqual, span/2, span/2+burst+small)
		})
		Convey("a job larger than a second's part is accepted when little was, and then paid for", func() {
			large := room(crowd, 3*burst)
			So(g.Decide(large, start).Reason, ShouldBeEmpty)
			got := g.Decide(room(crowd, small), start)
			So(got.Reason, ShouldEqual, Overloaded)
			So(got.Resource, ShouldEqual, "room")
			So(got.RetryAfter, ShouldEqual, 2*(2*burst+small))
		})
		Convey("clients come back when what waits has become less, if that is sooner", func() {
			So(g.Decide(room(crowd, 20*burst), start).Reason, ShouldBeEmpty)
			got := g.Decide(room(BacklogThreshold+100*time.Millisecond, small), start)
			So(got.RetryAfter, ShouldEqual, 200*time.Millisecond)
		})
		Convey("a job that is refused for one resource takes nothing of another", func() {
			calls := Demand{Resource: "calls", Backlog: crowd, Added: 2 * burst}
			both := room(crowd, burst)
			both.Demands = append(both.Demands, calls)
			So(g.Decide(Request{Demands: []Demand{calls}}, start).Reason, ShouldBeEmpty)
			So(g.Decide(both, start).Resource, ShouldEqual, "calls")
			So(g.Decide(room(crowd, burst), start).Reason, ShouldBeEmpty)
		})
	})
}

// A client that comes back when it was told to is accepted, if nobody else came.
func TestRetryAfterIsLongEnough(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g, now := &Controller{}, start
		waiting := BacklogThreshold + time.Duration(rapid.Int64Range(1, 20_000).Draw(t, "crowd_ms"))*time.Millisecond
		for range rapid.IntRange(1, 50).Draw(t, "jobs") {
			added := time.Duration(rapid.Int64Range(0, 2_000_000).Draw(t, "added_us")) * time.Microsecond
			got := g.Decide(room(waiting, added), now)
			if got.Reason == "" {
				continue
			}
			if got.RetryAfter <= 0 {
				t.Fatalf("refused, to come back after %v", got.RetryAfter)
			}
			// What waits becomes less by the half that is its own.
			now = now.Add(got.RetryAfter)
			waiting -= time.Duration(newShare * float64(got.RetryAfter))
			if again := g.Decide(room(waiting-time.Microsecond, added), now.Add(time.Microsecond)); again.Reason != "" {
				t.Fatalf("refused once more: %+v after %+v", again, got)
			}
			if waiting <= BacklogThreshold {
				return
			}
		}
	})
}

// What was accepted before executors were lost gets done while twice what the rest can
// carry is handed in, and most of the small jobs are served meanwhile. With the bound
// asked of every job alike they were all refused until half of the excess was gone.
func TestWhatWasAcceptedGetsDoneUnderLoad(t *testing.T) {
	const (
		step  = 10 * time.Millisecond
		check = 2500 * time.Microsecond // of all executors' time; 48 a second are handed in
		sweep = 300 * time.Millisecond  // 6 a second
	)
	g := &Controller{}
	old, fresh := 12*time.Second, time.Duration(0) // that waits
	checks, accepted := 0, 0
	handIn := func(added time.Duration, now time.Time) bool {
		if g.Decide(room(old+fresh, added), now).Reason != "" {
			return false
		}
		fresh += added
		return true
	}
	// Half of the room takes 8 s for the 4 s over the bound, and 1 s for the burst that
	// new jobs have at first.
	for i := range 900 {
		now := start.Add(time.Duration(i) * step)
		if i%2 == 0 {
			checks++
			if handIn(check, now) {
				accepted++
			}
		}
		if i%17 == 0 {
			handIn(sweep, now)
		}
		done := min(fresh, step) // what is new and in time goes first
		fresh -= done
		old -= min(old, step-done)
	}
	if old > BacklogThreshold {
		t.Errorf("%v of what was accepted waits after 9 s, 12 s did before", old)
	}
	if accepted < checks*9/10 {
		t.Errorf("%d of %d checks accepted", accepted, checks)
	}
}
