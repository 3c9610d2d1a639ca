package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against refusals of jobs that executors are free for, and against accepted jobs that
// are worthless when they end.
func TestForecastDecision(t *testing.T) {
	const objective = 2 * time.Second
	for _, test := range []struct {
		name string
		r    ForecastRequest
		want Reason
	}{
		{"in time", ForecastRequest{End: objective, InExcess: true}, ""},
		{"late, and capacity until the objective is left", ForecastRequest{End: 3 * objective, InTimeEnd: objective}, ""},
		{"late, and the capacity until the objective is needed", ForecastRequest{End: objective + 1, InTimeEnd: objective + 1}, Booked},
		{"late and in excess", ForecastRequest{End: objective + 1, InTimeEnd: objective, InExcess: true}, InExcess},
		{"worthless", ForecastRequest{End: 3*objective + 1, InTimeEnd: objective}, TooLate},
		{"free now, while capacity is kept free for a gang", ForecastRequest{End: time.Hour, InTimeEnd: time.Hour, InExcess: true, FreeNow: true}, ""},
		{"free now, and late because of advice", ForecastRequest{End: 2 * objective, DelayedEnd: 2 * objective, FreeNow: true}, ""},
		{"free now, and worthless because of advice", ForecastRequest{End: time.Hour, DelayedEnd: 3*objective + 1, FreeNow: true}, TooLate},
	} {
		test.r.Objective = objective
		if got := test.r.Decide(); got.Reason != test.want {
			t.Errorf("%s: refused because %q, want %q", test.name, got.Reason, test.want)
		}
	}
}

// Guards against an order of the rules in which a later forecast end accepts a job that an
// earlier one refuses.
func TestLaterForecastIsNotBetter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := func(name string) time.Duration {
			return time.Duration(rapid.IntRange(0, 20_000).Draw(t, name)) * time.Millisecond
		}
		r := ForecastRequest{End: ms("end"), Objective: ms("objective"), DelayedEnd: ms("delayed"), InTimeEnd: ms("in_time"),
			FreeNow: rapid.Bool().Draw(t, "free"), InExcess: rapid.Bool().Draw(t, "excess"), RetryAfter: time.Second + ms("retry")}
		got := r.Decide()
		if got.Reason != "" && got.RetryAfter < time.Second {
			t.Fatalf("retry after %v", got.RetryAfter)
		}
		r.End += ms("more")
		if later := r.Decide(); got.Reason != "" && later.Reason == "" {
			t.Fatalf("refused because %q, accepted with a later end", got.Reason)
		}
	})
}
