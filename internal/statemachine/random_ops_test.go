package statemachine

import (
	"pgregory.net/rapid"

	"pollenlead/internal/record"
)

func pick[T any](w *stateModel, label string, from []T) T {
	return rapid.SampledFrom(from).Draw(w.t, label)
}

func (w *stateModel) drawInt(label string, low, high int) int {
	return rapid.IntRange(low, high).Draw(w.t, label)
}

// oneInTen returns true in one of ten draws. It selects values that the state machine should reject.
func (w *stateModel) oneInTen(label string) bool { return w.drawInt(label, 0, 9) == 0 }

// drawOp returns a random op of writer n that the current state often accepts.
func (w *stateModel) drawOp(n int) record.Op {
	h := w.holder(n)
	if _, open := w.state.Session(h); !open && !w.oneInTen("closed") {
		if w.seq[h] > 0 {
			w.incarnation[n]++
		}
		return record.Op{SessionOpen: &record.SessionOpen{}}
	}
	draws := []func(h string) record.Op{
		w.drawSession, w.drawConfig, w.drawDemand, w.drawDemand, w.drawRelease, w.drawRelease, w.drawReport, w.drawMove,
		w.drawAccept, w.drawAccept, w.drawStart, w.drawStart, w.drawStart, w.drawFinish, w.drawFinish, w.drawJobs,
		w.drawClaim, w.drawSnapshot,
	}
	return pick(w, "kind", draws)(h)
}

func (w *stateModel) drawSession(string) record.Op {
	switch w.drawInt("session", 0, 3) {
	case 0:
		return record.Op{SessionRenew: &record.SessionRenew{}}
	case 1:
		return record.Op{SessionClose: &record.SessionClose{}}
	default:
		op := record.SessionRevoke{Holder: w.holder(w.drawInt("other", 0, len(w.incarnation)-1))}
		if s, ok := w.state.Session(op.Holder); ok && !w.oneInTen("stale") {
			op.LastRenewal = s.LastRenewal
		}
		return record.Op{SessionRevoke: &op}
	}
}

func (w *stateModel) drawConfig(string) record.Op {
	limits := rapid.SliceOfN(rapid.IntRange(-1, 4), len(testTeams), len(testTeams)).Draw(w.t, "limits")
	pools := testPools[:w.drawInt("pools", 0, 2)]
	op := record.ConfigPublish{Expect: w.state.d.ConfigVersion, Document: testDocument(limits, pools)}
	if w.oneInTen("conflict") {
		op.Expect += 1
	}
	if w.oneInTen("invalid") {
		op.Document = "pools: ["
	}
	return record.Op{ConfigPublish: &op}
}

func (w *stateModel) drawDemand(string) record.Op {
	return record.Op{Demand: &record.Demand{
		Teams: []record.ResourceDemand{{Name: pick(w, "team", testTeams), Wanted: w.drawInt("wanted", -1, 6)}},
		Pools: []record.ResourceDemand{{Name: pick(w, "pool", testPools), Wanted: w.drawInt("wanted", 0, 6)}},
	}}
}

func (w *stateModel) drawRelease(string) record.Op {
	var op record.Release
	if w.drawInt("teams", 0, 1) == 1 {
		op.Teams = []record.TeamUnits{{Name: pick(w, "team", testTeams), Units: w.drawInt("units", 0, 3)}}
	}
	if len(op.Teams) == 0 || w.drawInt("slots", 0, 1) == 1 {
		op.Slots = []record.InstanceSlots{{Instance: pick(w, "instance", testInstances), Slots: w.drawInt("slots", 0, 3)}}
	}
	return record.Op{Release: &op}
}

func (w *stateModel) drawReport(string) record.Op {
	phases := []record.Phase{record.PhaseLive, record.PhaseLive, record.PhaseLeaving, record.PhaseGone, "other"}
	version := int(w.state.ListVersion()) + w.drawInt("version", 0, 10) - 1
	op := record.InstancesReport{ListVersion: uint64(max(0, version))}
	for range w.drawInt("instances", 1, 2) {
		op.Instances = append(op.Instances, record.Instance{
			ID: pick(w, "instance", testInstances), Phase: pick(w, "phase", phases), Slots: w.drawInt("slots", 0, 4),
		})
	}
	return record.Op{InstancesReport: &op}
}

