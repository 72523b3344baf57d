package statemachine

import (
	"pgregory.net/rapid"

	"pollenlead/internal/record"
)

func pick[T any](w *world, label string, from []T) T { return rapid.SampledFrom(from).Draw(w.t, label) }

func (w *world) number(label string, low, high int) int {
	return rapid.IntRange(low, high).Draw(w.t, label)
}

// rarely is true in one of ten draws, for values that the fold rejects.
func (w *world) rarely(label string) bool { return w.number(label, 0, 9) == 0 }

// drawOp returns an op of writer n that the present state often accepts.
func (w *world) drawOp(n int) record.Op {
	h := w.holder(n)
	if _, open := w.state.Session(h); !open && !w.rarely("closed") {
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

func (w *world) drawSession(string) record.Op {
	switch w.number("session", 0, 3) {
	case 0:
		return record.Op{SessionRenew: &record.SessionRenew{}}
	case 1:
		return record.Op{SessionClose: &record.SessionClose{}}
	default:
		op := record.SessionRevoke{Holder: w.holder(w.number("other", 0, len(w.incarnation)-1))}
		if s, ok := w.state.Session(op.Holder); ok && !w.rarely("stale") {
			op.LastRenewal = s.LastRenewal
		}
		return record.Op{SessionRevoke: &op}
	}
}

func (w *world) drawConfig(string) record.Op {
	limits := rapid.SliceOfN(rapid.IntRange(-1, 4), len(testTeams), len(testTeams)).Draw(w.t, "limits")
	op := record.ConfigPublish{Expect: w.state.d.ConfigVersion, Document: testDocument(limits, testPools[:w.number("pools", 0, 2)])}
	if w.rarely("conflict") {
		op.Expect += 1
	}
	if w.rarely("invalid") {
		op.Document = "pools: ["
	}
	return record.Op{ConfigPublish: &op}
}

func (w *world) drawDemand(string) record.Op {
	return record.Op{Demand: &record.Demand{
		Teams: []record.ResourceDemand{{Name: pick(w, "team", testTeams), Wanted: w.number("wanted", -1, 6)}},
		Pools: []record.ResourceDemand{{Name: pick(w, "pool", testPools), Wanted: w.number("wanted", 0, 6)}},
	}}
}

func (w *world) drawRelease(string) record.Op {
	var op record.Release
	if w.number("teams", 0, 1) == 1 {
		op.Teams = []record.TeamUnits{{Name: pick(w, "team", testTeams), Units: w.number("units", 0, 3)}}
	}
	if len(op.Teams) == 0 || w.number("slots", 0, 1) == 1 {
		op.Slots = []record.InstanceSlots{{Instance: pick(w, "instance", testInstances), Slots: w.number("slots", 0, 3)}}
	}
	return record.Op{Release: &op}
}

func (w *world) drawReport(string) record.Op {
	phases := []record.Phase{record.PhaseLive, record.PhaseLive, record.PhaseLeaving, record.PhaseGone, "other"}
	version := int(w.state.ListVersion()) + w.number("version", 0, 10) - 1
	op := record.InstancesReport{ListVersion: uint64(max(0, version))}
	for range w.number("instances", 1, 2) {
		op.Instances = append(op.Instances, record.Instance{
			ID: pick(w, "instance", testInstances), Phase: pick(w, "phase", phases), Slots: w.number("slots", 0, 4),
		})
	}
	return record.Op{InstancesReport: &op}
}

func (w *world) drawMove(string) record.Op {
	pools := append([]string{"spare"}, testPools...)
	op := record.InstanceMove{Instance: pick(w, "instance", testInstances), From: pick(w, "from", pools), To: pick(w, "to", pools)}
	if i, ok := w.state.Instance(op.Instance); ok && !w.rarely("stale") {
		op.From = i.Pool
	}
	return record.Op{InstanceMove: &op}
}

func (w *world) drawAccept(string) record.Op {
	team := pick(w, "team", testTeams)
	return record.Op{JobAccept: &record.JobAccept{
		Job: pick(w, "job", testJobs), Team: team, KeyID: "k" + team, Service: "s", NonIdempotent: w.number("once", 0, 1) == 1,
		IdempotencyKey: pick(w, "key", []string{"", "", "x"}), Fingerprint: pick(w, "content", []string{"1", "2"}), Body: []byte("b"),
	}}
}

// drawJob returns a job of the holder where there is one.
func (w *world) drawJob(h string) Job {
	if jobs := w.state.JobsOf(h); len(jobs) > 0 && !w.rarely("any job") {
		return pick(w, "own job", jobs)
	}
	job, _ := w.state.Job(pick(w, "job", testJobs))
	return job
}

func (w *world) drawStart(h string) record.Op {
	job := w.drawJob(h)
	op := record.JobStart{Job: job.ID, Attempt: job.Attempt + 1, Instance: pick(w, "instance", testInstances)}
	if slots := sortedKeys(w.state.Allotment(h).Slots); len(slots) > 0 && !w.rarely("any instance") {
		op.Instance = pick(w, "held", slots)
	}
	return record.Op{JobStart: &op}
}

func (w *world) drawFinish(h string) record.Op {
	job := w.drawJob(h)
	op := record.JobFinish{Job: job.ID, Attempt: job.Attempt, Status: w.number("status", 200, 201), Outcome: pick(w, "outcome",
		[]record.JobOutcome{record.OutcomeSucceeded, record.OutcomeFailed, record.OutcomeUnknown, record.OutcomeRetry, record.OutcomeRetry, "other"})}
	if w.rarely("stale") {
		op.Attempt--
	}
	return record.Op{JobFinish: &op}
}

func (w *world) drawJobs(string) record.Op {
	jobs := rapid.SliceOfN(rapid.SampledFrom(testJobs), 1, 3).Draw(w.t, "jobs")
	if w.number("end", 0, 1) == 0 {
		return record.Op{JobCancel: &record.JobCancel{Jobs: jobs}}
	}
	return record.Op{JobForget: &record.JobForget{Jobs: jobs}}
}

func (w *world) drawClaim(string) record.Op {
	team, key := pick(w, "team", testTeams), pick(w, "key", []string{"", "x", "y"})
	switch w.number("claim", 0, 3) {
	case 0:
		return record.Op{RequestSettle: &record.RequestSettle{Team: team, IdempotencyKey: key,
			Run: pick(w, "run", []record.Execution{record.ExecutionNotRun, record.ExecutionMayHaveRun, record.ExecutionCompleted, "other"})}}
	case 1:
		return record.Op{ClaimsForget: &record.ClaimsForget{Claims: []record.ClaimRef{{Team: team, IdempotencyKey: key}}}}
	default:
		return record.Op{RequestClaim: &record.RequestClaim{Team: team, IdempotencyKey: key, Service: "s",
			Fingerprint: pick(w, "content", []string{"1", "2"})}}
	}
}

func (w *world) drawSnapshot(string) record.Op {
	term := w.state.SnapshotTerm()
	switch w.number("snapshot", 0, 2) {
	case 0:
		return record.Op{SnapshotBegin: &record.SnapshotBegin{Term: term + uint64(w.number("term", 0, 1)), Chunks: 1}}
	case 1:
		return record.Op{SnapshotChunk: &record.SnapshotChunk{Term: term}}
	default:
		return record.Op{SnapshotEnd: &record.SnapshotEnd{Term: term}}
	}
}
