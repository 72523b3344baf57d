package devmode

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"pollenlead/internal/operator"
	"pollenlead/internal/record"
)

// startWaveAt is the time at which the maintenance wave starts, as a fraction of the demo's duration.
const startWaveAt = 0.1

// waveTimeout is the timeout of the wait for the end of the wave. A wave under faults takes several times as long as
// one without.
const waveTimeout = 3 * time.Minute

// wavePools contains one pool. Its availability budget permits a whole rack of four instances to be down, so that the
// wave ends within a short demo.
var wavePools = demoServices[4:]

// waveMinAvailablePercent is the availability budget of wavePools.
const waveMinAvailablePercent = 60

// waveRun runs a maintenance wave and records its progress and the state of its pools in the platform's instance list.
type waveRun struct {
	system *system
	// interrupted counts the executions that reboots interrupted.
	interrupted atomic.Int64

	seconds     float64
	returned    int
	state       string
	pauseReason string
	belowBudget int
}

func newWaveRun(s *system) *waveRun {
	w := &waveRun{system: s}
	if s.standIns == nil {
		return w
	}
	s.standIns.list.OnReboot(func(id string) { w.interrupted.Add(int64(s.standIns.workers[id].Restart())) })
	return w
}

// run starts a wave and checks the availability budget of its pools until the wave has ended. It does nothing if the
// stand-ins run in another process.
func (w *waveRun) run(ctx context.Context, started time.Time) error {
	if w.system.standIns == nil || !sleepUntil(ctx, started.Add(w.system.fractionOfRun(startWaveAt))) {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), waveTimeout)
	defer cancel()
	body, err := json.Marshal(operator.WaveRequest{Pools: wavePools, Reason: "demo"})
	if err != nil {
		return err
	}
	var wave operator.WaveResponse
	begin := time.Now()
	for {
		err := w.system.operator.call(ctx, http.MethodPost, w.system.balancer.operatorsURLs()[0]+"/v1/waves", body, &wave)
		if err == nil {
			break
		}
		if !sleepUntil(ctx, time.Now().Add(pollInterval)) {
			return fmt.Errorf("start a wave: %w", err)
		}
	}
	for !w.ended(ctx, wave.Wave) {
		w.checkBudget()
		if !sleepUntil(ctx, time.Now().Add(pollInterval)) {
			return fmt.Errorf("wave %s did not end: it is %s with %d instances returned", wave.Wave, w.state, w.returned)
		}
	}
	w.seconds = time.Since(begin).Seconds()
	return nil
}

// ended reports whether the wave has ended or has paused itself, as it must when reboots fail.
func (w *waveRun) ended(ctx context.Context, id string) bool {
	var waves operator.WavesResponse
	url := w.system.balancer.operatorsURLs()[0] + "/v1/waves"
	if err := w.system.operator.call(ctx, http.MethodGet, url, nil, &waves); err != nil {
		return false
	}
	for _, status := range append(waves.Ended, waves.Open...) {
		if status.ID == id {
			w.returned, w.state, w.pauseReason = status.Returned, string(status.State), status.PauseReason
		}
	}
	return slices.ContainsFunc(waves.Ended, func(s operator.WaveStatus) bool { return s.ID == id }) || w.pauseReason != ""
}

// checkBudget counts the pools of the wave that have fewer live instances in the list than their availability budget
// requires.
func (w *waveRun) checkBudget() {
	live, members := w.system.standIns.livePerPool(), w.system.standIns.membersPerPool()
	for _, name := range wavePools {
		pool, _ := w.system.document.Pool(name)
		if live[name]*100 < pool.AvailabilityBudget.MinAvailablePercent*members[name] {
			w.belowBudget++
		}
	}
}

func (w *waveRun) summarize(r *Report) {
	r.WaveSeconds = w.seconds
	r.WaveReturned = w.returned
	r.WaveState, r.WavePauseReason = w.state, w.pauseReason
	r.WaveBelowBudget = w.belowBudget
	r.WaveInterrupted = int(w.interrupted.Load())
}

// livePerPool returns the number of live workers of each pool in the newest list.
func (s *standIns) livePerPool() map[string]int {
	live := map[string]int{}
	for _, instance := range s.list.Instances() {
		if instance.Phase == string(record.PhaseLive) {
			live[s.poolOf[instance.ID]]++
		}
	}
	return live
}

// membersPerPool returns the number of workers that belong to each pool.
func (s *standIns) membersPerPool() map[string]int {
	members := map[string]int{}
	for _, pool := range s.poolOf {
		members[pool]++
	}
	return members
}