func (w *stateModel) drawMove(string) record.Op {
	pools := append([]string{"spare"}, testPools...)
	op := record.InstanceMove{
		Instance: pick(w, "instance", testInstances), From: pick(w, "from", pools), To: pick(w, "to", pools),
	}
	if i, ok := w.state.Instance(op.Instance); ok && !w.oneInTen("stale") {
		op.From = i.Pool
	}
	return record.Op{InstanceMove: &op}
}

func (w *stateModel) drawAccept(string) record.Op {
	team := pick(w, "team", testTeams)
	return record.Op{JobAccept: &record.JobAccept{
		Job: pick(w, "job", testJobs), Team: team, KeyID: "k" + team, Service: "s",
		NonIdempotent: w.drawInt("once", 0, 1) == 1, IdempotencyKey: pick(w, "key", []string{"", "", "x"}),
		Fingerprint: pick(w, "content", []string{"1", "2"}), Body: []byte("b"),
	}}
}

// drawJob returns mostly a job of the holder if it has one, otherwise any job.
func (w *stateModel) drawJob(h string) Job {
	if jobs := w.state.JobsOf(h); len(jobs) > 0 && !w.oneInTen("any job") {
		return pick(w, "own job", jobs)
	}
	job, _ := w.state.Job(pick(w, "job", testJobs))
	return job
}

func (w *stateModel) drawStart(h string) record.Op {
	job := w.drawJob(h)
	op := record.JobStart{Job: job.ID, Attempt: job.Attempt + 1, Instance: pick(w, "instance", testInstances)}
	if slots := sortedKeys(w.state.Allotment(h).Slots); len(slots) > 0 && !w.oneInTen("any instance") {
		op.Instance = pick(w, "held", slots)
	}
	return record.Op{JobStart: &op}
}

func (w *stateModel) drawFinish(h string) record.Op {
	job := w.drawJob(h)
	outcomes := []record.JobOutcome{
		record.OutcomeSucceeded, record.OutcomeFailed, record.OutcomeUnknown, record.OutcomeRetry, record.OutcomeRetry,
		"other",
	}
	op := record.JobFinish{
		Job: job.ID, Attempt: job.Attempt, Status: w.drawInt("status", 200, 201), Outcome: pick(w, "outcome", outcomes),
	}
	if w.oneInTen("stale") {
		op.Attempt--
	}
	return record.Op{JobFinish: &op}
}

func (w *stateModel) drawJobs(string) record.Op {
	jobs := rapid.SliceOfN(rapid.SampledFrom(testJobs), 1, 3).Draw(w.t, "jobs")
	if w.drawInt("end", 0, 1) == 0 {
		return record.Op{JobCancel: &record.JobCancel{Jobs: jobs}}
	}
	return record.Op{JobForget: &record.JobForget{Jobs: jobs}}
}

func (w *stateModel) drawClaim(string) record.Op {
	team, key := pick(w, "team", testTeams), pick(w, "key", []string{"", "x", "y"})
	switch w.drawInt("claim", 0, 3) {
	case 0:
		return record.Op{RequestSettle: &record.RequestSettle{Team: team, IdempotencyKey: key,
			Run: pick(w, "run", []record.Execution{
				record.ExecutionNotRun, record.ExecutionMayHaveRun, record.ExecutionCompleted, "other",
			})}}
	case 1:
		return record.Op{ClaimsForget: &record.ClaimsForget{Claims: []record.ClaimRef{{Team: team, IdempotencyKey: key}}}}
	default:
		return record.Op{RequestClaim: &record.RequestClaim{Team: team, IdempotencyKey: key, Service: "s",
			Fingerprint: pick(w, "content", []string{"1", "2"})}}
	}
}

func (w *stateModel) drawSnapshot(string) record.Op {
	term := w.state.SnapshotTerm()
	switch w.drawInt("snapshot", 0, 2) {
	case 0:
		return record.Op{SnapshotBegin: &record.SnapshotBegin{Term: term + uint64(w.drawInt("term", 0, 1)), Chunks: 1}}
	case 1:
		return record.Op{SnapshotChunk: &record.SnapshotChunk{Term: term}}
	default:
		return record.Op{SnapshotEnd: &record.SnapshotEnd{Term: term}}
	}
}
