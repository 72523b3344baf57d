package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/fleet"
	"pollenlead/internal/scheduling"
)

// TestWavesShareTheBudgetOfAPool guards against two waves at a time that each take as many instances from a pool as its
// availability budget allows: instances that another wave drains were counted as available.
func TestWavesShareTheBudgetOfAPool(t *testing.T) {
	is := is.New(t)
	const size, budget = 10, 4
	d := newFixture(size)
	defer d.stop()
	w := newInstanceDriver(d)
	w.listed, w.listedAt = map[string]fleet.Instance{}, bootclock.Now()
	for number := range int64(2) {
		w.waves[number] = &wave{
			request:  fleet.WaveRequest{Number: number, MaxDown: size, FinishBy: time.Hour},
			finishAt: bootclock.Now() + time.Hour, instances: map[string]*waveInstance{},
		}
	}
	for n := range size {
		id, worker := fmt.Sprintf("m%d", n), fmt.Sprintf("w%d", n)
		w.listed[id] = fleet.Instance{
			ID: id, Pool: "pool", Phase: fleet.InstanceUp, Worker: worker, Labels: []string{"rack"},
		}
		w.waves[int64(n%2)].instances[id] = &waveInstance{phase: scheduling.MaintenancePending}
	}
	for _, x := range w.waves {
		w.selectInstances(x)
	}
	drained := 0
	for id := range w.listed {
		if !w.notInWave(id) {
			drained++
		}
	}
	is.Equal(drained, budget)
}
