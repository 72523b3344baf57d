package runtimes

import "time"

// Stage is one of the steps that a job still has to pass through, one after the other. Its tasks run side by side.
type Stage struct {
	// Estimate is the estimated run time of a task; 0 if there is none.
	Estimate time.Duration
	// Elapsed is how long the tasks have been running.
	Elapsed time.Duration
}

// pathQuantiles is the number of quantiles at which the remaining time of a sequence of stages is compared with a
// deadline.
const pathQuantiles = 20

// PathLeft returns the expected remaining time of a sequence of stages.
func (m *Model) PathLeft(queue string, stages []Stage) time.Duration {
	sum := time.Duration(0)
	for _, s := range stages {
		sum += m.TimeLeft(queue, s.Estimate, s.Elapsed)
	}
	return sum
}

// PathLeftQuantile returns the remaining time that a share p of such sequences does not exceed, if all stages of a job
// deviate from their estimates alike.
func (m *Model) PathLeftQuantile(queue string, stages []Stage, p float64) time.Duration {
	sum := time.Duration(0)
	for _, s := range stages {
		sum += m.TimeLeftQuantile(queue, s.Estimate, s.Elapsed, p)
	}
	return sum
}

// PathDoneWithin returns the probability that a sequence of stages is done after the time within, in steps of a
// twentieth.
func (m *Model) PathDoneWithin(queue string, stages []Stage, within time.Duration) float64 {
	low, high := 0, pathQuantiles
	for low < high { // the largest quantile that is not later than the deadline
		middle := (low + high + 1) / 2
		if m.PathLeftQuantile(queue, stages, (float64(middle)-0.5)/pathQuantiles) <= within {
			low = middle
		} else {
			high = middle - 1
		}
	}
	return float64(low) / pathQuantiles
}

// Work returns the expected processor time of tasks that run side by side, in thousandths of a core times seconds.
func (m *Model) Work(queue string, estimate time.Duration, tasks int, cpuMilli int64) float64 {
	return float64(cpuMilli) * float64(tasks) * m.Mean(queue, estimate).Seconds()
}
