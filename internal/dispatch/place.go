package dispatch

import (
	"context"
	"errors"
	"fmt"
	"time"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/fleet"
	"pollenlead/internal/scheduling"
	"pollenlead/internal/workload"
)

const (
	// maxAdviceWorkers bounds the number of workers in one request for advice.
	maxAdviceWorkers = 12
	// adviceMargin is how long before its expiry a ticket is no longer used, because the start has to be stored and
	// sent first.
	adviceMargin     = 300 * time.Millisecond
	adviceTimeout    = 5 * time.Second
	adviceRetryDelay = 500 * time.Millisecond
)

// place assigns waiting tasks to workers in the pools in which something has changed.
func (d *Dispatcher) place() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.loaded || !d.spareEndsRead || len(d.dirty) == 0 {
		return
	}
	unchecked := d.uncheckedPools()
	d.sendWithheld(unchecked)
	now := d.now()
	byPool := d.usableWorkers(now)
	limits := d.limits(unchecked)
	var grown []string // pools with new waiting occurrences
	for pool := range d.dirty {
		workers := byPool[pool]
		if len(workers) == 0 {
			continue
		}
		wants := d.wants(pool, workers, unchecked, now)
		if len(wants) == 0 {
			continue
		}
		for _, p := range scheduling.Plan(workers, wants, limits, now) {
			if d.assign(p, now) {
				grown = append(grown, pool)
			}
		}
		d.countReservations(workers)
	}
	clear(d.dirty)
	for _, pool := range grown {
		d.dirty[pool] = true
		d.signal()
	}
}

// usableWorkers returns the workers of the changed pools that may get tasks, by pool. Callers hold mu.
func (d *Dispatcher) usableWorkers(now time.Time) map[string][]*scheduling.Worker {
	byPool := map[string][]*scheduling.Worker{}
	boot := bootclock.Now()
	for _, a := range d.agents {
		if a.entry == nil || !d.dirty[a.entry.Pool] || !d.usable(a, now, boot) {
			continue
		}
		byPool[a.entry.Pool] = append(byPool[a.entry.Pool], a.schedulingWorker(now))
	}
	return byPool
}

// schedulingWorker returns the scheduling state of a listed worker. Callers hold mu.
func (a *agent) schedulingWorker(now time.Time) *scheduling.Worker {
	return &scheduling.Worker{
		ID: a.id, Rack: a.entry.Rack, Labels: a.entry.Labels,
		Capacity: a.entry.Capacity, Free: a.entry.Capacity.Sub(a.used),
		Probe: a.health.probing(now), Runs: len(a.runs), Fillers: a.fillers, Servers: a.servers, Leaving: a.leaving,
	}
}

// usable reports whether a listed worker may get tasks. Callers hold mu.
func (d *Dispatcher) usable(a *agent, now time.Time, boot time.Duration) bool {
	return d.unusability(a, now, boot) == ""
}

// unusability returns why a listed worker may not get tasks; "" if it may. Callers hold mu.
func (d *Dispatcher) unusability(a *agent, now time.Time, boot time.Duration) scheduling.Exclusion {
	switch {
	case len(a.unclaimedRuns) > 0: // what they use is not counted yet
		return "unclaimed_runs"
	case a.entry.Draining:
		return "draining"
	case a.cordoned:
		return "cordoned"
	case !a.contacted:
		return "not_contacted"
	case a.silentSince != 0:
		return "silent"
	case !a.health.usable(now):
		return "backing_off"
	case !a.kindKnown():
		return "kind_unknown"
	case d.evacuating(a):
		return "zone_evacuated"
	// After this period the renewal of the worker is overdue.
	case boot-a.clockAt > idleHoldWait+d.lag.timeout(holdAnswerTimeout)+holdRetryDelay:
		return "renewal_overdue"
	}
	return ""
}

// kindKnown reports whether the worker's entry is of its present incarnation. The worker may be of another kind since a
// restart. Callers hold mu.
func (a *agent) kindKnown() bool {
	return a.incarnation == 0 || a.entry.Incarnation == 0 || a.entry.Incarnation == a.incarnation
}

// limits returns the resources that each team may still use, while runs that are not known may be on workers of the
// unchecked pools, and others are listed by their workers but belong to no known task. Callers hold mu.
func (d *Dispatcher) limits(unchecked map[string]bool) scheduling.Limits {
	limits := scheduling.Limits{}
	c := d.Follower.Config()
	if c == nil {
		return limits
	}
	unheard := d.unheardUses(c.Teams, unchecked)
	unclaimed, unread := d.unclaimedUses()
	for i := range c.Teams {
		t := &c.Teams[i]
		left := t.UpperLimit.Sub(d.running[t.Name]).Sub(unheard[t.Name]).Sub(unclaimed[t.Name]).Sub(unread)
		replaceZeroLimit(&left.CPUMilli, t.UpperLimit.CPUMilli)
		replaceZeroLimit(&left.MemoryMB, t.UpperLimit.MemoryMB)
		replaceZeroLimit(&left.GPU, t.UpperLimit.GPU)
		limits[t.Name] = &left
	}
	return limits
}

