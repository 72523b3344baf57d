package relay

import "pollenlead/internal/worker"

// runLists holds the last list of runs of each worker in a session, on both sides of it. A worker without runs has no entry.
type runLists map[string]map[runKey]worker.Running

// encode returns a worker's report as the changes since the last one. Ends that the leader has seen are left out. Changes of progress and load
// are told only if it asks for detail, or when a run begins to be at work or no longer is.
func (l runLists) encode(id string, r worker.Report, h *holdCall) *report {
	out := &report{Incarnation: r.Incarnation, MoreEnds: r.MoreEnds}
	seen := h.Seen
	if r.Incarnation != h.Incarnation {
		seen = 0 // the numbers of ends begin anew with each incarnation
	}
	for _, e := range r.Ended {
		if e.Number > seen {
			out.Ended = append(out.Ended, endRow{Number: e.Number, Task: e.Task, Run: e.Run, Kind: e.Kind, Checkpoint: e.Checkpoint})
		}
	}
	last := l[id]
	now := make(map[runKey]worker.Running, len(r.Running))
	for _, x := range r.Running {
		key := runKey{x.Task, x.Run}
		old, known := last[key]
		if known && !differs(old, x, h.Detail) {
			now[key] = old
			continue
		}
		now[key] = x
		out.Changed = append(out.Changed, runRow{Task: x.Task, Run: x.Run, Checkpoint: x.Checkpoint, Percent: x.Percent, Load: x.Load})
	}
	for key := range last {
		if _, there := now[key]; !there {
			out.Gone = append(out.Gone, key)
		}
	}
	l.set(id, now)
	return out
}

// atWork is the percentage from which on a run that lasts is at work.
const atWork = 100

// differs reports whether a leader needs to know of a change.
func differs(old, now worker.Running, detail bool) bool {
	if old.Checkpoint != now.Checkpoint || (old.Percent >= atWork) != (now.Percent >= atWork) {
		return true
	}
	return detail && (old.Percent != now.Percent || old.Load != now.Load)
}

// decode returns the whole report that encode was given, but for what it left out.
func (l runLists) decode(id string, clockMillis int64, r *report) worker.Report {
	now := l[id]
	if now == nil {
		now = map[runKey]worker.Running{}
	}
	for _, key := range r.Gone {
		delete(now, key)
	}
	for _, x := range r.Changed {
		now[runKey{x.Task, x.Run}] = worker.Running{Task: x.Task, Run: x.Run, Checkpoint: x.Checkpoint, Percent: x.Percent, Load: x.Load}
	}
	l.set(id, now)
	out := worker.Report{ClockMillis: clockMillis, Incarnation: r.Incarnation, MoreEnds: r.MoreEnds}
	for _, e := range r.Ended {
		out.Ended = append(out.Ended, worker.End{Number: e.Number, Task: e.Task, Run: e.Run, Kind: e.Kind, Checkpoint: e.Checkpoint})
	}
	if len(now) > 0 {
		out.Running = make([]worker.Running, 0, len(now))
	}
	for _, x := range now {
		out.Running = append(out.Running, x)
	}
	return out
}

func (l runLists) set(id string, runs map[runKey]worker.Running) {
	if len(runs) == 0 {
		delete(l, id)
		return
	}
	l[id] = runs
}
