package statemachine

import (
	"testing"

	"github.com/matryer/is"

	"pollenlead/internal/record"
)

// TestExpiredJobLease guards against moving the unit of a task that no longer runs, and against losing the unit of one
// that still runs, when the sessions of successive holders end. TestInvariants finds the first fault only with
// thousands of checks.
func TestExpiredJobLease(t *testing.T) {
	for name, c := range map[string]struct {
		ends         []string // how the sessions of the job's successive holders end
		leaseExpired bool
	}{
		"closed":             {[]string{"close"}, false},
		"closed twice":       {[]string{"close", "close"}, false},
		"revoked":            {[]string{"revoke"}, true},
		"revoked and closed": {[]string{"revoke", "close"}, true},
		"nobody left":        {[]string{"close", "close", "close"}, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, writers := New(), map[string]*writer{}
			for _, h := range []string{"a", "b", "c"} {
				writers[h] = &writer{name: h}
				writers[h].apply(t, s, record.Op{SessionOpen: &record.SessionOpen{}})
			}
			document := testDocument([]int{4}, testPools)
			instances := []record.Instance{{ID: "p-1", Phase: record.PhaseLive, Slots: 12}}
			writers["a"].apply(t, s, record.Op{ConfigPublish: &record.ConfigPublish{Document: document}},
				record.Op{InstancesReport: &record.InstancesReport{Instances: instances}})
			writers["a"].apply(t, s, record.Op{JobAccept: &record.JobAccept{Job: "j", Team: "a", KeyID: "ka", Service: "s"}},
				record.Op{JobStart: &record.JobStart{Job: "j", Attempt: 1, Instance: "p-1"}})
			for _, end := range c.ends {
				job, _ := s.Job("j")
				session, _ := s.Session(job.Holder)
				if end == "close" {
					writers[job.Holder].apply(t, s, record.Op{SessionClose: &record.SessionClose{}})
					continue
				}
				other := s.holders()[0]
				if other == job.Holder {
					other = s.holders()[1]
				}
				writers[other].apply(t, s, record.Op{
					SessionRevoke: &record.SessionRevoke{Holder: job.Holder, LastRenewal: session.LastRenewal},
				})
			}
			job, _ := s.Job("j")
			is.Equal(job.State, JobStarted)
			is.True(job.Adopted)
			is.Equal(job.LeaseExpired, c.leaseExpired)
			is.True(c.leaseExpired || s.TeamUnits(job.Holder, "a") > 0 && s.InstanceSlots(job.Holder, "p-1") > 0)
		})
	}
}
