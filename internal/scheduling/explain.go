package scheduling

import (
	"slices"
	"time"

	"pollenlead/internal/workload"
)

const (
	// maxExamples bounds the workers that are named for each reason.
	maxExamples = 3
	// maxExplainedWait is how far ahead the expected ends of runs are examined for room.
	maxExplainedWait = time.Hour
)

// Excluded counts the workers that are ruled out for one reason, and names some of them.
type Excluded struct {
	Count    int      `json:"count"`
	Examples []string `json:"examples"`
}

// Exclusions holds the excluded workers by reason.
type Exclusions map[Exclusion]*Excluded

// Add adds a worker. All workers have to be added in a fixed order for the examples to be the same each time.
func (e Exclusions) Add(reason Exclusion, worker string) {
	if e[reason] == nil {
		e[reason] = &Excluded{}
	}
	e[reason].Count++
	if len(e[reason].Examples) < maxExamples {
		e[reason].Examples = append(e[reason].Examples, worker)
	}
}

// StepExplanation tells where the tasks of a step would be placed now.
type StepExplanation struct {
	// Tasks is the number of tasks of the step.
	Tasks int `json:"tasks"`
	// DependsOn holds the steps that have to be done first. Such a step is not placed now.
	DependsOn []int `json:"depends_on,omitempty"`
	// OverLimit means that one task exceeds what is left of the team's limit.
	OverLimit bool `json:"over_limit"`
	// Candidates is the number of workers that may get the first task now, and Excluded holds the others.
	Candidates int        `json:"candidates"`
	Excluded   Exclusions `json:"excluded"`
	// Placed is the number of tasks that would be placed now, and Worker the one of the first task.
	Placed int    `json:"placed"`
	Worker string `json:"worker,omitempty"`
	// ExpectedWorker is where the first task is expected to fit first if none is placed, and ExpectedInMillis when. The
	// waiting work of a higher rank may take that room.
	ExpectedWorker   string `json:"expected_worker,omitempty"`
	ExpectedInMillis int64  `json:"expected_in_ms,omitempty"`
	// Reserved means that the expected worker would be reserved for the first task.
	Reserved bool `json:"reserved"`
}

// Explain tells where the steps of one job would be placed after the waiting steps of higher rank. It decides as Plan
// does, and changes the workers and limits in the same way. Without reserve, no reservations are made.
func Explain(
	workers []*Worker, waiting, steps []PendingStep, limits Limits, reserve bool, now time.Time,
) []StepExplanation {
	p := &planner{workers: workers, limits: limits, now: now}
	if reserve {
		p.reservationsLeft = reservationsFor(workers)
	}
	if len(steps) > 0 {
		p.placeAll(Ahead(waiting, steps[0]))
	}
	explained := make([]StepExplanation, len(steps))
	for i, w := range steps {
		explained[i] = p.explainWorkers(w)
	}
	for i, w := range steps {
		if w.Step.Ready() && w.Waiting > 0 {
			p.explainPlacement(w, &explained[i])
		}
	}
	return explained
}

// firstWaiting returns the first waiting task of a step that has one.
func firstWaiting(s *workload.Step) *workload.Task {
	for t := range s.Waiting() {
		return t
	}
	return s.Task(0)
}

// Ahead returns the waiting steps that come before a step, in the order of their ranks.
func Ahead(waiting []PendingStep, step PendingStep) []PendingStep {
	var ahead []PendingStep
	for _, w := range waiting {
		if CompareRanks(w, step) <= 0 {
			ahead = append(ahead, w)
		}
	}
	slices.SortFunc(ahead, CompareRanks)
	return ahead
}

// explainWorkers examines each worker for the first task of a step.
func (p *planner) explainWorkers(w PendingStep) StepExplanation {
	x := StepExplanation{Tasks: w.Waiting, DependsOn: w.Step.Spec.DependsOn, Excluded: Exclusions{}}
	limit := p.limits[w.Step.Job.Team]
	x.OverLimit = limit != nil && !w.Step.Spec.Need.Fits(*limit)
	use := newStepUsage(w.Step)
	for _, c := range p.workers {
		if reason := p.exclusion(c, w, use, retry{}); reason != "" {
			x.Excluded.Add(reason, c.ID)
			continue
		}
		x.Candidates++
	}
	return x
}

// explainPlacement places the tasks of a step or finds out when the first one is expected to fit.
func (p *planner) explainPlacement(w PendingStep, x *StepExplanation) {
	placed := p.place(w)
	if x.Placed = len(placed); x.Placed > 0 {
		x.Worker = placed[0].Worker.ID
		return
	}
	if x.OverLimit || w.Step.Spec.Gang { // room for one member of a gang tells nothing of the others
		return
	}
	worker, at := p.soonest(w, firstWaiting(w.Step), newStepUsage(w.Step), p.now.Add(maxExplainedWait))
	if worker == nil {
		return
	}
	x.ExpectedWorker, x.ExpectedInMillis = worker.ID, at.Sub(p.now).Milliseconds()
	x.Reserved = p.reservationsLeft > 0 && !at.After(p.now.Add(latestWait(w)))
}
