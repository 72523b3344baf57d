package statemachine

import (
	"fmt"
	"strings"
	"testing"

	"pollenlead/internal/record"
)

// The scale that the design must support in two years.
const (
	benchInstances = 860
	benchPools     = 38
	benchTeams     = 26
	benchHolders   = 9
	benchJobs      = 80_000
)

// writer encodes the records of one incarnation.
type writer struct {
	name string
	seq  uint64
}

func (w *writer) record(ops ...record.Op) []byte {
	w.seq++
	data, err := record.Encode(record.Record{Writer: w.name, Incarnation: w.name, Seq: w.seq, Ops: ops})
	if err != nil {
		panic(err)
	}
	return data
}

// apply applies a record of ops that must all be accepted.
func (w *writer) apply(tb testing.TB, s *State, ops ...record.Op) {
	tb.Helper()
	result, err := s.Apply(s.Next(), w.record(ops...))
	if err != nil {
		tb.Fatal(err)
	}
	for _, o := range result.Outcomes {
		if !o.Accepted {
			tb.Fatalf("%s rejected: %s %s", o.Kind, o.Reason, o.Detail)
		}
	}
}

func benchDocument() string {
	var doc strings.Builder
	doc.WriteString("schema: 1\npools:\n  - {name: spare, spare: true}\n")
	for n := range benchPools {
		fmt.Fprintf(&doc, "  - {name: p%02d, members: [w%02d-], availability_budget: {min_available_percent: 80}}\n", n, n)
	}
	doc.WriteString("services: [{name: s, pool: p00, timeout_seconds: 1}]\nteams:\n")
	for n := range benchTeams {
		fmt.Fprintf(&doc, "  - {name: t%02d, share: 1, upper_limit: 400, keys: [{id: k%02d, sha256: %q}]}\n",
			n, n, strings.Repeat("0", 64))
	}
	return doc.String()
}

// benchState returns a state at full scale, with every slot granted and 80,000 waiting jobs.
func benchState(tb testing.TB) (*State, []*writer) {
	s := New()
	writers := make([]*writer, benchHolders)
	for n := range writers {
		writers[n] = &writer{name: fmt.Sprintf("holder-%d", n)}
		writers[n].apply(tb, s, record.Op{SessionOpen: &record.SessionOpen{}})
	}
	var report record.InstancesReport
	for n := range benchInstances {
		report.Instances = append(report.Instances, record.Instance{
			ID: fmt.Sprintf("w%02d-%03d", n%benchPools, n), AvailabilityZone: fmt.Sprint(n % 6),
			Phase: record.PhaseLive, Slots: 8,
		})
	}
	writers[0].apply(tb, s, record.Op{ConfigPublish: &record.ConfigPublish{Document: benchDocument()}},
		record.Op{InstancesReport: &report})
	for n := 0; n < benchJobs; n += 1000 {
		var ops []record.Op
		for j := n; j < n+1000; j++ {
			ops = append(ops, record.Op{JobAccept: &record.JobAccept{
				Job: fmt.Sprintf("j%06d", j), Team: fmt.Sprintf("t%02d", j%benchTeams),
				KeyID: fmt.Sprintf("k%02d", j%benchTeams), Service: "s",
			}})
		}
		writers[n/1000%benchHolders].apply(tb, s, ops...)
	}
	return s, writers
}

func BenchmarkApplyJobStartAndRetry(b *testing.B) {
	s, writers := benchState(b)
	job := s.JobsOf(writers[0].name)[0]
	instance := ""
	for id := range s.Allotment(writers[0].name).Slots {
		instance = id
	}
	for n := 1; b.Loop(); n++ {
		writers[0].apply(b, s,
			record.Op{JobStart: &record.JobStart{Job: job.ID, Attempt: n, Instance: instance}},
			record.Op{JobFinish: &record.JobFinish{Job: job.ID, Attempt: n, Outcome: record.OutcomeRetry}})
	}
}

func BenchmarkApplyDemandOfAllPools(b *testing.B) {
	s, writers := benchState(b)
	for n := 0; b.Loop(); n++ {
		var demand record.Demand
		for p := range benchPools {
			demand.Pools = append(demand.Pools, record.ResourceDemand{Name: fmt.Sprintf("p%02d", p), Wanted: n%50 + p})
		}
		for t := range benchTeams {
			demand.Teams = append(demand.Teams, record.ResourceDemand{Name: fmt.Sprintf("t%02d", t), Wanted: n%50 + t})
		}
		writers[n%benchHolders].apply(b, s, record.Op{Demand: &demand})
	}
}

func BenchmarkApplyDemandOfOnePool(b *testing.B) {
	s, writers := benchState(b)
	for n := 0; b.Loop(); n++ {
		want := []record.ResourceDemand{{Name: "p07", Wanted: n % 50}}
		writers[n%benchHolders].apply(b, s, record.Op{Demand: &record.Demand{Pools: want}})
	}
}

// BenchmarkApplySessionCloseAndOpen closes the oldest session, which reassigns a ninth of the jobs, and opens a new
// one.
func BenchmarkApplySessionCloseAndOpen(b *testing.B) {
	s, writers := benchState(b)
	for n := 0; b.Loop(); n++ {
		at := n % benchHolders
		writers[at].apply(b, s, record.Op{SessionClose: &record.SessionClose{}})
		writers[at] = &writer{name: fmt.Sprintf("later-%d", n)}
		writers[at].apply(b, s, record.Op{SessionOpen: &record.SessionOpen{}})
	}
}

func BenchmarkAllotment(b *testing.B) {
	s, writers := benchState(b)
	for b.Loop() {
		s.Allotment(writers[0].name)
	}
}

func BenchmarkJobsOf(b *testing.B) {
	s, writers := benchState(b)
	for b.Loop() {
		s.JobsOf(writers[0].name)
	}
}
