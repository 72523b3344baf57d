package operator

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/oklog/ulid/v2"

	"pollenlead/internal/config"
	"pollenlead/internal/disruption"
	"pollenlead/internal/maintenance"
	"pollenlead/internal/record"
	"pollenlead/internal/statemachine"
)

// maxWaveRequestBytes is enough for the names of a few hundred pools.
const maxWaveRequestBytes = 64 << 10

// WaveRequest is the request to start a maintenance wave.
type WaveRequest struct {
	Pools  []string `json:"pools"`
	Reason string   `json:"reason,omitempty"`
}

// WaveResponse is the ID of a wave that was started.
type WaveResponse struct {
	Wave string `json:"wave"`
}

// WavesResponse lists the open waves and the most recently ended ones, the newest last.
type WavesResponse struct {
	Open  []WaveStatus `json:"open"`
	Ended []WaveStatus `json:"ended"`
}

// WaveStatus is the progress of a wave.
type WaveStatus struct {
	ID          string                 `json:"id"`
	Pools       []string               `json:"pools"`
	State       statemachine.WaveState `json:"state"`
	Reason      string                 `json:"reason,omitempty"`
	Actor       string                 `json:"actor"`
	PauseReason string                 `json:"pause_reason,omitempty"`
	StartedAt   uint64                 `json:"started_at_offset"`
	EndedAt     uint64                 `json:"ended_at_offset,omitempty"`
	Waiting     int                    `json:"waiting"`
	Returned    int                    `json:"returned"`
	Skipped     []string               `json:"skipped"`
	Failures    []statemachine.Failure `json:"failures"`
	Down        []DownInstance         `json:"down"`
	Blocked     []BlockedPool          `json:"blocked"`
}

// DownInstance is an instance that is down for maintenance.
type DownInstance struct {
	Instance string            `json:"instance"`
	Pool     string            `json:"pool"`
	Phase    record.LeavePhase `json:"phase"`
	Since    uint64            `json:"since_offset"`
}

// BlockedPool is a pool in which instances wait, none is down, and the budget allows none to go down now.
type BlockedPool struct {
	Pool     string              `json:"pool"`
	Decision disruption.Decision `json:"decision"`
	Text     string              `json:"text"`
}

// WavePlan is the forecast of a wave over the pools that starts now and in which no instance fails.
type WavePlan struct {
	maintenance.Rollout
	// LongestSeconds is the upper bound of the roll-out's duration: in each step every phase takes its maximum time. It
	// ignores the maintenance window.
	LongestSeconds int64      `json:"longest_seconds"`
	Window         string     `json:"window"`
	Pools          []PoolPlan `json:"pools"`
}

// PoolPlan is the forecast for one pool.
type PoolPlan struct {
	Name      string `json:"name"`
	Baseline  int    `json:"baseline"`
	Floor     int    `json:"floor"`
	Available int    `json:"available"`
	Steps     int    `json:"steps"`
	Left      int    `json:"left"`
	// Wave is the ID of the open wave that already includes the pool, or "".
	Wave string `json:"wave,omitempty"`
}

func (h *Handler) addWaveRoutes() {
	h.router.Get("/v1/waves", h.authorized(config.RoleView, h.listWaves))
	h.router.Get("/v1/waves/plan", h.authorized(config.RoleView, h.planWave))
	h.router.Get("/v1/waves/{wave}", h.authorized(config.RoleView, h.getWave))
	h.router.Post("/v1/waves", h.authorized(config.RoleOperate, h.startWave))
	h.router.Post("/v1/waves/{wave}/pause", h.authorized(config.RoleOperate, h.controlWave(record.WavePause)))
	h.router.Post("/v1/waves/{wave}/resume", h.authorized(config.RoleOperate, h.controlWave(record.WaveResume)))
	h.router.Post("/v1/waves/{wave}/abort", h.authorized(config.RoleOperate, h.controlWave(record.WaveAbort)))
}

func (h *Handler) listWaves(w http.ResponseWriter, _ *http.Request, _ string) {
	response := WavesResponse{Open: []WaveStatus{}, Ended: []WaveStatus{}}
	h.Follower.View(func(s *statemachine.State) {
		for _, wave := range s.Waves() {
			response.Open = append(response.Open, waveStatus(s, wave))
		}
		for _, wave := range s.EndedWaves() {
			response.Ended = append(response.Ended, waveStatus(s, wave))
		}
	})
	writeJSON(w, http.StatusOK, response)
}

func (h *Handler) getWave(w http.ResponseWriter, r *http.Request, _ string) {
	id := chi.URLParam(r, "wave")
	var status WaveStatus
	known := false
	h.Follower.View(func(s *statemachine.State) {
		wave, ok := s.Wave(id)
		if ok {
			status, known = waveStatus(s, wave), true
		}
	})
	if !known {
		writeError(w, ErrorResponse{
			Status: http.StatusNotFound, Reason: string(statemachine.ReasonUnknownWave),
			Detail: "there is no wave " + id,
		})
		return
	}
	writeJSON(w, http.StatusOK, status)
}

