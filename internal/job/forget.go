package job

import (
	"context"
	"time"

	"pollenlead/internal/allot"
	"pollenlead/internal/record"
)

const (
	// forgetInterval is the time between two checks for expired results, which are kept for minutes or hours.
	forgetInterval = 5 * time.Second
	// maxForgetPerOp bounds the items that one op forgets.
	maxForgetPerOp = 500
	// claimsResource is the rendezvous key of the role that forgets claims.
	claimsResource = "claims"
)

// forgetLoop forgets finished jobs and ended claims of idempotency keys after the document's retention period, counted
// from when this process first saw them ended.
func (r *Runner) forgetLoop(ctx context.Context) {
	jobs, claims := map[string]time.Time{}, map[record.ClaimRef]time.Time{}
	for sleep(ctx, forgetInterval) {
		retention := r.c.Document().Limits.JobResultRetention()
		holder, holders := r.c.Holder(), r.c.Source.Holders()
		due := preferredJobs(expired(jobs, r.c.Source.Finished(), r.c.Now(), retention), holder, holders)
		// Jobs that are not forgotten now, for whatever reason, are due again in the next round.
		if len(due) > 0 {
			_ = r.c.submit(ctx, record.Op{JobForget: &record.JobForget{Jobs: due}})
		}
		// Every process tracks the claims, so that another one can take over the role at any time.
		old := expired(claims, r.c.Source.Claims(), r.c.Now(), retention)
		if len(old) > 0 && allot.Preferred(claimsResource, holders) == holder {
			r.forgetClaims(ctx, claims, old[:min(len(old), maxForgetPerOp)])
		}
	}
}

func (r *Runner) forgetClaims(ctx context.Context, seen map[record.ClaimRef]time.Time, old []record.ClaimRef) {
	if err := r.c.submit(ctx, record.Op{ClaimsForget: &record.ClaimsForget{Claims: old}}); err != nil {
		return
	}
	// A key may be claimed again before the next check. Its new claim is then kept for the full retention period.
	for _, claim := range old {
		delete(seen, claim)
	}
}

// expired returns the ended items whose retention period has passed. It maintains seen, the time at which each ended
// item was first seen.
func expired[K comparable](seen map[K]time.Time, ended []K, now time.Time, retention time.Duration) []K {
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

// preferredJobs returns the jobs that holder has to forget, which are those for which it has the highest rendezvous
// score, up to maxForgetPerOp.
func preferredJobs(ids []string, holder string, holders []string) []string {
	var own []string
	for _, id := range ids {
		if len(own) < maxForgetPerOp && allot.Preferred(id, holders) == holder {
			own = append(own, id)
		}
	}
	return own
}
