package statemachine

import (
	"maps"
	"slices"

	"pollenlead/internal/disruption"
	"pollenlead/internal/record"
)

// The reasons of rejections of maintenance ops.
const (
	ReasonUnknownWave    Reason = "unknown_wave"
	ReasonWaveExists     Reason = "wave_exists"
	ReasonPoolInWave     Reason = "pool_in_wave"
	ReasonWaveNotRunning Reason = "wave_not_running"
	ReasonWaveState      Reason = "wave_state"
	ReasonNotInWave      Reason = "not_in_wave"
	ReasonHadTurn        Reason = "had_turn"
	ReasonBudget         Reason = "availability_budget"
	ReasonInMaintenance  Reason = "in_maintenance"
	ReasonNotDown        Reason = "not_down"
	ReasonPhaseOrder     Reason = "phase_order"
	ReasonSlotsHeld      Reason = "slots_held"
	ReasonNotBack        Reason = "not_back"
)

// maxEndedWaves is the maximum number of ended waves that are stored for the status and to reject a new wave with the
// same ID.
const maxEndedWaves = 16

// WaveState is the state of a maintenance wave.
type WaveState string

// The states of a wave. An aborting wave takes down no more instances and ends once those that are down have finished.
const (
	WaveRunning  WaveState = "running"
	WavePaused   WaveState = "paused"
	WaveAborting WaveState = "aborting"
	WaveFinished WaveState = "finished"
	WaveAborted  WaveState = "aborted"
)

// Wave is a maintenance wave, which takes every instance of its pools through maintenance once.
type Wave struct {
	ID     string    `json:"id"`
	Pools  []string  `json:"pools"`
	Reason string    `json:"reason,omitempty"`
	Actor  string    `json:"actor"`
	State  WaveState `json:"state"`
	// PauseReason is the reason why the wave is paused, by failures or by an operator.
	PauseReason string `json:"pause_reason,omitempty"`
	StartedAt   uint64 `json:"started_at"`
	EndedAt     uint64 `json:"ended_at,omitempty"`
	// Down contains the instances that are down, and Done the final phases of those whose maintenance has ended.
	Down map[string]*InstanceMaintenance `json:"down"`
	Done map[string]record.LeavePhase    `json:"done"`
	// Returned is the number of returned instances. An ended wave stores only the other instances in Done.
	Returned int       `json:"returned"`
	Failures []Failure `json:"failures,omitempty"`
	// ConsecutiveFailures is the number of failures since the last return. FirstCountedFailure is the index in Failures of
	// the first one that counts: an operator resumed the wave after the earlier ones.
	ConsecutiveFailures int `json:"in_row"`
	FirstCountedFailure int `json:"count_from"`
}

// InstanceMaintenance is the maintenance of one instance that is down. It is stored even while the instance is not in
// the platform's list.
type InstanceMaintenance struct {
	Pool             string            `json:"pool"`
	Rack             string            `json:"rack"`
	AvailabilityZone string            `json:"availability_zone"`
	Phase            record.LeavePhase `json:"phase"`
	// Since is the offset of the record that set the phase.
	Since uint64 `json:"since"`
	// Away reports that the list has shown the instance as leaving or gone since it was stopped. Only then does a live
	// instance in the list prove that it has restarted.
	Away bool `json:"away,omitempty"`
}

// Failure describes an instance that did not return from maintenance.
type Failure struct {
	Instance         string `json:"instance"`
	Rack             string `json:"rack"`
	AvailabilityZone string `json:"availability_zone"`
	Reason           string `json:"reason"`
}

// Open reports whether the wave has not ended.
func (w *Wave) Open() bool { return w.State != WaveFinished && w.State != WaveAborted }

// Waves returns the open waves ordered by ID. The caller must not change them.
func (s *State) Waves() []*Wave {
	waves := make([]*Wave, 0, len(s.d.Waves))
	for _, id := range sortedKeys(s.d.Waves) {
		waves = append(waves, s.d.Waves[id])
	}
	return waves
}

// EndedWaves returns the newest ended waves, the newest last. The caller must not change them.
func (s *State) EndedWaves() []*Wave { return s.d.EndedWaves }

// Wave returns an open wave or a stored ended one. The caller must not change it.
func (s *State) Wave(id string) (*Wave, bool) {
	if w, ok := s.d.Waves[id]; ok {
		return w, true
	}
	at := slices.IndexFunc(s.d.EndedWaves, func(w *Wave) bool { return w.ID == id })
	if at < 0 {
		return nil, false
	}
	return s.d.EndedWaves[at], true
}

