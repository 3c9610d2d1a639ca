package startorder

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var now = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func after(d time.Duration) time.Time { return now.Add(d) }

// What comes first of two steps under each policy.
func TestCompare(t *testing.T) {
	for _, c := range []struct {
		name            string
		first, second   Rank
		inClassesAsWell bool
	}{
		{"less to spare", Rank{LatestStart: after(time.Second)}, Rank{LatestStart: after(2 * time.Second)}, true},
		{"in time before late", Rank{LatestStart: after(9 * time.Second)}, Rank{Lateness: Late, LatestStart: after(-time.Second)}, true},
		{"late before overdue", Rank{Lateness: Late, LatestStart: after(-time.Second)}, Rank{Lateness: Overdue, LatestStart: after(-9 * time.Second)}, true},
		{"others before excess with as much to spare", Rank{LatestStart: after(400 * time.Millisecond)}, Rank{Excess: true, LatestStart: after(300 * time.Millisecond)}, true},
		{"short work in excess before work with seconds to spare", Rank{Excess: true, LatestStart: after(400 * time.Millisecond)}, Rank{LatestStart: after(8 * time.Second)}, false},
		{"work that has waited before short work in excess", Rank{LatestStart: after(2 * time.Second)}, Rank{Excess: true, LatestStart: after(400 * time.Millisecond)}, true},
		{"work in excess that can be in time before late work", Rank{Excess: true, LatestStart: after(time.Second)}, Rank{Lateness: Late, LatestStart: after(-time.Second)}, false},
		{"within the share first", Rank{LatestStart: after(time.Second)}, Rank{OverShare: true, LatestStart: after(500 * time.Millisecond)}, true},
		{"short work over the share before work with seconds to spare", Rank{OverShare: true, LatestStart: after(time.Second)}, Rank{LatestStart: after(5 * time.Second)}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			a, b := c.first, c.second
			if inClasses := a.Compare(b) < 0; inClasses != c.inClassesAsWell {
				t.Errorf("first in classes: %v, want %v", inClasses, c.inClassesAsWell)
			}
			a.Policy, b.Policy = Delays, Delays
			if a.Compare(b) >= 0 || b.Compare(a) <= 0 {
				t.Error("not first under delays")
			}
		})
	}
}

// The order is total: a sort by an order that isn't transitive would start steps in no order at all.
func TestOrderIsTransitive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := Policy(rapid.IntRange(0, 1).Draw(t, "policy"))
		draw := func(name string) Rank {
			return Rank{
				Policy: policy, Excess: rapid.Bool().Draw(t, name+" excess"), OverShare: rapid.Bool().Draw(t, name+" over share"),
				Lateness:    Lateness(rapid.IntRange(0, 2).Draw(t, name+" lateness")),
				LatestStart: after(time.Duration(rapid.IntRange(-5, 5).Draw(t, name+" latest start")) * time.Second),
			}
		}
		a, b, c := draw("a"), draw("b"), draw("c")
		if a.Compare(b) != -b.Compare(a) {
			t.Fatalf("%+v and %+v: %d, %d", a, b, a.Compare(b), b.Compare(a))
		}
		if a.Compare(b) <= 0 && b.Compare(c) <= 0 && a.Compare(c) > 0 {
			t.Fatalf("%+v, %+v, %+v aren't ordered", a, b, c)
		}
	})
}

// play serves one step a second for each tick, in the order of a policy, and returns how many were
// served by their latest start, of those in excess and of the others.
func play(policy Policy) (excessInTime, othersInTime int) {
	type step struct {
		rank    Rank
		arrives int
	}
	var waiting []step
	const tick = 100 * time.Millisecond
	for i := range 400 {
		if i < 30 { // a burst of short work of one workspace
			waiting = append(waiting, step{Rank{Policy: policy, Excess: true, LatestStart: after(time.Duration(i)*tick + 500*time.Millisecond)}, i})
		}
		if i < 60 && i%2 == 0 { // work of the others, with seconds to spare
			waiting = append(waiting, step{Rank{Policy: policy, LatestStart: after(time.Duration(i)*tick + 9*time.Second)}, i})
		}
		at := after(time.Duration(i) * tick)
		best := -1
		for k := range waiting {
			if waiting[k].rank.Lateness == InTime && at.After(waiting[k].rank.LatestStart) {
				waiting[k].rank.Lateness = Late
			}
			if best < 0 || waiting[k].rank.Compare(waiting[best].rank) < 0 {
				best = k
			}
		}
		if best < 0 {
			continue
		}
		if r := waiting[best].rank; r.Lateness == InTime && r.Excess {
			excessInTime++
		} else if r.Lateness == InTime {
			othersInTime++
		}
		waiting = append(waiting[:best], waiting[best+1:]...)
	}
	return excessInTime, othersInTime
}

// A burst of short work in excess is served in time by what work with seconds to spare leaves, and
// that work is still in time. In classes, the burst waits for all of it.
func TestBurstInExcessIsServedWithinOthersSlack(t *testing.T) {
	classExcess, classOthers := play(Classes)
	excess, others := play(Delays)
	if others != 30 || classOthers != 30 {
		t.Errorf("%d of 30 others in time, %d in classes", others, classOthers)
	}
	if excess < 27 || excess <= classExcess {
		t.Errorf("%d of 30 in excess in time, %d in classes", excess, classExcess)
	}
}
