package capacity

import (
	"errors"
	"testing"
)

func TestMeasure(t *testing.T) {
	runs := 0
	cache := newRunCache(func(size int) ([2]float64, error) {
		runs++
		if size > 4 {
			return [2]float64{}, errors.New("too large")
		}
		return [2]float64{float64(size), float64(10 * size)}, nil
	})
	m := Measurement{Name: "m", Sizes: []int{1, 2, 3, 4}, Run: cache.costFunc(func(v [2]float64) float64 { return v[1] })}
	s, err := m.Measure(t.Context())
	if err != nil || len(s.Points) != 4 || s.Points[3] != (Point{Size: 4, Cost: 40}) {
		t.Fatal(s, err)
	}
	if _, err = m.Measure(t.Context()); err != nil || runs != 4 {
		t.Fatalf("%d runs, want one for each of the 4 sizes; error: %v", runs, err)
	}
	m.Sizes = []int{5}
	if _, err = m.Measure(t.Context()); err == nil {
		t.Fatal("Measure returned no error for a failed run")
	}
}

// TestAllMeasurements checks that every measurement is complete, has enough sizes
// for a fit and has a unique name.
func TestAllMeasurements(t *testing.T) {
	seen := make(map[string]bool)
	for _, m := range AllMeasurements() {
		if seen[m.Name] || m.Run == nil || m.XLabel == "" || m.YLabel == "" || len(m.Sizes) < MinPoints {
			t.Errorf("measurement %q is incomplete or its name is not unique", m.Name)
		}
		seen[m.Name] = true
	}
}

// A request that fails before it reaches its endpoint must end the measurement.
func TestOpenRequestMeasurementEndsWhenRequestFails(t *testing.T) {
	h := &chainHarness{freeSlots: 0, release: make(chan struct{})} // all requests are refused
	if _, err := h.measureOpenRequests(3); err == nil {
		t.Fatal("no error, although no request reached its endpoint")
	}
}
