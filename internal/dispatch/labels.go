package dispatch

import (
	"slices"

	"pollenlead/internal/fleet"
)

// neededLabel is a label in a pool.
type neededLabel struct{ pool, label string }

// missingLabels returns, by pool, the labels that ready tasks wait for and that no instance of the pool carries, nor
// one that is being moved there. Instances of evacuated zones do not count. Callers hold the dispatcher's mu.
func (w *instanceDriver) missingLabels() map[string][]string {
	needed := map[neededLabel]bool{}
	for pool, jobs := range w.d.waiting {
		for _, j := range jobs {
			for _, label := range waitingLabels(j) {
				needed[neededLabel{pool, label}] = true
			}
		}
	}
	if len(needed) == 0 {
		return nil
	}
	for id, x := range w.listed {
		if x.Phase == fleet.InstanceDown || w.d.Follower.Evacuating(x.Zone) {
			continue
		}
		pool := x.Pool
		if a, moving := w.arrivals[id]; moving {
			pool = a.to
		}
		for _, label := range x.Labels {
			delete(needed, neededLabel{pool, label})
		}
	}
	missing := map[string][]string{}
	for n := range needed {
		missing[n.pool] = append(missing[n.pool], n.label)
	}
	return missing
}

// waitingLabels returns the labels that the job's ready steps with waiting tasks need.
func waitingLabels(j *job) []string {
	if !slices.ContainsFunc(j.Spec.Steps, func(s fleet.Step) bool { return s.RequiredLabel != "" }) {
		return nil
	}
	var labels []string
	for _, o := range j.Occurrences {
		for _, s := range o.Steps {
			if s.Spec.RequiredLabel != "" && s.Open > 0 && s.Ready() && s.WaitingCount() > 0 {
				labels = append(labels, s.Spec.RequiredLabel)
			}
		}
	}
	return labels
}