// PoolBudget returns the input of the availability budget for a pool: its members, and the instances that are down and
// not in the list.
func (s *State) PoolBudget(name string) disruption.Pool {
	declared, _ := s.doc.Pool(name)
	pool := disruption.Pool{
		Name: name, Size: declared.Size, MinAvailablePercent: declared.AvailabilityBudget.MinAvailablePercent,
	}
	for _, i := range s.members[name] {
		pool.Instances = append(pool.Instances, disruption.Instance{
			ID:     i.Facts.ID,
			Rack:   rackOf(i.Facts.AvailabilityZone, i.Facts.Rack),
			Live:   i.Facts.Phase == record.PhaseLive && !i.Failed,
			Moving: i.MovingTo != "",
			Down:   i.Wave != "",
		})
	}
	for _, wave := range s.Waves() {
		for _, id := range sortedKeys(wave.Down) {
			maintenance := wave.Down[id]
			if _, listed := s.d.Instances[id]; !listed && maintenance.Pool == name {
				pool.Instances = append(pool.Instances, disruption.Instance{
					ID: id, Rack: rackOf(maintenance.AvailabilityZone, maintenance.Rack), Down: true,
				})
			}
		}
	}
	return pool
}

// rackOf returns a name of the rack that is unique across availability zones, or "" for an unknown rack.
func rackOf(zone, rack string) string {
	if rack == "" {
		return ""
	}
	return zone + "/" + rack
}

// maintenanceOf returns the maintenance of an instance that is down and its wave, or nil for both.
func (s *State) maintenanceOf(instance string) (*Wave, *InstanceMaintenance) {
	for _, wave := range s.d.Waves {
		if maintenance, ok := wave.Down[instance]; ok {
			return wave, maintenance
		}
	}
	return nil, nil
}

func (s *State) applyWaveOp(offset uint64, op record.Op) Outcome {
	switch {
	case op.WaveStart != nil:
		return s.startWave(offset, *op.WaveStart)
	case op.WaveControl != nil:
		return s.controlWave(*op.WaveControl)
	case op.LeaveRequest != nil:
		return s.requestLeave(offset, *op.LeaveRequest)
	case op.LeaveAdvance != nil:
		return s.advanceLeave(offset, *op.LeaveAdvance)
	default:
		return s.failLeave(*op.LeaveFail)
	}
}

func isWaveOp(op record.Op) bool {
	return op.WaveStart != nil || op.WaveControl != nil ||
		op.LeaveRequest != nil || op.LeaveAdvance != nil || op.LeaveFail != nil
}

func (s *State) startWave(offset uint64, op record.WaveStart) Outcome {
	if op.Wave == "" || len(op.Pools) == 0 {
		return rejected(ReasonInvalid, "a wave needs an ID and at least one pool")
	}
	if _, ok := s.Wave(op.Wave); ok {
		return rejected(ReasonWaveExists, "wave %s", op.Wave)
	}
	pools := slices.Compact(slices.Sorted(slices.Values(op.Pools)))
	for _, pool := range pools {
		if _, ok := s.doc.Pool(pool); !ok {
			return rejected(ReasonUnknownPool, "pool %s", pool)
		}
		for _, other := range s.Waves() {
			if slices.Contains(other.Pools, pool) {
				return rejected(ReasonPoolInWave, "pool %s is in wave %s", pool, other.ID)
			}
		}
	}
	s.d.Waves[op.Wave] = &Wave{
		ID: op.Wave, Pools: pools, Reason: op.Reason, Actor: op.Actor, State: WaveRunning, StartedAt: offset,
		Down: map[string]*InstanceMaintenance{}, Done: map[string]record.LeavePhase{},
	}
	s.markPoolsDirty(pools)
	return accepted()
}

func (s *State) controlWave(op record.WaveControl) Outcome {
	wave, ok := s.d.Waves[op.Wave]
	if !ok {
		return rejected(ReasonUnknownWave, "wave %s is not open", op.Wave)
	}
	switch {
	case op.Action == record.WavePause && wave.State == WaveRunning:
		wave.State, wave.PauseReason = WavePaused, "paused by "+op.Actor
	case op.Action == record.WaveResume && wave.State == WavePaused:
		wave.State, wave.PauseReason = WaveRunning, ""
		wave.ConsecutiveFailures, wave.FirstCountedFailure = 0, len(wave.Failures)
	case op.Action == record.WaveAbort && wave.State != WaveAborting:
		wave.State, wave.PauseReason = WaveAborting, ""
	default:
		return rejected(ReasonWaveState, "wave %s is %s, action %q", wave.ID, wave.State, op.Action)
	}
	s.markPoolsDirty(wave.Pools)
	return accepted()
}

