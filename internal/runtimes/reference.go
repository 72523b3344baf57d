package runtimes

import (
	"math"
	"time"
)

const (
	// averagedRuns is the number of recent runs over which the relation of run times to estimates is averaged.
	averagedRuns = 400
	// priorRuns is the weight, in runs, of the assumption that run times are proportional to estimates.
	priorRuns = 20
	// priorVariance is the assumed variance of the logarithms of estimates.
	priorVariance = 0.25
	// defaultEstimate is the run time of a task without an estimate in a queue without observations.
	defaultEstimate = time.Second
)

// reference predicts a run time from the estimate by a linear regression of logarithms. Its slope is the weight of the
// estimate against the typical run time of the queue, so that it shows by itself which of the two predicts better.
type reference struct {
	weight float64 // decayed number of runs
	// meanEstimate and meanTook are means of logarithms, variance and covariance the decayed sums of their products.
	meanEstimate, meanTook float64
	variance, covariance   float64
}

// observe records a run. A task without an estimate counts with the typical run time as its estimate.
func (r *reference) observe(estimate, took time.Duration) {
	x, y := r.logEstimate(estimate), math.Log(took.Seconds())
	const keep = 1 - 1.0/averagedRuns
	r.weight = r.weight*keep + 1
	dx := x - r.meanEstimate
	r.meanEstimate += dx / r.weight
	r.meanTook += (y - r.meanTook) / r.weight
	r.variance = r.variance*keep + dx*(x-r.meanEstimate)
	r.covariance = r.covariance*keep + dx*(y-r.meanTook)
}

func (r *reference) logEstimate(estimate time.Duration) float64 {
	if estimate > 0 {
		return math.Log(estimate.Seconds())
	}
	if r.weight > 0 {
		return r.meanEstimate
	}
	return math.Log(defaultEstimate.Seconds())
}

// slope returns the weight of the estimate, from 0 to 1.
func (r *reference) slope() float64 {
	const prior = priorRuns * priorVariance
	return min(max((r.covariance+prior)/(r.variance+prior), 0), 1)
}

// predict returns the run time that the distribution of the queue's factors relates to.
func (r *reference) predict(estimate time.Duration) time.Duration {
	x := r.logEstimate(estimate)
	bias := (r.meanTook - r.meanEstimate) * r.weight / (r.weight + priorRuns)
	y := r.meanEstimate + bias + r.slope()*(x-r.meanEstimate)
	if r.weight == 0 {
		y = x
	}
	return max(time.Duration(math.Exp(y)*float64(time.Second)), time.Microsecond)
}

// typical returns the geometric mean of the run times, or 0 if there are none.
func (r *reference) typical() time.Duration {
	if r.weight == 0 {
		return 0
	}
	return time.Duration(math.Exp(r.meanTook) * float64(time.Second))
}

// predictionErrors holds decaying means of the absolute logarithmic errors of predictions.
type predictionErrors struct{ runs, estimate, typical, model float64 }

func (e *predictionErrors) observe(estimate, predicted, typical, took time.Duration) {
	if estimate <= 0 || typical <= 0 {
		return
	}
	e.runs = min(e.runs+1, averagedRuns)
	add := func(mean *float64, prediction time.Duration) {
		*mean += (math.Abs(math.Log(float64(took)/float64(prediction))) - *mean) / e.runs
	}
	add(&e.estimate, estimate)
	add(&e.typical, typical)
	add(&e.model, predicted)
}
