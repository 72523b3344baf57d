package dispatch

import (
	"expvar"
	"time"

	"github.com/rs/zerolog"

	"pollenlead/internal/workload"
)

// jobPhases is the time of a job from its acceptance to its published end, by what it spent it on.
type jobPhases struct {
	// read is the time until the leader had read the submission.
	read time.Duration
	// waiting is the time for which ready steps had tasks that were never assigned, summed over the steps.
	waiting time.Duration
	// store is the time from the end of the job until that end was published.
	store time.Duration
	// run is the remainder: runs, repeated runs, and reports of their ends.
	run time.Duration
}

// phases divides the time of a job whose end is published at the time now. Callers hold mu.
func (j *job) phases(now time.Time) jobPhases {
	p := jobPhases{read: j.readAfter, waiting: j.Waited, store: max(now.Sub(j.EndedAt), 0)}
	p.run = max(now.Sub(j.Submitted)-p.read-p.waiting-p.store, 0)
	return p
}

// late reports whether the job was done after its objective. A job that was done before this term has no objective.
func (j *job) late(state workload.State, now time.Time) bool {
	return state == workload.StateDone && j.objective > 0 && now.Sub(j.Submitted) > j.objective
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (p jobPhases) MarshalZerologObject(e *zerolog.Event) {
	e.Dur("read", p.read).Dur("waiting", p.waiting).Dur("run", p.run).Dur("store", p.store)
}

// lateCounter publishes the number of late jobs and the sums of their phases in milliseconds.
type lateCounter struct{ jobs, read, waiting, run, store expvar.Int }

func (c *lateCounter) publish(m *expvar.Map) {
	m.Set("late_jobs_total", &c.jobs)
	m.Set("late_jobs_read_milliseconds", &c.read)
	m.Set("late_jobs_waiting_milliseconds", &c.waiting)
	m.Set("late_jobs_run_milliseconds", &c.run)
	m.Set("late_jobs_store_milliseconds", &c.store)
}

func (c *lateCounter) add(p jobPhases) {
	c.jobs.Add(1)
	c.read.Add(p.read.Milliseconds())
	c.waiting.Add(p.waiting.Milliseconds())
	c.run.Add(p.run.Milliseconds())
	c.store.Add(p.store.Milliseconds())
}
