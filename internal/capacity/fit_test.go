package capacity

import (
	"math"
	"testing"
)

func TestFit(t *testing.T) {
	s := Series{Name: "line", Points: []Point{{1, 5}, {2, 7}, {3, 9}, {4, 11}}}
	f, err := NewFit(s)
	if err != nil {
		t.Fatal(err)
	}
	if math.Abs(f.Slope-2) > 1e-9 || math.Abs(f.Intercept-3) > 1e-9 || f.Residual > 1e-9 {
		t.Fatalf("got %+v, want slope 2, intercept 3 and residual 0", f)
	}
	s.Points[3].Cost = 22
	if f, _ = NewFit(s); f.Residual < 0.1 {
		t.Fatalf("residual %f with a point far off the line, want at least 0.1", f.Residual)
	}
	if _, err = NewFit(Series{Points: s.Points[:3]}); err == nil {
		t.Fatal("fit of three points succeeded")
	}
}
