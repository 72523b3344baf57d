package scheduling

import "slices"

// Exclusion is the reason for which a worker gets no task of a step now; "" if it may get one.
type Exclusion string

// The reasons that concern the step. The state of a worker may rule it out before.
const (
	// ExcludedTooSmall means that the task exceeds the worker's capacity.
	ExcludedTooSmall Exclusion = "too_small"
	// ExcludedLabel means that the worker lacks the label that the step requires.
	ExcludedLabel Exclusion = "label_missing"
	// ExcludedMaxPerWorker means that the worker has as many tasks of the step as it may have.
	ExcludedMaxPerWorker Exclusion = "max_per_worker"
	// ExcludedTicket means that the advice service has given no ticket for the worker.
	ExcludedTicket Exclusion = "no_ticket"
	// ExcludedFull means that the task exceeds what is free on the worker.
	ExcludedFull Exclusion = "full"
	// ExcludedRetry means that the task has failed, and that another worker than this one is tried first.
	ExcludedRetry Exclusion = "failed_there"
	// ExcludedProbe means that the worker is on probation and has a run already.
	ExcludedProbe Exclusion = "probing"
	// ExcludedReserved means that the task would delay the one for which the worker is reserved.
	ExcludedReserved Exclusion = "reserved"
)

// exclusion returns why a task of the step is not placed on the worker now. Most workers of a loaded pool are full, so
// that is examined first.
func (p *planner) exclusion(c *Worker, w PendingStep, use *stepUsage, retry retry) Exclusion {
	fits := w.Step.Spec.Charge().Fits(c.Free)
	if !fits && w.Step.Spec.Charge().Fits(c.Capacity) {
		return ExcludedFull
	}
	if reason := ineligibility(c, w, use); reason != "" {
		return reason
	}
	switch {
	case !fits:
		return ExcludedFull
	case retry.excludes(c):
		return ExcludedRetry
	case c.Probe && c.Runs > 0:
		return ExcludedProbe
	case p.delaysReservation(c, w):
		return ExcludedReserved
	}
	return ""
}

// ineligibility returns why the worker may not run a task of the step even if it has room.
func ineligibility(c *Worker, w PendingStep, use *stepUsage) Exclusion {
	s := w.Step.Spec
	switch {
	case !s.Charge().Fits(c.Capacity):
		return ExcludedTooSmall
	case s.RequiredLabel != "" && !slices.Contains(c.Labels, s.RequiredLabel):
		return ExcludedLabel
	case s.MaxPerWorker > 0 && use.byWorker[c.ID] >= s.MaxPerWorker:
		return ExcludedMaxPerWorker
	case w.Tickets != nil && w.Tickets[c.ID] == "":
		return ExcludedTicket
	}
	return ""
}
