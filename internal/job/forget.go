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
	// claimsResource is the rendezvous name of the role that forgets claims.
	claimsResource = "claims"
)

// forgetLoop forgets finished jobs and ended claims of idempotency keys after the document's retention, counted from when
// this process first saw them ended.
func (r *Runner) forgetLoop(ctx context.Context) {
	jobs, claims := map[string]time.Time{}, map[record.ClaimRef]time.Time{}
	for sleep(ctx, forgetInterval) {
		retention := r.c.Document().Limits.JobResultRetention()
		holder, holders := r.c.Holder(), r.c.Source.Holders()
		due := mine(dueOf(jobs, r.c.Source.Finished(), r.c.Now(), retention), holder, holders)
		// What is not forgotten now, for whatever reason, is due again next time.
		if len(due) > 0 {
			_ = r.c.submit(ctx, record.Op{JobForget: &record.JobForget{Jobs: due}})
		}
		// Every process watches the claims, so that the next one can take the role over at any time.
		old := dueOf(claims, r.c.Source.Claims(), r.c.Now(), retention)
		if len(old) > 0 && allot.Preferred(claimsResource, holders) == holder {
			r.forgetClaims(ctx, claims, old[:min(len(old), maxForgotten)])
		}
	}
}

func (r *Runner) forgetClaims(ctx context.Context, seen map[record.ClaimRef]time.Time, old []record.ClaimRef) {
	if err := r.c.submit(ctx, record.Op{ClaimsForget: &record.ClaimsForget{Claims: old}}); err != nil {
		return
	}
	// A key may be claimed again before the next look, and is kept for the whole time then.
	for _, claim := range old {
		delete(seen, claim)
	}
}

// dueOf updates seen, which holds when each ended item was first seen, and returns the items that were kept for long
// enough.
func dueOf[K comparable](seen map[K]time.Time, ended []K, now time.Time, retention time.Duration) []K {
	listed := make(map[K]bool, len(ended))
	var due []K
	for _, id := range ended {
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
