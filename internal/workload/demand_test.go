package workload

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"pollenlead/internal/fleet"
)

// TestDemandOutlivesRepeatedSubmission guards against a job that fails after fewer attempts than its queue allowed when
// it was accepted, or that starts without a ticket: a repeated submission, stored after the queue had changed, is all
// that the next leader reads of the submission.
func TestDemandOutlivesRepeatedSubmission(t *testing.T) {
	is := is.New(t)
	spec := &fleet.JobSpec{Steps: []fleet.Step{{Count: 1}}}
	decode := func(s Submission) *Job {
		s.Queue, s.Pool, s.Spec = "queue", "pool", spec
		value, err := json.Marshal(s)
		is.NoErr(err)
		j, err := DecodeSubmission("0011223344556677", value)
		is.NoErr(err)
		return j
	}
	accepted := decode(Submission{Attempts: 5, NeedsTicket: true})
	accepted.Advance(time.Now(), 0)
	progress, err := json.Marshal(accepted.Progress())
	is.NoErr(err)
	repeated := decode(Submission{Attempts: 1})
	is.NoErr(repeated.Restore(progress, nil, time.Now()))
	is.Equal(repeated.Attempts, 5)
	is.True(repeated.NeedsTicket)

	withoutDemand, err := json.Marshal(Progress{State: StatePending})
	is.NoErr(err)
	unchanged := decode(Submission{Attempts: 3})
	is.NoErr(unchanged.Restore(withoutDemand, nil, time.Now()))
	is.Equal(unchanged.Attempts, 3)
}
