package scheduling

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"pollenlead/internal/fleet"
)

// busyWorker returns a worker of 32 cores on which runs of the given amounts end after one second, two seconds and so
// on.
func busyWorker(id string, running ...int64) *Worker {
	w := newWorker(id, 32000)
	for i, cpu := range running {
		amount := fleet.Resources{CPUMilli: cpu}
		w.Free = w.Free.Sub(amount)
		w.Releases = append(w.Releases, Release{At: moment.Add(time.Duration(i+1) * time.Second), Amount: amount})
		w.Runs++
	}
	return w
}

// lasting returns a step of one task with a CPU need and an expected run time.
func lasting(id string, tier Tier, cpu int64, d time.Duration) PendingStep {
	w := want(id, tier, fleet.Step{Count: 1, Need: fleet.Resources{CPUMilli: cpu}})
	w.Duration, w.Rank.Slack = d, time.Minute
	return w
}

func placedIDs(placed []Placement) map[string]string {
	ids := map[string]string{}
	for _, p := range placed {
		ids[p.Task.Step.Job.ID] = p.Worker.ID
	}
	return ids
}

// TestReservationHoldsBackWhatWouldDelay guards against small tasks that fill the room for which a large task waits,
// and against reservations that keep out tasks that would not delay it.
func TestReservationHoldsBackWhatWouldDelay(t *testing.T) {
	is := is.New(t)
	workers := []*Worker{busyWorker("w", 26000)} // 6 cores are free, all 32 in one second
	placed := placedIDs(Plan(workers, []PendingStep{
		lasting("large", TierOnTime, 30000, 2*time.Second),
		lasting("long", TierLate, 4000, 5*time.Second),
		lasting("beside", TierLate, 2000, 5*time.Second),
		lasting("short", TierLate, 4000, time.Second),
	}, Limits{}, moment))
	is.Equal(placed, map[string]string{"beside": "w", "short": "w"})
	is.Equal(CountReservations(workers), Reservations{Made: 1, HeldBack: 1})
}

// TestReservationIsWhereRoomComesSoonest guards against a reservation that makes a task wait for the wrong worker.
func TestReservationIsWhereRoomComesSoonest(t *testing.T) {
	is := is.New(t)
	later, sooner := busyWorker("later", 8000, 16000), busyWorker("sooner", 16000, 8000)
	Plan([]*Worker{later, sooner}, []PendingStep{lasting("large", TierOnTime, 20000, time.Second)}, Limits{}, moment)
	is.True(later.reservation == nil)
	is.True(sooner.reservation != nil)
	is.Equal(sooner.reservation.at, moment.Add(time.Second))
}

// TestReservationGivesWayToHigherRanks guards against a reservation that keeps a worker from more urgent work.
func TestReservationGivesWayToHigherRanks(t *testing.T) {
	is := is.New(t)
	placed := placedIDs(Plan([]*Worker{busyWorker("w", 26000)}, []PendingStep{
		lasting("large", TierLate, 30000, 2*time.Second),
		lasting("urgent", TierOnTime, 4000, 5*time.Second),
	}, Limits{}, moment))
	is.Equal(placed, map[string]string{"urgent": "w"})
}

// TestNoReservation guards against reservations for tasks that could not use them.
func TestNoReservation(t *testing.T) {
	large := fleet.Step{Count: 1, Need: fleet.Resources{CPUMilli: 30000}}
	gang, labelled, over := large, large, large
	gang.Gang, labelled.RequiredLabel = true, "x"
	over.Need.CPUMilli = 33000
	limit := fleet.Resources{CPUMilli: 10000, MemoryMB: 1 << 30, GPU: 8}
	for name, c := range map[string]struct {
		step   fleet.Step
		limits Limits
	}{
		"gang": {step: gang}, "label": {step: labelled}, "over the capacity": {step: over},
		"team's limit": {step: large, limits: Limits{"team": &limit}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			workers := []*Worker{busyWorker("w", 26000)}
			blocked := want("large", TierOnTime, c.step)
			blocked.Rank.Slack = time.Minute
			placed := placedIDs(Plan(workers, []PendingStep{
				blocked, lasting("small", TierLate, 4000, 5*time.Second),
			}, c.limits, moment))
			is.Equal(placed, map[string]string{"small": "w"})
			is.Equal(CountReservations(workers).Made, 0)
		})
	}
}

// TestNoReservationBeyondTheObjective guards against room that is kept for a task that misses its objective anyway.
func TestNoReservationBeyondTheObjective(t *testing.T) {
	is := is.New(t)
	large := lasting("large", TierOnTime, 30000, 2*time.Second)
	large.Rank.Slack = time.Second / 2
	placed := placedIDs(Plan([]*Worker{busyWorker("w", 26000)}, []PendingStep{
		large, lasting("small", TierLate, 4000, 5*time.Second),
	}, Limits{}, moment))
	is.Equal(placed, map[string]string{"small": "w"})
}

// TestNoReservationWhileMostIsFree guards against reservations that keep tasks waiting although most of the pool's
// capacity is free.
func TestNoReservationWhileMostIsFree(t *testing.T) {
	is := is.New(t)
	large := lasting("large", TierOnTime, 30000, 2*time.Second)
	small := lasting("small", TierLate, 4000, 5*time.Second)
	workers := []*Worker{busyWorker("full", 26000), busyWorker("half", 4000)}
	placed := placedIDs(Plan(workers, []PendingStep{large, small}, Limits{}, moment))
	is.Equal(placed, map[string]string{"small": "full"}) // the fullest worker is the cheapest
}

// TestServingWorkIsNotHeldBack guards against a reservation that keeps long-running tasks, which are owed at any time,
// from a worker.
func TestServingWorkIsNotHeldBack(t *testing.T) {
	is := is.New(t)
	serving := want("serving", TierServing, fleet.Step{
		Count: 1, Need: fleet.Resources{CPUMilli: 4000}, LongRunning: true,
	})
	serving.Rank.Priority = 1
	urgent := lasting("urgent", TierServing, 30000, 2*time.Second)
	placed := placedIDs(Plan([]*Worker{busyWorker("w", 26000)}, []PendingStep{urgent, serving}, Limits{}, moment))
	is.Equal(placed, map[string]string{"serving": "w"})
}

// TestReservedTaskIsNotDelayed guards against backfill that is placed although the reserved task then fits later than
// without it.
func TestReservedTaskIsNotDelayed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var workers []*Worker
		for i := range rapid.IntRange(1, 4).Draw(t, "workers") {
			running := rapid.SliceOfN(rapid.Int64Range(1, 8), 2, 4).Draw(t, "running")
			for j := range running {
				running[j] *= 1000
			}
			workers = append(workers, busyWorker(fmt.Sprint("w", i), running...))
		}
		large := lasting("large", TierOnTime, rapid.Int64Range(24, 32).Draw(t, "large")*1000, time.Second)
		wants := []PendingStep{large}
		for i := range rapid.IntRange(0, 12).Draw(t, "small") {
			d := time.Duration(rapid.IntRange(200, 5000).Draw(t, "millis")) * time.Millisecond
			wants = append(wants, lasting(fmt.Sprint("s", i), TierLate, rapid.Int64Range(1, 8).Draw(t, "cpu")*1000, d))
		}
		Plan(workers, wants, Limits{}, moment)
		for _, w := range workers {
			if r := w.reservation; r != nil && !r.amount.Fits(w.freeAt(r.at)) {
				t.Fatalf("%s: %v is free when %v is reserved", w.ID, w.freeAt(r.at), r.amount)
			}
		}
	})
}
