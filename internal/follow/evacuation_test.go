package follow

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"pollenlead/internal/store"
)

func newEvacuationFollower() *Follower {
	evacuated := func(key string) (string, bool) { return strings.CutPrefix(key, "evacuate/") }
	return New(nil, Decoder{ConfigKey: "config", Evacuation: evacuated}, zerolog.Nop())
}

func record(offset int64, value string) store.Record {
	return store.Record{Key: "evacuate/z0", Value: []byte(value), Offset: offset}
}

// TestStaleReadKeepsTheEvacuation guards against a stale read of the store that takes back an evacuation, or brings one
// back that was taken back.
func TestStaleReadKeepsTheEvacuation(t *testing.T) {
	is := is.New(t)
	f := newEvacuationFollower()
	f.apply(record(7, "{}"))
	is.True(f.Evacuating("z0") && !f.Evacuating("z1"))
	f.syncEvacuations(map[string]bool{"config": true}, 7) // read before the request was appended
	is.Equal(f.EvacuatedZones(), []string{"z0"})
	f.apply(record(9, ""))
	is.True(!f.Evacuating("z0"))
	f.apply(record(7, "{}"))
	is.True(!f.Evacuating("z0"))
	f.apply(record(11, "{}"))
	is.True(f.Evacuating("z0"))
}

// TestTrimmedRemovalTakesTheEvacuationBack guards against an evacuation that lasts for good because its removal was
// deleted from the history before it was read, and that comes back when older records are read again.
func TestTrimmedRemovalTakesTheEvacuationBack(t *testing.T) {
	is := is.New(t)
	f := newEvacuationFollower()
	f.apply(record(7, "{}"))
	f.syncEvacuations(map[string]bool{"evacuate/z0": true}, 30)
	is.True(f.Evacuating("z0"))
	f.syncEvacuations(map[string]bool{"config": true}, 30)
	is.True(!f.Evacuating("z0"))
	f.apply(record(7, "{}"))
	is.True(!f.Evacuating("z0"))
}
