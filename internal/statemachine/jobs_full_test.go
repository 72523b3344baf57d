package statemachine

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"pollenlead/internal/record"
)

// TestJobsAreBounded guards against jobs that make the state too large for a snapshot, and against a size estimate that
// differs after Restore.
func TestJobsAreBounded(t *testing.T) {
	is := is.New(t)
	s := New()
	writer := record.Record{Writer: "entry-1", Incarnation: "a"}
	apply := func(op record.Op) Outcome {
		writer.Seq++
		writer.Ops = []record.Op{op}
		encoded, err := record.Encode(writer)
		is.NoErr(err)
		result, err := s.Apply(s.Next(), encoded)
		is.NoErr(err)
		return result.Outcomes[0]
	}
	apply(record.Op{SessionOpen: &record.SessionOpen{}})
	published := apply(record.Op{ConfigPublish: &record.ConfigPublish{Document: benchDocument()}})
	is.Equal(published.Detail, "")
	accept := func(n int) Outcome {
		return apply(record.Op{JobAccept: &record.JobAccept{
			Job: fmt.Sprintf("j%d", n), Team: s.Config().Document.Teams[0].Name, Service: s.Config().Document.Services[0].Name,
			KeyID: s.Config().Document.Teams[0].Keys[0].ID, Body: make([]byte, 256<<10),
		}})
	}
	n := 0
	for ; accept(n).Accepted; n++ {
	}
	is.Equal(accept(n).Reason, ReasonJobsFull)
	encoded, err := s.Encode()
	is.NoErr(err)
	is.True(len(encoded) < 64<<20)
	restored, err := Restore(encoded)
	is.NoErr(err)
	is.Equal(restored.jobBytes, s.jobBytes)
	is.True(apply(record.Op{JobCancel: &record.JobCancel{Jobs: []string{"j0"}, Actor: "a"}}).Accepted)
	is.True(accept(n).Accepted) // the body of the cancelled job has been removed
}