// replaceZeroLimit replaces what is left of a limit of 0, which stands for no limit, by an amount that is never used
// up.
func replaceZeroLimit(left *int64, limit int64) {
	if limit == 0 {
		*left = 1 << 60
	}
}

// wants returns the ready steps with waiting tasks, except of jobs that wait for the check of a worker. Callers hold
// mu.
func (d *Dispatcher) wants(
	pool string, workers []*scheduling.Worker, unchecked map[string]bool, now time.Time,
) []scheduling.PendingStep {
	var wants []scheduling.PendingStep
	d.blocked = d.blocked[:0]
	room := scheduling.MaxFree(workers)
	for id, j := range d.waiting[pool] {
		if d.awaitsCheck(j.Job, unchecked) || bootclock.Now() < j.unstorableUntil {
			continue
		}
		waits := false
		for _, o := range j.Occurrences {
			var occurrenceWaits bool
			wants, occurrenceWaits = d.appendWants(wants, j, o, room, workers, now)
			waits = waits || occurrenceWaits
		}
		if !waits {
			delete(d.waiting[pool], id)
		}
	}
	return d.appendBlocked(wants, workers, now)
}

// appendWants appends the ready steps of an occurrence that have waiting tasks. It reports whether there are any,
// including those that fit on no worker now. Callers hold mu.
func (d *Dispatcher) appendWants(
	wants []scheduling.PendingStep, j *job, o *workload.Occurrence, room fleet.Resources, workers []*scheduling.Worker,
	now time.Time,
) ([]scheduling.PendingStep, bool) {
	q := d.queue(j.Queue)
	var rank *scheduling.Rank
	waits := false
	for _, s := range o.Steps {
		if s.Open == 0 || !s.Ready() {
			continue
		}
		// Most steps of a full pool fit on no worker. They are skipped before anything is allocated for them.
		if !s.Spec.Charge().Fits(room) {
			if s.WaitingCount() > 0 {
				waits = true
				d.noteBlocked(blockedStep{j, o, s})
			}
			continue
		}
		waiting := s.WaitingCount()
		if waiting == 0 {
			continue
		}
		waits = true
		if rank == nil {
			r := d.rank(j, o, q, now)
			rank = &r
		}
		w := scheduling.PendingStep{Step: s, Waiting: waiting, Rank: *rank, Duration: d.expectedDuration(s)}
		if needsTicket(j, q) {
			if w.Tickets = d.tickets(s, workers); len(w.Tickets) == 0 {
				continue
			}
		}
		wants = append(wants, w)
	}
	return wants, waits
}

// rank returns the scheduling rank of an occurrence within its pool. Callers hold mu.
func (d *Dispatcher) rank(j *job, o *workload.Occurrence, q *fleet.Queue, now time.Time) scheduling.Rank {
	if j.Spec.LongRunning() {
		return scheduling.Rank{Tier: scheduling.TierServing, Priority: q.Priority, Submitted: j.Submitted}
	}
	begin := j.Submitted
	if due := j.Spec.DueAt(o.Number); !due.IsZero() {
		begin = due
	}
	timing := d.estimates.timing(o, q, now)
	timing.Elapsed, timing.Excess = now.Sub(begin), j.excess
	r := scheduling.Rank{Priority: q.Priority, Submitted: j.Submitted}
	r.Tier, r.Slack = timing.Classify()
	return r
}

// objective returns the time in which an occurrence should be done according to the estimates of its work. Callers
// hold mu.
func (d *Dispatcher) objective(o *workload.Occurrence, q *fleet.Queue) time.Duration {
	return time.Duration(float64(d.estimates.total(o))*q.Stretch) + q.LatencyObjective
}

// assign creates a run of a task. Its start is sent once the assignment is stored. It reports whether the job has got
// further occurrences: few of them wait at a time, and the task may be the first of its occurrence. Callers hold mu.
func (d *Dispatcher) assign(p scheduling.Placement, now time.Time) (grown bool) {
	t := p.Task
	number := t.LastRun + 1
	if j := d.jobs[t.Step.Job.ID]; !j.Started && j.firstStart == 0 {
		j.firstStart = now.Sub(j.Submitted)
		j.objective = d.objective(t.Step.Occurrence, d.queue(j.Queue))
		d.counters.startMillis.Observe(j.firstStart)
		d.Log.Info().Str("event", "job_started").Str("job", j.ID).Dur("after", j.firstStart).
			Dur("objective", j.objective).Str("worker", p.Worker.ID).Msg("first task of job assigned")
	}
	if t.Step.Spec.Gang {
		number = gangRunNumber(t)
	}
	r := t.Assign(p.Worker.ID, number, now)
	r.Ticket = p.Ticket
	d.attach(r)
	d.unreleased[r] = true
	j := d.jobs[t.Step.Job.ID]
	d.markChanged(j)
	d.Log.Debug().Str("event", "assigned").Str("task", t.Name()).Int("run", number).Str("worker", p.Worker.ID).
		Msg("task assigned")
	return d.advance(j)
}

