// Package capacity estimates what each role costs at sizes too large to run on one
// machine. It measures a cost at several smaller sizes, fits a straight line and
// reports how far the points deviate from it.
package capacity

import (
	"fmt"
	"math"
)

// MinPoints is the minimum number of sizes for a fit.
const MinPoints = 4

// Point is one measurement.
type Point struct {
	Size float64
	Cost float64
}

// Series is one cost measured at several sizes.
type Series struct {
	Name   string
	XLabel string
	YLabel string // includes the unit
	Points []Point
}

// Fit is a straight line through a series: Cost = Intercept + Slope*Size.
type Fit struct {
	Slope     float64
	Intercept float64
	// Residual is the maximum vertical distance of a point from the line, as a
	// share of the largest measured cost.
	Residual float64
}

// NewFit returns the least-squares line through s. It fails if s has fewer than
// MinPoints points or all sizes are equal.
func NewFit(s Series) (Fit, error) {
	if len(s.Points) < MinPoints {
		return Fit{}, fmt.Errorf("series %s has %d points, want at least %d", s.Name, len(s.Points), MinPoints)
	}
	var sumX, sumY float64
	for _, p := range s.Points {
		sumX += p.Size
		sumY += p.Cost
	}
	n := float64(len(s.Points))
	meanX, meanY := sumX/n, sumY/n
	var sxx, sxy, largest float64
	for _, p := range s.Points {
		sxx += (p.Size - meanX) * (p.Size - meanX)
		sxy += (p.Size - meanX) * (p.Cost - meanY)
		largest = math.Max(largest, math.Abs(p.Cost))
	}
	if sxx == 0 {
		return Fit{}, fmt.Errorf("series %s has only one size", s.Name)
	}
	f := Fit{Slope: sxy / sxx}
	f.Intercept = meanY - f.Slope*meanX
	for _, p := range s.Points {
		distance := math.Abs(p.Cost - f.At(p.Size))
		if largest > 0 {
			f.Residual = math.Max(f.Residual, distance/largest)
		}
	}
	return f, nil
}

// At returns the fitted cost at a size.
func (f Fit) At(size float64) float64 {
	return f.Intercept + f.Slope*size
}
