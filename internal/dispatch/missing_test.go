package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/fleet"
	"pollenlead/internal/scheduling"
)

// TestInstanceMissingFromOneListStaysInItsWave guards against a wave that is reported as done although an instance has
// not been maintained: a list comes in pages and may lack an instance, and the wave sees each list several times.
func TestInstanceMissingFromOneListStaysInItsWave(t *testing.T) {
	is := is.New(t)
	d := newFixture(1)
	defer d.stop()
	w, x := drainingWave(d, &slowInstances{})
	w.listed = map[string]fleet.Instance{}
	i := x.instances["m0"]
	for list := range time.Duration(missingLists) {
		w.listedAt = bootclock.Now() + list
		for range 2 * missingLists {
			is.Equal(i.phase, scheduling.MaintenanceDraining)
			if w.observe(x); list == missingLists-1 {
				break
			}
		}
	}
	is.Equal(i.phase, scheduling.MaintenanceDone) // the instance was removed
}
