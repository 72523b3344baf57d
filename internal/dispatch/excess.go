package dispatch

import (
	"slices"
	"time"

	"pollenlead/internal/bootclock"
)

// noteSubmission counts a job that was read at the given boot clock against its team's share. Callers hold mu.
func (d *Dispatcher) noteSubmission(j *job, at time.Duration) {
	c := d.Follower.Config()
	if c == nil {
		return
	}
	if team := c.Team(j.Team); team != nil {
		j.excess = !d.rates.Admit(team.Name, team.Share, at)
	}
}

// replaySubmissions counts the jobs that were submitted before the term, in the order of their submission, so that a
// change of leader does not change which jobs are beyond the shares. Callers hold mu.
func (d *Dispatcher) replaySubmissions() {
	jobs := make([]*job, 0, len(d.jobs))
	for _, j := range d.jobs {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, func(a, b *job) int { return a.Submitted.Compare(b.Submitted) })
	boot, now := bootclock.Now(), d.now()
	for _, j := range jobs {
		d.noteSubmission(j, boot-max(now.Sub(j.Submitted), 0))
	}
}
