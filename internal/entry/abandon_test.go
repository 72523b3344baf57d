package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"pollenlead/standin"
)

// Guards against a team that runs more than its upper limit (P4) because units of requests whose callers went away, or whose
// time passed, are spent again while the workers still run them.
func TestDepartedCallersKeepTheUpperLimit(t *testing.T) {
	is := is.New(t)
	const upperLimit, callers, calls = 4, 16, 30
	f := start(t, 2, 8, upperLimit, 1)
	for _, w := range f.workers {
		w.SetFaults(standin.WorkerFaults{FinishAbandoned: true})
	}
	var all sync.WaitGroup
	for n := range callers {
		random := rand.New(rand.NewPCG(1, uint64(n)))
		all.Go(func() {
			for range calls {
				// Most callers leave while the request waits or runs; some of the work exceeds the service's time of 1 s.
				work := 20 * time.Millisecond << random.IntN(4)
				if random.IntN(16) == 0 {
					work = 3 * time.Second
				}
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(50+random.IntN(150))*time.Millisecond)
				f.call(ctx, work)
				cancel()
			}
		})
	}
	all.Wait()
	is.True(f.metrics.Map.Get("attempts_abandoned_total").String() != "0")
	t.Logf("highest number running: %d, upper limit %d", f.observer.MaxRunning()["t"], upperLimit)
	is.Equal(f.observer.MaxRunning()["t"], upperLimit)
	is.NoErr(f.ledger.WaitAbandoned(t.Context())) // the units come back
	is.Equal(f.call(t.Context(), 0), http.StatusOK)
}