func (s *State) requestLeave(offset uint64, op record.LeaveRequest) Outcome {
	wave, ok := s.d.Waves[op.Wave]
	if !ok {
		return rejected(ReasonUnknownWave, "wave %s is not open", op.Wave)
	}
	if wave.State != WaveRunning {
		return rejected(ReasonWaveNotRunning, "wave %s is %s", wave.ID, wave.State)
	}
	instance, ok := s.d.Instances[op.Instance]
	if !ok {
		return rejected(ReasonUnknownInstance, "instance %s", op.Instance)
	}
	if !slices.Contains(wave.Pools, instance.Pool) {
		return rejected(ReasonNotInWave, "instance %s is in pool %s", op.Instance, instance.Pool)
	}
	if phase, ok := wave.Done[op.Instance]; ok {
		return rejected(ReasonHadTurn, "instance %s: %s", op.Instance, phase)
	}
	if decision := disruption.Allowed(s.PoolBudget(instance.Pool), op.Instance); !decision.Allowed() {
		return rejected(ReasonBudget, "%s: %s", decision.Rule, decision)
	}
	wave.Down[op.Instance] = &InstanceMaintenance{
		Pool: instance.Pool, Rack: instance.Facts.Rack, AvailabilityZone: instance.Facts.AvailabilityZone,
		Phase: record.LeaveCordoned, Since: offset,
	}
	instance.Wave = wave.ID
	s.dirtyPools[instance.Pool] = true
	return accepted()
}

func (s *State) advanceLeave(offset uint64, op record.LeaveAdvance) Outcome {
	wave, maintenance := s.maintenanceOf(op.Instance)
	if wave == nil {
		return rejected(ReasonNotDown, "instance %s", op.Instance)
	}
	if !slices.Contains(maintenance.Phase.Next(), op.Phase) {
		return rejected(ReasonPhaseOrder, "instance %s is %s, not before %s", op.Instance, maintenance.Phase, op.Phase)
	}
	switch op.Phase {
	case record.LeaveStopping:
		if s.Busy(op.Instance) {
			return rejected(ReasonSlotsHeld, "holders still have slots or started jobs of instance %s", op.Instance)
		}
	case record.LeaveProbing, record.LeaveReturned:
		if !maintenance.Away || !s.isLive(op.Instance) {
			return rejected(ReasonNotBack, "the list has not shown instance %s live after it was away", op.Instance)
		}
	}
	if op.Phase.Final() {
		s.endMaintenance(wave, op.Instance, op.Phase)
		return accepted()
	}
	maintenance.Phase, maintenance.Since = op.Phase, offset
	return accepted()
}

// Busy reports whether work may run on the instance. Started jobs count as well as slots, because a started job of a
// revoked session has no slot until its new holder has queried the worker.
func (s *State) Busy(id string) bool {
	if instance, ok := s.d.Instances[id]; ok && len(instance.Held) > 0 {
		return true
	}
	for _, counts := range s.startedByHolder {
		if counts.instances[id] > 0 {
			return true
		}
	}
	return false
}

func (s *State) isLive(id string) bool {
	instance, ok := s.d.Instances[id]
	return ok && instance.Facts.Phase == record.PhaseLive
}

func (s *State) failLeave(op record.LeaveFail) Outcome {
	wave, maintenance := s.maintenanceOf(op.Instance)
	if wave == nil {
		return rejected(ReasonNotDown, "instance %s", op.Instance)
	}
	wave.Failures = append(wave.Failures, Failure{
		Instance: op.Instance, Rack: maintenance.Rack, AvailabilityZone: maintenance.AvailabilityZone, Reason: op.Reason,
	})
	wave.ConsecutiveFailures++
	if instance, ok := s.d.Instances[op.Instance]; ok {
		instance.Failed = true
	}
	s.endMaintenance(wave, op.Instance, record.LeaveFailed)
	if reason := s.pauseReason(wave); wave.State == WaveRunning && reason != "" {
		wave.State, wave.PauseReason = WavePaused, reason
	}
	return accepted()
}

// pauseReason returns the reason to pause the wave after its failures, or "" if there is none.
func (s *State) pauseReason(wave *Wave) string {
	limit := max(s.doc.Maintenance.PauseAfterFailures, 1)
	if wave.ConsecutiveFailures >= limit {
		return "failures in a row"
	}
	racks, zones := map[string]int{}, map[string]int{}
	for _, f := range wave.Failures[wave.FirstCountedFailure:] {
		rack := rackOf(f.AvailabilityZone, f.Rack)
		racks[rack]++
		zones[f.AvailabilityZone]++
		switch {
		case rack != "" && racks[rack] >= limit:
			return "failures in rack " + rack
		case f.AvailabilityZone != "" && zones[f.AvailabilityZone] >= limit:
			return "failures in availability zone " + f.AvailabilityZone
		}
	}
	return ""
}