// gangRunNumber returns the run number for a member of a gang. All members have the same one, which the first has been
// given already when the others are assigned.
func gangRunNumber(t *workload.Task) int {
	if t.Index > 0 {
		return t.Step.Task(0).LastRun
	}
	number := 1
	for member := range t.Step.Held() {
		number = max(number, member.LastRun+1)
	}
	return number
}

// advice is what the advice service has answered for a step. The workers that may run a step do not change, except that
// one may be of another kind after a restart.
type advice struct {
	tickets map[string]string
	until   time.Duration // boot clock
	// rejected holds the workers that may not run the step.
	rejected map[string]bool
	asking   bool
	retryAt  time.Duration // boot clock
}

func stepName(s *workload.Step) string {
	return fmt.Sprintf("%s.%d.%d", s.Job.ID, s.Occurrence.Number, s.Index)
}

// tickets returns the valid tickets of a step. If none of the workers has one, it asks for those that are not known to
// be rejected. Callers hold mu.
func (d *Dispatcher) tickets(s *workload.Step, workers []*scheduling.Worker) map[string]string {
	name := stepName(s)
	a := d.advice[name]
	if a == nil {
		a = &advice{rejected: map[string]bool{}}
		d.advice[name] = a
	}
	now := bootclock.Now()
	valid := now < a.until
	var ids []string
	for _, w := range workers {
		if valid && a.tickets[w.ID] != "" {
			return a.tickets
		}
		if len(ids) < maxAdviceWorkers && !a.rejected[w.ID] && s.Spec.Charge().Fits(w.Capacity) {
			ids = append(ids, w.ID)
		}
	}
	if len(ids) == 0 || a.asking || now < a.retryAt || d.Advisor == nil {
		return nil
	}
	a.asking = true
	go d.requestAdvice(name, s.Job.Pool, a, ids, d.incarnations(ids))
	return nil
}

// incarnations returns the known incarnation of each of the workers. Callers hold mu.
func (d *Dispatcher) incarnations(ids []string) map[string]int64 {
	known := make(map[string]int64, len(ids))
	for _, id := range ids {
		if a := d.agents[id]; a != nil {
			known[id] = a.incarnation
		}
	}
	return known
}

// forgetAdvice forgets what the advice service has answered about a worker whose known incarnation is over: a ticket is
// valid for one incarnation. Runs that wait with such a ticket are dropped; they were never sent. Callers hold mu.
func (d *Dispatcher) forgetAdvice(a *agent) {
	for _, x := range d.advice {
		delete(x.tickets, a.id)
		delete(x.rejected, a.id)
	}
	for _, r := range a.runs {
		if r.Ticket != "" && r.Incarnation == 0 && !r.Inherited && r.Phase == workload.RunAssigned {
			d.withdraw(a, r, false)
		}
	}
}

// requestAdvice requests advice on a step from the advice service, about workers whose incarnations are known.
func (d *Dispatcher) requestAdvice(name, pool string, a *advice, ids []string, known map[string]int64) {
	ctx, cancel := context.WithTimeout(d.ctx, adviceTimeout)
	defer cancel()
	sent := bootclock.Now()
	got, err := d.Advisor.Advise(ctx, name, ids)
	d.mu.Lock()
	defer d.mu.Unlock()
	a.asking = false
	if err != nil {
		a.retryAt = bootclock.Now() + adviceRetryDelay
		if !errors.Is(err, context.Canceled) {
			d.Log.Info().Str("event", "advice_failed").Str("step", name).Err(err).
				Msg("request for advice on a step failed")
		}
		return
	}
	present := d.incarnations(ids)
	for _, id := range ids {
		switch {
		case present[id] != known[id]:
			delete(got.Tickets, id) // the answer may be about its former incarnation
		case got.Tickets[id] == "":
			a.rejected[id] = true
		}
	}
	a.tickets, a.until = got.Tickets, sent+got.Validity-adviceMargin
	if bootclock.Now() >= a.until { // a validity this short leaves no time for a start
		a.retryAt = bootclock.Now() + adviceRetryDelay
	}
	d.dirty[pool] = true
	d.signal()
}
