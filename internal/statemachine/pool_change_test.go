package statemachine

import (
	"testing"

	"github.com/matryer/is"

	"pollenlead/internal/record"
)

// TestDocumentDuringMove guards against a new document that redirects a move that an operator started, and against one
// that leaves an instance moving to a pool that is no longer declared.
func TestDocumentDuringMove(t *testing.T) {
	all, onlyQ := testDocument([]int{4}, testPools), testDocument([]int{4}, testPools[1:])
	publish := func(version uint64, document string) record.Op {
		return record.Op{ConfigPublish: &record.ConfigPublish{Expect: version, Document: document}}
	}
	for name, c := range map[string]struct {
		ops                []record.Op
		pool, movingTo, id string
	}{
		"move leaves a removed pool": {
			[]record.Op{{InstanceMove: &record.InstanceMove{Instance: "p-1", From: "p", To: "q"}}, publish(1, onlyQ)},
			"p", "q", "p-1",
		},
		"removed pool": {[]record.Op{publish(1, onlyQ)}, "p", "spare", "p-1"},
		"removed pool returns": {
			[]record.Op{publish(1, onlyQ), publish(2, all)}, "p", "", "p-1",
		},
		"destination removed": {
			[]record.Op{{InstanceMove: &record.InstanceMove{Instance: "q-1", From: "q", To: "p"}}, publish(1, onlyQ)},
			"q", "", "q-1",
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, w := New(), &writer{name: "h"}
			w.apply(t, s, record.Op{SessionOpen: &record.SessionOpen{}}, publish(0, all))
			w.apply(t, s, record.Op{InstancesReport: &record.InstancesReport{Instances: []record.Instance{
				{ID: "p-1", Phase: record.PhaseLive, Slots: 4}, {ID: "q-1", Phase: record.PhaseLive, Slots: 4},
			}}})
			w.apply(t, s, c.ops...)
			instance, _ := s.Instance(c.id)
			is.Equal(instance.Pool, c.pool)
			is.Equal(instance.MovingTo, c.movingTo)
		})
	}
}