func (s *State) endMaintenance(wave *Wave, id string, phase record.LeavePhase) {
	s.dirtyPools[wave.Down[id].Pool] = true
	s.markPoolsDirty(wave.Pools)
	delete(wave.Down, id)
	wave.Done[id] = phase
	if phase == record.LeaveReturned {
		wave.Returned++
		wave.ConsecutiveFailures = 0
	}
	if instance, ok := s.d.Instances[id]; ok {
		instance.Wave = ""
		// A move waits for the end of the maintenance, for instance if a new document no longer declares the pool.
		s.completeMove(instance)
	}
}

func (s *State) markPoolsDirty(pools []string) {
	for _, pool := range pools {
		s.dirtyPools[pool] = true
	}
}

// trackMaintenance updates the maintenance of an instance from its facts in the list. It must be called before the
// facts are stored.
func (s *State) trackMaintenance(facts record.Instance) {
	if facts.Phase == record.PhaseLive {
		return
	}
	if instance, ok := s.d.Instances[facts.ID]; ok {
		instance.Failed = false
	}
	_, maintenance := s.maintenanceOf(facts.ID)
	if maintenance != nil && (maintenance.Phase == record.LeaveStopping || maintenance.Phase == record.LeaveRebooting) {
		maintenance.Away = true
	}
}

// updateMaintenancePool stores the pool of an instance that leaves the list while it is down.
func (s *State) updateMaintenancePool(id, pool string) {
	if _, maintenance := s.maintenanceOf(id); maintenance != nil {
		maintenance.Pool = pool
	}
}

// restoreMaintenance sets the pool and the wave of an instance that returns to the list while it is down.
func (s *State) restoreMaintenance(id string, instance *Instance) {
	wave, maintenance := s.maintenanceOf(id)
	if wave == nil {
		return
	}
	instance.Wave = wave.ID
	if _, ok := s.doc.Pool(maintenance.Pool); ok {
		instance.Pool = maintenance.Pool
	}
	maintenance.Pool = instance.Pool
}

// removeUndeclaredPools removes pools that the document no longer declares from the open waves. Instances that are down
// stay in the wave until their maintenance ends.
func (s *State) removeUndeclaredPools() {
	for _, wave := range s.d.Waves {
		wave.Pools = slices.DeleteFunc(wave.Pools, func(pool string) bool {
			_, ok := s.doc.Pool(pool)
			return !ok
		})
	}
}

// endCompletedWaves ends the open waves that have no instance down and none to process. It checks only waves with a
// pool that the current record marked dirty, and waves without a remaining pool.
func (s *State) endCompletedWaves() {
	for _, id := range sortedKeys(s.d.Waves) {
		wave := s.d.Waves[id]
		touched := len(wave.Pools) == 0 || slices.ContainsFunc(wave.Pools, func(p string) bool { return s.dirtyPools[p] })
		if !touched || len(wave.Down) > 0 {
			continue
		}
		if wave.State == WaveAborting {
			s.endWave(wave, WaveAborted)
		} else if !s.hasPendingInstances(wave) {
			s.endWave(wave, WaveFinished)
		}
	}
}

// hasPendingInstances reports whether an instance of the wave still waits for its maintenance. Failed and leaving
// instances do not count: the platform replaces them, and a wave that waited for them might never end.
func (s *State) hasPendingInstances(wave *Wave) bool {
	for _, pool := range wave.Pools {
		for _, i := range s.members[pool] {
			if _, done := wave.Done[i.Facts.ID]; !done && i.Facts.Phase == record.PhaseLive && !i.Failed {
				return true
			}
		}
	}
	return false
}

func (s *State) endWave(wave *Wave, state WaveState) {
	wave.State, wave.EndedAt, wave.PauseReason = state, s.d.Next-1, ""
	maps.DeleteFunc(wave.Done, func(_ string, phase record.LeavePhase) bool { return phase == record.LeaveReturned })
	delete(s.d.Waves, wave.ID)
	s.d.EndedWaves = append(s.d.EndedWaves, wave)
	if extra := len(s.d.EndedWaves) - maxEndedWaves; extra > 0 {
		s.d.EndedWaves = s.d.EndedWaves[extra:]
	}
}
