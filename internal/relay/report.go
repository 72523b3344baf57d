package relay

import "pollenlead/internal/worker"

// runsByWorker holds the last reported runs of each worker in a session. Both sides of the session keep one. A worker
// without runs has no entry.
type runsByWorker map[string]map[runKey]worker.Running

// encode returns the difference between a worker's report and the previous one. Ends that the leader has seen are left
// out. Changes of progress and load are reported only if the leader asks for detail, or when a run crosses
// readyPercent.
func (l runsByWorker) encode(id string, r worker.Report, h *holdCall) *report {
	out := &report{Incarnation: r.Incarnation, MoreEnds: r.MoreEnds}
	seen := h.Seen
	if r.Incarnation != h.Incarnation {
		seen = 0 // end numbers start again with each incarnation
	}
	for _, e := range r.Ended {
		if e.Number > seen {
			out.Ended = append(out.Ended, endRow{
				Number: e.Number, Task: e.Task, Run: e.Run, Kind: e.Kind, Checkpoint: e.Checkpoint,
			})
		}
	}
	last := l[id]
	now := make(map[runKey]worker.Running, len(r.Running))
	for _, x := range r.Running {
		key := runKey{x.Task, x.Run}
		old, known := last[key]
		if known && !mustReport(old, x, h.Detail) {
			now[key] = old
			continue
		}
		now[key] = x
		out.Changed = append(out.Changed, runRow{
			Task: x.Task, Run: x.Run, Checkpoint: x.Checkpoint, Percent: x.Percent, Load: x.Load,
		})
	}
	for key := range last {
		if _, there := now[key]; !there {
			out.Gone = append(out.Gone, key)
		}
	}
	l.set(id, now)
	return out
}

// readyPercent is the progress at which a long-running task has started up and is working.
const readyPercent = 100

// mustReport reports whether a change of a run is sent to the leader: always for a new checkpoint or when the run
// crosses readyPercent, and with detail for any change of progress or load.
func mustReport(old, now worker.Running, detail bool) bool {
	if old.Checkpoint != now.Checkpoint || (old.Percent >= readyPercent) != (now.Percent >= readyPercent) {
		return true
	}
	return detail && (old.Percent != now.Percent || old.Load != now.Load)
}

// decode applies an encoded report to the worker's last runs and returns the report without the parts that encode left
// out.
func (l runsByWorker) decode(id string, clockMillis int64, r *report) worker.Report {
	now := l[id]
	if now == nil {
		now = map[runKey]worker.Running{}
	}
	for _, key := range r.Gone {
		delete(now, key)
	}
	for _, x := range r.Changed {
		now[runKey{x.Task, x.Run}] = worker.Running{
			Task: x.Task, Run: x.Run, Checkpoint: x.Checkpoint, Percent: x.Percent, Load: x.Load,
		}
	}
	l.set(id, now)
	out := worker.Report{ClockMillis: clockMillis, Incarnation: r.Incarnation, MoreEnds: r.MoreEnds}
	for _, e := range r.Ended {
		out.Ended = append(out.Ended, worker.End{
			Number: e.Number, Task: e.Task, Run: e.Run, Kind: e.Kind, Checkpoint: e.Checkpoint,
		})
	}
	if len(now) > 0 {
		out.Running = make([]worker.Running, 0, len(now))
	}
	for _, x := range now {
		out.Running = append(out.Running, x)
	}
	return out
}

func (l runsByWorker) set(id string, runs map[runKey]worker.Running) {
	if len(runs) == 0 {
		delete(l, id)
		return
	}
	l[id] = runs
}
