package entry

import (
	"testing"

	"github.com/matryer/is"

	"pollenlead/internal/admission"
)

// Guards against heartbeats that omit queued work or that carry zero counts.
func TestLoadOfUsage(t *testing.T) {
	is := is.New(t)
	load := aggregateLoad([]admission.Usage{
		{Team: "a", Pool: "p", Running: 2}, {Team: "b", Pool: "p", Running: 1, Queued: 3}, {Team: "a", Pool: "q", Queued: 4},
	})
	is.Equal(load.Running, map[string]map[string]int{"p": {"a": 2, "b": 1}})
	is.Equal(load.Queued, map[string]map[string]int{"p": {"b": 3}, "q": {"a": 4}})
}
