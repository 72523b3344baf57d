package runtimes

import (
	"math"
	"sort"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// factorUnit is the resolution of a recorded factor, maxFactor the largest one; larger ones count as this value.
	factorUnit = 0.001
	maxFactor  = 100
	// significantDigits is the number of significant decimal digits of a recorded factor.
	significantDigits = 2
	// windows and windowRuns determine which runs count: those of the current and of the previous windows.
	windows    = 3
	windowRuns = 200
	// tablePoints is the number of quantiles between which the distribution is interpolated.
	tablePoints = 32
	// tailExponent is the exponent of the power law that is assumed above the highest quantile.
	tailExponent = 4
	// refreshShare is the share of further runs after which the quantiles are read again.
	refreshShare = 0.05
)

// priorFactors is the distribution of factors of a queue without observations. Most estimates are a little too long.
var priorFactors = []float64{0.3, 0.45, 0.6, 0.7, 0.8, 0.9, 1, 1.1, 1.3, 1.7}

// distribution is the distribution of a positive factor. Runs leave it after some hundred further runs.
type distribution struct {
	recent   *hdrhistogram.WindowedHistogram
	recorded int // in the current window
	// total is the number of runs that were ever recorded, refreshAt that at which the table is read again.
	total, refreshAt int
	table            table
}

func newDistribution() distribution {
	d := distribution{recent: hdrhistogram.NewWindowed(windows, 1, maxFactor/factorUnit, significantDigits)}
	for _, f := range priorFactors {
		d.observe(f)
	}
	return d
}

func (d *distribution) observe(factor float64) {
	if d.recorded >= windowRuns {
		d.recent.Rotate()
		d.recorded = 0
	}
	d.recorded++
	d.total++
	// The clamped value is within the histogram's range, so RecordValue cannot fail.
	_ = d.recent.Current.RecordValue(int64(min(max(factor, factorUnit), maxFactor) / factorUnit))
}

// current returns the table of quantiles, which it reads again after enough further runs.
func (d *distribution) current() *table {
	if d.total >= d.refreshAt {
		d.table = newTable(d.recent.Merge())
		d.refreshAt = d.total + 1 + int(refreshShare*float64(min(d.total, windows*windowRuns)))
	}
	return &d.table
}

func (d *distribution) survival(x float64) float64      { return d.current().survival(x) }
func (d *distribution) quantile(p float64) float64      { return d.current().quantile(p) }
func (d *distribution) upperQuantile(s float64) float64 { return d.current().upperQuantile(s) }
func (d *distribution) meanExcess(x float64) float64    { return d.current().meanExcess(x) }

// table is a distribution function that is linear between some quantiles, with a power law above the highest.
type table struct {
	points [tablePoints]float64
	// above holds for each point the integral of the survival function from there on.
	above [tablePoints]float64
}

// pointSurvival is the probability of values above a point.
func pointSurvival(i int) float64 { return 1 - (float64(i)+0.5)/tablePoints }

func newTable(h *hdrhistogram.Histogram) table {
	var t table
	percentiles := make([]float64, tablePoints)
	for i := range percentiles {
		percentiles[i] = 100 * (1 - pointSurvival(i))
	}
	for i, v := range h.ValueAtPercentilesSlice(percentiles) {
		t.points[i] = float64(v) * factorUnit
	}
	const last = tablePoints - 1
	t.above[last] = pointSurvival(last) * t.points[last] / (tailExponent - 1)
	for i := last - 1; i >= 0; i-- {
		t.above[i] = t.above[i+1] + (t.points[i+1]-t.points[i])*(pointSurvival(i)+pointSurvival(i+1))/2
	}
	return t
}

// survival returns the probability of a value above x. It is never 0.
func (t *table) survival(x float64) float64 {
	const last = tablePoints - 1
	i := sort.SearchFloat64s(t.points[:], x)
	switch {
	case i > last:
		return pointSurvival(last) * math.Pow(t.points[last]/x, tailExponent)
	case i == 0:
		return 1 - (1-pointSurvival(0))*x/t.points[0]
	}
	part := (x - t.points[i-1]) / (t.points[i] - t.points[i-1])
	return pointSurvival(i-1) + part*(pointSurvival(i)-pointSurvival(i-1))
}

// quantile returns the value that a share p of all values does not exceed.
func (t *table) quantile(p float64) float64 { return t.upperQuantile(1 - p) }

// upperQuantile returns the value that a share of all values exceeds. The share may be too small for 1 minus it to
// differ from 1.
func (t *table) upperQuantile(share float64) float64 {
	const last = tablePoints - 1
	at := (1-share)*tablePoints - 0.5
	switch {
	case at >= last:
		return t.points[last] * math.Pow(pointSurvival(last)/max(share, math.SmallestNonzeroFloat64), 1.0/tailExponent)
	case at < 0:
		return t.points[0] * max(1-share, 0) / (1 - pointSurvival(0))
	}
	i := int(at)
	return t.points[i] + (at-float64(i))*(t.points[i+1]-t.points[i])
}

// meanExcess returns the expected excess over x of the values above x.
func (t *table) meanExcess(x float64) float64 {
	i := sort.SearchFloat64s(t.points[:], x)
	if i >= tablePoints {
		return x / (tailExponent - 1)
	}
	s := t.survival(x)
	return (t.above[i] + (t.points[i]-x)*(s+pointSurvival(i))/2) / s
}
