package capacity

import (
	"math"
	"slices"
	"syscall"
	"time"
)

// Point is one measurement: the value Y at the size X.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Line is a least-squares line through measured points.
type Line struct {
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	// Residual is the root mean square of the distances of the points from the line, in the unit of Y.
	Residual float64 `json:"residual"`
	Points   []Point `json:"points"`
}

// Fit returns the least-squares line through points. At least two points must have different X.
func Fit(points []Point) Line {
	n := float64(len(points))
	var meanX, meanY float64
	for _, p := range points {
		meanX += p.X / n
		meanY += p.Y / n
	}
	var xx, xy float64
	for _, p := range points {
		xx += (p.X - meanX) * (p.X - meanX)
		xy += (p.X - meanX) * (p.Y - meanY)
	}
	l := Line{Slope: xy / xx, Points: points}
	l.Intercept = meanY - l.Slope*meanX
	var squares float64
	for _, p := range points {
		d := p.Y - l.At(p.X)
		squares += d * d
	}
	l.Residual = math.Sqrt(squares / n)
	return l
}

// At returns the value of the line at x.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

// Spread is the median and the range of a repeated measurement, in microseconds of processor time.
type Spread struct {
	Median float64 `json:"median_us"`
	Min    float64 `json:"min_us"`
	Max    float64 `json:"max_us"`
}

// processCPU returns the processor time of all threads of this process, including garbage collection.
func processCPU() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, err
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}

// cpuPer returns the processor time of one step, where run executes n equal steps. It calls run once per round.
func cpuPer(rounds, n int, run func() error) (Spread, error) {
	costs := make([]float64, 0, rounds)
	for range rounds {
		before, err := processCPU()
		if err != nil {
			return Spread{}, err
		}
		if err := run(); err != nil {
			return Spread{}, err
		}
		after, err := processCPU()
		if err != nil {
			return Spread{}, err
		}
		costs = append(costs, float64((after-before).Nanoseconds())/1e3/float64(n))
	}
	slices.Sort(costs)
	return Spread{Median: costs[len(costs)/2], Min: costs[0], Max: costs[len(costs)-1]}, nil
}
