// Package runtimes owns what is known of the run time of tasks. It learns the distribution of run times of each queue
// from the runs that are done, and answers how long a run takes, how long it will go on, and how likely it is done in
// time. It is pure: it reads no clock, and its caller guards it against concurrent use.
package runtimes

import "time"

// Model holds the distributions of the run times of all queues. A queue without observations has a prior: the estimate
// times a distribution of common errors of estimates.
type Model struct {
	queues map[string]*queueModel
	// prior answers for the queues without observations.
	prior *queueModel
}

// queueModel predicts the run time of a queue's tasks as a reference time, which depends on the estimate, times a
// random factor.
type queueModel struct {
	reference reference
	factors   distribution
	// errors is the decaying mean error of three predictions of the same runs.
	errors predictionErrors
}

// NewModel returns a model without observations.
func NewModel() *Model { return &Model{queues: map[string]*queueModel{}, prior: newQueueModel()} }

func newQueueModel() *queueModel { return &queueModel{factors: newDistribution()} }

// queue returns the model that answers for a queue.
func (m *Model) queue(name string) *queueModel {
	if q := m.queues[name]; q != nil {
		return q
	}
	return m.prior
}

// Observe records that a task of the queue with the given estimate was done after the time took. An estimate of 0 means
// that there is none.
func (m *Model) Observe(queue string, estimate, took time.Duration) {
	if took <= 0 {
		return
	}
	q := m.queues[queue]
	if q == nil {
		q = newQueueModel()
		m.queues[queue] = q
	}
	predicted := q.reference.predict(estimate)
	q.errors.observe(estimate, predicted, q.reference.typical(), took)
	q.factors.observe(float64(took) / float64(predicted))
	q.reference.observe(estimate, took)
}

// Quantile returns the run time that a share p of such tasks does not exceed.
func (m *Model) Quantile(queue string, estimate time.Duration, p float64) time.Duration {
	return m.TimeLeftQuantile(queue, estimate, 0, p)
}

// Mean returns the expected run time.
func (m *Model) Mean(queue string, estimate time.Duration) time.Duration {
	return m.TimeLeft(queue, estimate, 0)
}

// TimeLeft returns the expected remaining time of a run that has been running for the time elapsed.
func (m *Model) TimeLeft(queue string, estimate, elapsed time.Duration) time.Duration {
	q := m.queue(queue)
	unit := float64(q.reference.predict(estimate))
	return time.Duration(unit * q.factors.meanExcess(float64(elapsed)/unit))
}

// TimeLeftQuantile returns the remaining time that a share p of the runs that have been running for the time elapsed
// does not exceed.
func (m *Model) TimeLeftQuantile(queue string, estimate, elapsed time.Duration, p float64) time.Duration {
	q := m.queue(queue)
	unit := float64(q.reference.predict(estimate))
	from := float64(elapsed) / unit
	to := q.factors.upperQuantile((1 - p) * q.factors.survival(from))
	return time.Duration(unit * max(to-from, 0))
}

// DoneWithin returns the probability that a run that has been running for the time elapsed is done after the further
// time within.
func (m *Model) DoneWithin(queue string, estimate, elapsed, within time.Duration) float64 {
	if within <= 0 {
		return 0
	}
	q := m.queue(queue)
	unit := float64(q.reference.predict(estimate))
	left := q.factors.survival(float64(elapsed+within) / unit)
	return 1 - left/q.factors.survival(float64(elapsed)/unit)
}

// Stats describes what is known of a queue.
type Stats struct {
	// Runs is the decayed number of runs that were observed.
	Runs float64 `json:"runs"`
	// Slope is the weight of the estimate: 1 if run times are proportional to it, 0 if it tells nothing.
	Slope float64 `json:"estimate_weight"`
	// TypicalMillis is the geometric mean of the run times.
	TypicalMillis int64 `json:"typical_ms"`
	// P10, P50 and P90 are quantiles of the ratio of the run time to the predicted one.
	P10 float64 `json:"p10"`
	P50 float64 `json:"p50"`
	P90 float64 `json:"p90"`
	// EstimateError, TypicalError and ModelError are the mean absolute logarithms of the run time's ratio to the
	// estimate, to the typical run time and to the prediction of the model.
	EstimateError float64 `json:"estimate_error"`
	TypicalError  float64 `json:"typical_error"`
	ModelError    float64 `json:"model_error"`
}

// Stats returns what is known of each queue that has been asked about or observed.
func (m *Model) Stats() map[string]Stats {
	all := make(map[string]Stats, len(m.queues))
	for name, q := range m.queues {
		all[name] = Stats{
			Runs: q.reference.weight, Slope: q.reference.slope(), TypicalMillis: q.reference.typical().Milliseconds(),
			P10: q.factors.quantile(0.1), P50: q.factors.quantile(0.5), P90: q.factors.quantile(0.9),
			EstimateError: q.errors.estimate, TypicalError: q.errors.typical, ModelError: q.errors.model,
		}
	}
	return all
}
