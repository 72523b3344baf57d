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

// The wave of the demo: the pool of one service, started at this part of its length.
const waveAt = 0.1

// waveTimeout bounds the wait for the end of the wave.
// A wave under faults takes several times as long as a calm one.
const waveTimeout = 3 * time.Minute

// wavePools has one pool; its budget lets a whole rack of four be down, so that the wave ends within a short demo.
var wavePools = demoServices[4:]

const waveMinAvailablePercent = 60

// waveRun is a maintenance wave of the demo and what the platform's list showed meanwhile.
type waveRun struct {
	system *system
	// cut counts the executions that reboots ended.
	cut atomic.Int64

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
	s.standIns.list.OnReboot(func(id string) { w.cut.Add(int64(s.standIns.workers[id].Restart())) })
	return w
}

// run starts a wave, unless the stand-ins run in another process, watches the pools in the platform's list, and waits until the wave has ended.
func (w *waveRun) run(ctx context.Context, started time.Time) error {
	if w.system.standIns == nil || !sleepUntil(ctx, started.Add(w.system.moment(waveAt))) {
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
		err := w.system.operator.call(ctx, http.MethodPost, w.system.entries.operators()[0]+"/v1/waves", body, &wave)
		if err == nil {
			break
		}
		if !sleepUntil(ctx, time.Now().Add(pollInterval)) {
			return fmt.Errorf("start a wave: %w", err)
		}
	}
	for !w.ended(ctx, wave.Wave) {
		w.watch()
		if !sleepUntil(ctx, time.Now().Add(pollInterval)) {
			return fmt.Errorf("wave %s did not end: it is %s with %d instances returned", wave.Wave, w.state, w.returned)
		}
	}
	w.seconds = time.Since(begin).Seconds()
	return nil
}

// ended reports whether the wave has ended or has paused by itself, as it must when reboots fail.
func (w *waveRun) ended(ctx context.Context, id string) bool {
	var waves operator.WavesResponse
	if err := w.system.operator.call(ctx, http.MethodGet, w.system.entries.operators()[0]+"/v1/waves", nil, &waves); err != nil {
		return false
	}
	for _, status := range append(waves.Ended, waves.Open...) {
		if status.ID == id {
			w.returned, w.state, w.pauseReason = status.Returned, string(status.State), status.PauseReason
		}
	}
	return slices.ContainsFunc(waves.Ended, func(s operator.WaveStatus) bool { return s.ID == id }) || w.pauseReason != ""
}

// watch counts the looks at which a pool of the wave had fewer live instances in the list than its budget says.
func (w *waveRun) watch() {
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
	r.WaveCut = int(w.cut.Load())
}

// livePerPool counts the live workers of each pool in the newest list.
func (s *standIns) livePerPool() map[string]int {
	live := map[string]int{}
	for _, instance := range s.list.Instances() {
		if instance.Phase == string(record.PhaseLive) {
			live[s.poolOf[instance.ID]]++
		}
	}
	return live
}

func (s *standIns) membersPerPool() map[string]int {
	members := map[string]int{}
	for _, pool := range s.poolOf {
		members[pool]++
	}
	return members
}
