package bench

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Fit is the least-squares line through the points of a series.
type Fit struct {
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	Residual  float64 `json:"residual"` // Root mean square error, in the unit of the values.
	RSquared  float64 `json:"r-squared"`
}

func fitLine(points []Point) Fit {
	xs := make([]float64, 0, len(points))
	ys := make([]float64, 0, len(points))
	for _, point := range points {
		xs = append(xs, point.Size)
		ys = append(ys, point.Value)
	}
	intercept, slope := stat.LinearRegression(xs, ys, nil, false)
	sum := 0.0
	for i := range xs {
		difference := ys[i] - intercept - slope*xs[i]
		sum += difference * difference
	}
	rSquared := stat.RSquared(xs, ys, nil, intercept, slope)
	if math.IsNaN(rSquared) {
		rSquared = 1 // All values are equal, so the fit is exact.
	}
	return Fit{
		Slope:     slope,
		Intercept: intercept,
		Residual:  math.Sqrt(sum / float64(len(points))),
		RSquared:  rSquared,
	}
}

// valueAt returns the line's value at size.
func (f Fit) valueAt(size float64) float64 {
	return f.Intercept + f.Slope*size
}
