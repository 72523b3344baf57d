package dispatch

import (
	"errors"
	"time"

	"pollenlead/internal/bootclock"
)

// maxBulkCancelTime bounds the time for which one call of CancelJobs holds up the other work of the dispatcher.
const maxBulkCancelTime = 20 * time.Millisecond

// BulkCancellation tells how far the cancellation of a team's jobs has got.
type BulkCancellation struct {
	// Cancelled is the number of jobs that the call has cancelled, and Left that of the team's jobs of which no end is
	// stored yet.
	Cancelled int `json:"cancelled"`
	Left      int `json:"left"`
}

// ErrUnknownKey means that no team of the leader's configuration has the key.
var ErrUnknownKey = errors.New("dispatch: no team has this key in the leader's configuration")

// CancelJobs cancels jobs of the team that a key belongs to, as many as maxBulkCancelTime allows. The caller repeats it
// until none is left: a cancellation counts only once it is stored, as a change of leader loses the others. The leader
// checks the key itself, because anyone may reach its listener for peers.
func (d *Dispatcher) CancelJobs(key string) (BulkCancellation, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var b BulkCancellation
	c := d.Follower.Config()
	if !d.loaded || c == nil {
		return b, ErrNotLoaded
	}
	owner := c.TeamOfKey(key)
	if owner == nil {
		return b, ErrUnknownKey
	}
	team := owner.Name
	began := bootclock.Now()
	for _, j := range d.jobs {
		if j.Team != team || j.published.Ended() {
			continue
		}
		b.Left++
		if j.State.Ended() || bootclock.Now()-began > maxBulkCancelTime {
			continue
		}
		b.Cancelled++
		j.Cancel(d.now())
		d.markChanged(j)
		d.stopRuns(j)
	}
	if b.Cancelled > 0 {
		d.Log.Info().Str("event", "jobs_cancelled").Str("team", team).Int("cancelled", b.Cancelled).Int("left", b.Left).
			Msg("jobs of a team cancelled together")
	}
	return b, nil
}
