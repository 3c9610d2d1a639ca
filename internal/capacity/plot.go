package capacity

import (
	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Dimensions of a plot.
const (
	plotWidth  = 14 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// Plot writes a plot of s and its fit to path. The file extension selects the
// format.
func Plot(s Series, f Fit, path string) error {
	p := plot.New()
	p.Title.Text = s.Name
	p.X.Label.Text = s.XLabel
	p.Y.Label.Text = s.YLabel
	points := make(plotter.XYs, len(s.Points))
	for i, point := range s.Points {
		points[i] = plotter.XY{X: point.Size, Y: point.Cost}
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return errors.Wrapf(err, "plot %s", s.Name)
	}
	line := plotter.NewFunction(f.At)
	p.Add(scatter, line, plotter.NewGrid())
	p.X.Min, p.Y.Min = 0, 0
	return errors.Wrapf(p.Save(plotWidth, plotHeight, path), "plot %s", s.Name)
}
