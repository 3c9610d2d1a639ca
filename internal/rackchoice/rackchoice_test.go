package rackchoice

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestChoose(t *testing.T) {
	racks := []Rack{{Name: "a", Now: 3, Later: 12}, {Name: "b", Now: 8, Later: 9}, {Name: "c", Now: 5, Later: 5}}
	for _, c := range []struct {
		name  string
		tasks int
		slack time.Duration
		racks []Rack
		want  string
	}{
		{"the tightest rack that fits", 4, time.Second, racks, "{[c] false}"},
		{"a rack that fits within the slack", 10, time.Second, racks, "{[a] true}"},
		{"few racks without slack", 10, 0, racks, "{[b c] false}"},
		{"few racks when none suffices", 13, time.Second, racks, "{[b c] false}"},
		{"the rack that the step runs on", 3, time.Second, []Rack{{Name: "a", Now: 3, Later: 3, Runs: 1}, {Name: "b", Now: 3, Later: 3}}, "{[a] false}"},
		{"the rack that the step runs on, later", 3, time.Second, []Rack{{Name: "a", Now: 1, Later: 3, Runs: 1}, {Name: "b", Now: 3, Later: 3}}, "{[a] true}"},
		{"further racks when that one is full", 3, 0, []Rack{{Name: "a", Later: 3, Runs: 1}, {Name: "b", Now: 3, Later: 3}}, "{[a b] false}"},
	} {
		if got := fmt.Sprint(Choose(c.tasks, c.slack, c.racks)); got != c.want {
			t.Errorf("%s: got %s, want %s", c.name, got, c.want)
		}
	}
}

// A choice that isn't the only possible one must never use more racks than needed.
func TestFewestRacks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var racks []Rack
		for i := range rapid.IntRange(1, 6).Draw(t, "racks") {
			now := rapid.IntRange(0, 6).Draw(t, "now")
			racks = append(racks, Rack{Name: fmt.Sprint(i), Now: now, Later: now})
		}
		tasks := rapid.IntRange(1, 20).Draw(t, "tasks")
		fewestPossible, total := len(racks)+1, 0
		for set := range 1 << len(racks) {
			sum, n := 0, 0
			for i, r := range racks {
				if set>>i&1 == 1 {
					sum, n = sum+r.Now, n+1
				}
			}
			if sum >= tasks {
				fewestPossible = min(fewestPossible, n)
			}
		}
		for _, r := range racks {
			total += r.Now
		}
		got := Choose(tasks, time.Second, racks)
		if total >= tasks && len(got.Racks) != fewestPossible {
			t.Fatalf("%d tasks on %v: %v, %d racks suffice", tasks, racks, got, fewestPossible)
		}
	})
}

func TestOrder(t *testing.T) {
	got := Order(10, map[string]float64{"a": 4, "b": 30, "c": 12, "d": 6})
	if want := "map[a:3 b:1 c:0 d:2]"; fmt.Sprint(got) != want {
		t.Errorf("got %v, want %v", got, want)
	}
}
