package statemachine

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"pollenlead/internal/record"
)

const waveDocument = `{schema: 1, maintenance: {pause_after_failures: 2}, pools: [{name: spare, spare: true},
  {name: p, members: [w-], availability_budget: {min_available_percent: 50}}]}`

// waveState returns a state with a running wave over pool p. The pool has six instances, two in each rack and one rack
// in each zone. They have no slots, so nothing needs to drain.
func waveState(tb testing.TB) (*State, *writer) {
	s, w := New(), &writer{name: "h"}
	w.apply(tb, s, record.Op{SessionOpen: &record.SessionOpen{}},
		record.Op{ConfigPublish: &record.ConfigPublish{Document: waveDocument}})
	for n := range 6 {
		report(tb, s, w, n, record.PhaseLive)
	}
	w.apply(tb, s, record.Op{WaveStart: &record.WaveStart{Wave: "w", Pools: []string{"p"}, Actor: "alice"}})
	return s, w
}

func waveInstance(n int) string { return fmt.Sprintf("w-%d", n) }

func report(tb testing.TB, s *State, w *writer, n int, phase record.Phase) {
	rack := fmt.Sprint(n / 2)
	facts := record.Instance{ID: waveInstance(n), Phase: phase, Rack: rack, AvailabilityZone: "z" + rack}
	w.apply(tb, s, record.Op{InstancesReport: &record.InstancesReport{
		ListVersion: s.ListVersion() + 1, Instances: []record.Instance{facts},
	}})
}

func leave(tb testing.TB, s *State, w *writer, n int, phases ...record.LeavePhase) {
	w.apply(tb, s, record.Op{LeaveRequest: &record.LeaveRequest{Wave: "w", Instance: waveInstance(n)}})
	for _, phase := range phases {
		w.apply(tb, s, record.Op{LeaveAdvance: &record.LeaveAdvance{Instance: waveInstance(n), Phase: phase}})
	}
}

// reboot takes an instance through all phases of its maintenance.
func reboot(tb testing.TB, s *State, w *writer, n int) {
	leave(tb, s, w, n, record.LeaveDraining, record.LeaveStopping, record.LeaveRebooting)
	report(tb, s, w, n, record.PhaseGone)
	report(tb, s, w, n, record.PhaseLive)
	for _, phase := range []record.LeavePhase{record.LeaveProbing, record.LeaveReturned} {
		w.apply(tb, s, record.Op{LeaveAdvance: &record.LeaveAdvance{Instance: waveInstance(n), Phase: phase}})
	}
}

func fail(tb testing.TB, s *State, w *writer, n int) {
	w.apply(tb, s, record.Op{LeaveFail: &record.LeaveFail{Instance: waveInstance(n), Reason: "test"}})
}

func reasonOf(tb testing.TB, s *State, w *writer, op record.Op) Reason {
	result, err := s.Apply(s.Next(), w.record(op))
	if err != nil {
		tb.Fatal(err)
	}
	return result.Outcomes[0].Reason
}

// TestFailuresPauseTheWave guards against a wave that continues although instances do not return. With a limit of two,
// a wave must pause at two failures in a row, and at two in one rack or availability zone with a return between them.
// After an operator resumes it, the earlier failures no longer count.
func TestFailuresPauseTheWave(t *testing.T) {
	is := is.New(t)
	s, w := waveState(t)
	leave(t, s, w, 0)
	fail(t, s, w, 0)
	is.Equal(s.Waves()[0].State, WaveRunning)
	reboot(t, s, w, 2)
	leave(t, s, w, 1)
	fail(t, s, w, 1)
	is.Equal(s.Waves()[0].State, WavePaused)
	is.Equal(s.Waves()[0].PauseReason, "failures in rack z0/0")
	request := record.Op{LeaveRequest: &record.LeaveRequest{Wave: "w", Instance: "w-3"}}
	is.Equal(reasonOf(t, s, w, request), ReasonWaveNotRunning)

	w.apply(t, s, record.Op{WaveControl: &record.WaveControl{Wave: "w", Action: record.WaveResume}})
	leave(t, s, w, 3)
	fail(t, s, w, 3)
	is.Equal(s.Waves()[0].State, WaveRunning)
}

// TestReturnRequiresAbsence guards against a reboot that counts as complete because a lagging list still shows the
// instance as it was before, and against a failed instance that gets work before the list has shown it leaving or gone.
func TestReturnRequiresAbsence(t *testing.T) {
	is := is.New(t)
	s, w := waveState(t)
	leave(t, s, w, 0, record.LeaveDraining, record.LeaveStopping, record.LeaveRebooting)
	probing := record.Op{LeaveAdvance: &record.LeaveAdvance{Instance: "w-0", Phase: record.LeaveProbing}}
	is.Equal(reasonOf(t, s, w, probing), ReasonNotBack)
	report(t, s, w, 0, record.PhaseLeaving)
	is.Equal(reasonOf(t, s, w, probing), ReasonNotBack)
	report(t, s, w, 0, record.PhaseLive)
	is.Equal(reasonOf(t, s, w, probing), ReasonNone)
	fail(t, s, w, 0)
	instance, _ := s.Instance("w-0")
	is.True(!instance.grantable())
	report(t, s, w, 0, record.PhaseLeaving)
	report(t, s, w, 0, record.PhaseLive)
	is.True(instance.grantable())
}

// TestWaveEnds guards against waves that never end and against waves that end while instances are down.
func TestWaveEnds(t *testing.T) {
	is := is.New(t)
	s, w := waveState(t)
	for n := range 5 {
		reboot(t, s, w, n)
	}
	is.Equal(len(s.Waves()), 1)
	reboot(t, s, w, 5)
	is.Equal(len(s.Waves()), 0)
	ended, _ := s.Wave("w")
	is.Equal(ended.State, WaveFinished)
	is.Equal(ended.Returned, 6)

	s, w = waveState(t)
	leave(t, s, w, 0, record.LeaveDraining, record.LeaveStopping)
	w.apply(t, s, record.Op{WaveControl: &record.WaveControl{Wave: "w", Action: record.WaveAbort}})
	is.Equal(len(s.Waves()), 1)
	fail(t, s, w, 0)
	ended, _ = s.Wave("w")
	is.Equal(ended.State, WaveAborted)
}
