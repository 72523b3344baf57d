package job

import (
	"context"
	"time"

	"pollenlead/internal/allot"
	"pollenlead/internal/record"
)

const (
	// forgetInterval is the time between two looks for old results; they are kept for minutes or hours.
	forgetInterval = 5 * time.Second
	// maxForgotten bounds one op.
	maxForgotten = 500
)

// forgetLoop forgets finished jobs after the document's retention, counted from when this process first saw them finished.
func (r *Runner) forgetLoop(ctx context.Context) {
	seen := map[string]time.Time{}
	for sleep(ctx, forgetInterval) {
		due := dueJobs(seen, r.c.Source.Finished(), r.c.Now(), r.c.Document().Limits.JobResultRetention())
		due = mine(due, r.c.Holder(), r.c.Source.Holders())
		if len(due) == 0 {
			continue
		}
		// Jobs that are not forgotten now, for whatever reason, are due again next time.
		_ = r.c.submit(ctx, record.Op{JobForget: &record.JobForget{Jobs: due}})
	}
}

// dueJobs updates seen, which holds when each finished job was first seen, and returns the jobs that were kept for long
// enough.
func dueJobs(seen map[string]time.Time, finished []string, now time.Time, retention time.Duration) []string {
	listed := make(map[string]bool, len(finished))
	var due []string
	for _, id := range finished {
		listed[id] = true
		first, ok := seen[id]
		if !ok {
			first = now
			seen[id] = now
		}
		if now.Sub(first) >= retention {
			due = append(due, id)
		}
	}
	for id := range seen {
		if !listed[id] {
			delete(seen, id)
		}
	}
	return due
}

// mine returns the jobs that holder forgets: those for which it has the highest rendezvous score.
func mine(ids []string, holder string, holders []string) []string {
	var own []string
	for _, id := range ids {
		if len(own) < maxForgotten && allot.Preferred(id, holders) == holder {
			own = append(own, id)
		}
	}
	return own
}
