package dispatch

import (
	"encoding/json"
	"time"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/jobbudget"
)

// pendingCancelBytes is a cancellation that applies to no known job.
const pendingCancelBytes = 192

// JobBudget tells how much memory the state of jobs may take.
type JobBudget struct {
	// Bytes is the budget on the smallest instance that may lead; 0 means no limit.
	Bytes int64
	// Instances is the number of entry instances that accept jobs.
	Instances int
}

// publishedRoom is an encoded jobbudget.Room and the boot clock at which the jobs were counted.
type publishedRoom struct {
	encoded json.RawMessage
	at      time.Duration
}

// Room returns what the entry instances may accept, encoded; nil before the jobs have been loaded. It does not wait for
// a busy dispatcher: what it returned last is then of the same period, in which nothing more may be accepted.
func (d *Dispatcher) Room() json.RawMessage {
	if d.JobBudget == nil {
		return nil
	}
	budget := d.JobBudget()
	if budget.Bytes == 0 {
		return nil
	}
	if !d.lockWithin(stateLockTimeout) {
		if last := d.publishedRoom.Load(); last != nil {
			return last.encoded
		}
		return nil
	}
	defer d.mu.Unlock()
	if !d.loaded {
		return nil
	}
	h := d.holdings(budget)
	d.noteHoldings(h)
	at := bootclock.Now()
	encoded, err := json.Marshal(h.Room(at.Milliseconds()))
	if err != nil {
		d.Log.Error().Err(err).Str("event", "bad_room").Msg("room for jobs cannot be encoded")
		return nil
	}
	d.publishedRoom.Store(&publishedRoom{encoded: encoded, at: at})
	return encoded
}

// holdings counts the state of all jobs. Callers hold mu.
func (d *Dispatcher) holdings(budget JobBudget) jobbudget.Holdings {
	h := jobbudget.Holdings{
		Budget: budget.Bytes, Teams: map[string]int64{}, Instances: budget.Instances,
	}
	for _, j := range d.jobs {
		h.Teams[j.Team] += j.Bytes()
	}
	for _, list := range d.pendingCancels.byID {
		for i := range list {
			h.Teams[list[i].by.Value().Team] += pendingCancelBytes
		}
	}
	if c := d.Follower.Config(); c != nil {
		h.Shares = c.Shares()
	}
	return h
}

// noteHoldings publishes the bytes of each team's jobs as metrics, and logs when much of the budget is taken and when it
// no longer is. Callers hold mu.
func (d *Dispatcher) noteHoldings(h jobbudget.Holdings) {
	d.counters.jobBytes.set(h.Teams)
	d.counters.jobBudget.Set(h.Budget)
	scarce := h.Scarce()
	if scarce == d.jobMemoryScarce {
		return
	}
	d.jobMemoryScarce = scarce
	event, message := "job_memory_free", "the state of jobs takes little of its budget again"
	if scarce {
		event, message = "job_memory_scarce", "the state of jobs takes much of its budget"
	}
	d.Log.Info().Str("event", event).Int64("bytes", h.Total()).Int64("budget", h.Budget).Interface("teams", h.Teams).
		Msg(message)
}