// waveStatus copies the data of the answer, since the state may change after the view.
func waveStatus(s *statemachine.State, wave *statemachine.Wave) WaveStatus {
	status := WaveStatus{
		ID: wave.ID, Pools: slices.Clone(wave.Pools), State: wave.State, Reason: wave.Reason, Actor: wave.Actor,
		PauseReason: wave.PauseReason, StartedAt: wave.StartedAt, EndedAt: wave.EndedAt, Returned: wave.Returned,
		Skipped: []string{}, Failures: append([]statemachine.Failure{}, wave.Failures...),
		Down: []DownInstance{}, Blocked: []BlockedPool{},
	}
	for id, phase := range wave.Done {
		if phase == record.LeaveSkipped {
			status.Skipped = append(status.Skipped, id)
		}
	}
	slices.Sort(status.Skipped)
	for id, turn := range wave.Down {
		status.Down = append(status.Down, DownInstance{Instance: id, Pool: turn.Pool, Phase: turn.Phase, Since: turn.Since})
	}
	slices.SortFunc(status.Down, func(a, b DownInstance) int { return strings.Compare(a.Instance, b.Instance) })
	if wave.Open() {
		addWaitingInstances(&status, maintenance.TakeSnapshot(s, wave))
	}
	return status
}

// addWaitingInstances counts the instances that wait and adds the decision that blocks a pool without progress.
func addWaitingInstances(status *WaveStatus, snapshot maintenance.Snapshot) {
	for _, pool := range snapshot.Pools {
		var first *disruption.Decision
		budget := pool.Budget()
		allowed, down := false, false
		for _, i := range pool.Instances {
			down = down || i.Down
			if i.Done || !i.Available() {
				continue
			}
			status.Waiting++
			decision := disruption.Allowed(budget, i.ID)
			allowed = allowed || decision.Allowed()
			if first == nil {
				first = &decision
			}
		}
		if first != nil && !allowed && !down {
			status.Blocked = append(status.Blocked, BlockedPool{Pool: pool.Name, Decision: *first, Text: first.String()})
		}
	}
}

func (h *Handler) planWave(w http.ResponseWriter, r *http.Request, _ string) {
	pools := slices.Compact(slices.Sorted(slices.Values(r.URL.Query()["pool"])))
	if len(pools) == 0 {
		writeError(w, ErrorResponse{
			Status: http.StatusBadRequest, Reason: "pool",
			Detail: "the query parameter pool must name at least one pool",
		})
		return
	}
	var plan WavePlan
	unknown := ""
	h.Follower.View(func(s *statemachine.State) {
		for _, name := range pools {
			if _, ok := s.Config().Document.Pool(name); !ok {
				unknown = name
				return
			}
		}
		plan = buildPlan(s, pools)
	})
	if unknown != "" {
		writeError(w, ErrorResponse{
			Status: http.StatusNotFound, Reason: string(statemachine.ReasonUnknownPool),
			Detail: "there is no pool " + unknown,
		})
		return
	}
	writeJSON(w, http.StatusOK, plan)
}

func buildPlan(s *statemachine.State, pools []string) WavePlan {
	snapshot := maintenance.PreviewSnapshot(s, pools)
	longest := snapshot.Maintenance.MaxAbsence()
	plan := WavePlan{Window: snapshot.Maintenance.Window.String()}
	// The plan counts steps independently of the maintenance windows in which they take place.
	snapshot.Maintenance.Window = config.Window{}
	plan.Rollout = maintenance.CountRollout(snapshot, maintenance.NextInstances, time.Time{})
	plan.LongestSeconds = int64(plan.Steps) * int64(longest/time.Second)
	for _, pool := range snapshot.Pools {
		budget := pool.Budget()
		alone := snapshot
		alone.Pools = []maintenance.Pool{pool}
		r := maintenance.CountRollout(alone, maintenance.NextInstances, time.Time{})
		part := PoolPlan{
			Name: pool.Name, Baseline: budget.Baseline(), Floor: budget.Floor(), Available: budget.Available(),
			Steps: r.Steps, Left: r.Left,
		}
		for _, wave := range s.Waves() {
			if slices.Contains(wave.Pools, pool.Name) {
				part.Wave = wave.ID
			}
		}
		plan.Pools = append(plan.Pools, part)
	}
	return plan
}

func (h *Handler) startWave(w http.ResponseWriter, r *http.Request, operator string) {
	var request WaveRequest
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxWaveRequestBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&request); err != nil {
		writeError(w, ErrorResponse{
			Status: http.StatusBadRequest, Reason: "body",
			Detail: "the body must be {\"pools\":[POOL],\"reason\":TEXT}: " + err.Error(),
		})
		return
	}
	if len(request.Pools) == 0 {
		writeError(w, ErrorResponse{
			Status: http.StatusBadRequest, Reason: "body",
			Detail: "pools must name at least one pool",
		})
		return
	}
	op := record.WaveStart{Wave: ulid.Make().String(), Pools: request.Pools, Reason: request.Reason, Actor: operator}
	if _, ok := h.submit(w, r, record.Op{WaveStart: &op}); ok {
		writeJSON(w, http.StatusOK, WaveResponse{Wave: op.Wave})
	}
}

func (h *Handler) controlWave(action record.WaveAction) operatorHandler {
	return func(w http.ResponseWriter, r *http.Request, operator string) {
		op := record.WaveControl{Wave: chi.URLParam(r, "wave"), Action: action, Actor: operator}
		if _, ok := h.submit(w, r, record.Op{WaveControl: &op}); ok {
			w.WriteHeader(http.StatusNoContent)
		}
	}
}
