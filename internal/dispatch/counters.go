package dispatch

import (
	"encoding/json"
	"expvar"
	"sync/atomic"
	"time"

	"pollenlead/internal/metrics"
	"pollenlead/internal/worker"
	"pollenlead/internal/workload"
)

// counters holds the leader's metrics. They belong to the process, because a process may lead several terms.
type counters struct {
	accepted, starts, startsRefused, runsLost, strays, badEntries, appendRetries, moves, unstoredStarts expvar.Int
	unknownEnds, workersGivenUp, unconfirmedEntries, spareEnds, recordsRefused, startsLost, lateStarts  expvar.Int
	// evacuatedStarts counts the runs that were not started because the zone of their worker was evacuated, and
	// evacuationWaits holds the number of tasks that only workers of evacuated zones may run.
	evacuatedStarts, evacuationWaits expvar.Int
	waveStops                        expvar.Int
	// shedding counts how often a queue began to refuse work.
	shedding expvar.Int
	// reservations counts workers that a decision reserved for a task, heldBack how often one was not given to a task.
	reservations, heldBack expvar.Int
	ends                   expvar.Map
	jobs                   expvar.Map
	// doneMillis is the time from acceptance to the end of jobs that were done, and startMillis the time from
	// acceptance to the first start of a job.
	doneMillis, startMillis *metrics.Histogram
	usage                   *usageCounter
	late                    lateCounter
	runTimes                runTimesVar
	// jobBytes is what the state of jobs takes, by team, and jobBudget what it may take.
	jobBytes  teamBytes
	jobBudget expvar.Int
}

var sharedCounters = newCounters()

func newCounters() *counters {
	c := &counters{}
	m := expvar.NewMap("dispatch")
	m.Set("jobs_taken_over_total", &c.accepted)
	m.Set("starts_total", &c.starts)
	m.Set("starts_failed_total", &c.startsRefused)
	m.Set("runs_lost_total", &c.runsLost)
	m.Set("runs_lost_with_start_in_flight_total", &c.startsLost)
	m.Set("starts_answered_too_late_total", &c.lateStarts)
	m.Set("stray_runs_total", &c.strays)
	m.Set("bad_worker_entries_total", &c.badEntries)
	m.Set("unconfirmed_worker_entries_total", &c.unconfirmedEntries)
	m.Set("append_retries_total", &c.appendRetries)
	m.Set("unstored_starts_total", &c.unstoredStarts)
	m.Set("reservations_total", &c.reservations)
	m.Set("placements_held_back_total", &c.heldBack)
	m.Set("records_refused_total", &c.recordsRefused)
	m.Set("spare_ends_total", &c.spareEnds)
	m.Set("unknown_ends_total", &c.unknownEnds)
	m.Set("workers_given_up_total", &c.workersGivenUp)
	m.Set("instance_moves_total", &c.moves)
	m.Set("starts_withheld_by_evacuation_total", &c.evacuatedStarts)
	m.Set("tasks_awaiting_evacuations", &c.evacuationWaits)
	m.Set("runs_stopped_for_late_waves_total", &c.waveStops)
	m.Set("queue_overloads_total", &c.shedding)
	m.Set("runs_ended_total", c.ends.Init())
	m.Set("jobs_ended_total", c.jobs.Init())
	c.doneMillis, c.startMillis = metrics.NewHistogram(), metrics.NewHistogram()
	m.Set("job_done_milliseconds", c.doneMillis)
	m.Set("job_first_start_milliseconds", c.startMillis)
	c.usage = newUsageCounter()
	m.Set("instance_seconds", c.usage)
	c.late.publish(m)
	m.Set("run_times", &c.runTimes)
	m.Set("job_state_bytes", &c.jobBytes)
	m.Set("job_state_budget_bytes", &c.jobBudget)
	return c
}

func (c *counters) countRunEnd(kind worker.EndKind) { c.ends.Add(string(kind), 1) }

func (c *counters) countJobEnd(state workload.State, took time.Duration) {
	c.jobs.Add(string(state), 1)
	if state == workload.StateDone {
		c.doneMillis.Observe(took)
	}
}

// teamBytes is a metric by team.
type teamBytes struct{ encoded atomic.Pointer[string] }

func (b *teamBytes) set(teams map[string]int64) {
	text, err := json.Marshal(teams)
	if err != nil {
		return
	}
	encoded := string(text)
	b.encoded.Store(&encoded)
}

// String implements expvar.Var.
func (b *teamBytes) String() string {
	if encoded := b.encoded.Load(); encoded != nil {
		return *encoded
	}
	return "{}"
}
