package capacity

import (
	"errors"
	"testing"
)

func TestMeasure(t *testing.T) {
	runs := 0
	both := newMemo(func(size int) ([2]float64, error) {
		runs++
		if size > 4 {
			return [2]float64{}, errors.New("too large")
		}
		return [2]float64{float64(size), float64(10 * size)}, nil
	})
	m := Measurement{Name: "m", Sizes: []int{1, 2, 3, 4}, Run: both.read(func(v [2]float64) float64 { return v[1] })}
	s, err := m.Measure(t.Context())
	if err != nil || len(s.Points) != 4 || s.Points[3] != (Point{Size: 4, Cost: 40}) {
		t.Fatal(s, err)
	}
	if _, err = m.Measure(t.Context()); err != nil || runs != 4 {
		t.Fatalf("%d runs, want each size once: %v", runs, err)
	}
	m.Sizes = []int{5}
	if _, err = m.Measure(t.Context()); err == nil {
		t.Fatal("the failure of a run is not told")
	}
}

// Every measurement can be fitted and has a name of its own.
func TestAllMeasurements(t *testing.T) {
	known := make(map[string]bool)
	for _, m := range AllMeasurements() {
		if known[m.Name] || m.Run == nil || m.XLabel == "" || m.YLabel == "" || len(m.Sizes) < MinPoints {
			t.Errorf("measurement %q is not complete or not the only one of its name", m.Name)
		}
		known[m.Name] = true
	}
}
