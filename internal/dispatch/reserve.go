package dispatch

import (
	"slices"
	"time"

	"pollenlead/internal/scheduling"
	"pollenlead/internal/workload"
)

// blockedStep is a ready step with waiting tasks that fit on no worker now.
type blockedStep struct {
	job        *job
	occurrence *workload.Occurrence
	step       *workload.Step
}

// maxRankAge is the age up to which the rank of a blocked step is not worked out again. A backlog has thousands of
// them.
const maxRankAge = time.Second

// blockedRank is the rank of a blocked step at a time.
type blockedRank struct {
	step *workload.Step
	rank scheduling.Rank
	at   time.Time
}

// rankOf returns the rank of a blocked step. Of one that has been worked out lately, only the slack has changed, by the
// time since then. Callers hold mu.
func (d *Dispatcher) rankOf(b blockedStep, now time.Time) scheduling.Rank {
	last := &b.job.blockedRank
	if last.step != b.step || now.Sub(last.at) > maxRankAge {
		*last = blockedRank{b.step, d.rank(b.job, b.occurrence, d.queue(b.job.Queue), now), now}
	}
	r := last.rank
	if r.Tier == scheduling.TierServing {
		return r
	}
	if r.Slack -= now.Sub(last.at); r.Slack < 0 && r.Tier == scheduling.TierOnTime {
		r.Tier = scheduling.TierLate
	}
	return r
}

// appendBlocked appends the blocked steps of the highest ranks, as many as can get reservations, and fills what the
// runs on the workers are expected to return. Callers hold mu.
func (d *Dispatcher) appendBlocked(
	wants []scheduling.PendingStep, workers []*scheduling.Worker, now time.Time,
) []scheduling.PendingStep {
	n := scheduling.MaxReservations(workers)
	if n == 0 || len(d.blocked) == 0 || len(wants) == 0 { // without wants there is nothing to hold back
		return wants
	}
	first := d.firstBlocked(n, now)
	for _, w := range workers {
		w.Releases = d.releases(d.agents[w.ID], now)
	}
	return append(wants, first...)
}

// firstBlocked returns up to n blocked steps of the highest ranks. Callers hold mu.
func (d *Dispatcher) firstBlocked(n int, now time.Time) []scheduling.PendingStep {
	var first []scheduling.PendingStep
	for _, b := range d.blocked {
		// Advice is asked for when a task can start, and without it a reservation may be at a worker that must not run it.
		if b.step.Spec.Gang || needsTicket(b.job, d.queue(b.job.Queue)) {
			continue
		}
		w := scheduling.PendingStep{Step: b.step, Rank: d.rankOf(b, now)}
		if len(first) == n && scheduling.CompareRanks(w, first[n-1]) >= 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(first, w, scheduling.CompareRanks)
		first = slices.Insert(first, at, w)
		first = first[:min(len(first), n)]
	}
	for i := range first {
		first[i].Waiting = first[i].Step.WaitingCount()
		first[i].Duration = d.expectedDuration(first[i].Step)
	}
	return first
}

// noteBlocked keeps a blocked step for the decision in progress. Callers hold mu.
func (d *Dispatcher) noteBlocked(b blockedStep) {
	if d.Reservations {
		d.blocked = append(d.blocked, b)
	}
}

// expectedDuration returns the expected run time of a task; 0 if its end is not expected or nobody needs it. Callers
// hold mu.
func (d *Dispatcher) expectedDuration(s *workload.Step) time.Duration {
	if s.Spec.LongRunning || !d.Reservations {
		return 0
	}
	return d.estimates.model.Mean(s.Job.Queue, s.Spec.Estimate)
}

// releases returns what the runs on a worker are expected to return. Callers hold mu.
func (d *Dispatcher) releases(a *agent, now time.Time) []scheduling.Release {
	list := make([]scheduling.Release, 0, len(a.runs))
	for _, r := range a.runs {
		s := r.Task.Step
		if s.Spec.LongRunning {
			continue
		}
		elapsed := time.Duration(0)
		if !r.ActiveSince.IsZero() {
			elapsed = now.Sub(r.ActiveSince)
		}
		left := d.estimates.model.TimeLeft(s.Job.Queue, s.Spec.Estimate, elapsed)
		list = append(list, scheduling.Release{At: now.Add(left), Amount: s.Spec.Charge()})
	}
	return list
}

// countReservations counts what the reservations of a decision did. Callers hold mu.
func (d *Dispatcher) countReservations(workers []*scheduling.Worker) {
	n := scheduling.CountReservations(workers)
	d.counters.reservations.Add(int64(n.Made))
	d.counters.heldBack.Add(int64(n.HeldBack))
}
