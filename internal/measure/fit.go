package measure

import "math"

// Fit is a least-squares line through the samples.
type Fit struct {
	// Base is the value at 0, Slope the increase per unit.
	Base  float64 `json:"base"`
	Slope float64 `json:"slope"`
	// SlopeError is the standard error of the slope.
	SlopeError float64 `json:"slope_error"`
	// R2 is the coefficient of determination, 1 if all points are on the line.
	R2 float64 `json:"r2"`
}

// fitLine fits a line through points. It needs at least three, which must not
// all have the same x.
func fitLine(x, y []float64) Fit {
	n := float64(len(x))
	meanX, meanY := mean(x), mean(y)
	var sxx, sxy, syy float64
	for i := range x {
		sxx += (x[i] - meanX) * (x[i] - meanX)
		sxy += (x[i] - meanX) * (y[i] - meanY)
		syy += (y[i] - meanY) * (y[i] - meanY)
	}
	f := Fit{Slope: sxy / sxx}
	f.Base = meanY - f.Slope*meanX
	var residual float64
	for i := range x {
		d := y[i] - f.Base - f.Slope*x[i]
		residual += d * d
	}
	f.SlopeError = math.Sqrt(residual / (n - 2) / sxx)
	f.R2 = 1
	if syy > 0 {
		f.R2 = 1 - residual/syy
	}
	return f
}

// mean returns the arithmetic mean of values, NaN for none.
func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}
