package livenesstest

import (
	"context"
	"time"

	"pollenlead/internal/fleet"
	"pollenlead/internal/instances"
)

// instancesModel is an instances service whose list lags behind the workers that come back under their IDs. It has one
// instance for each worker, and moves and maintains none.
type instancesModel struct{ x *world }

// instance returns the instance of a worker as the list shows it. Callers hold mu.
func (x *world) instance(w *workerModel, now time.Time) fleet.Instance {
	if now.Before(w.listedUntil) {
		return w.listed
	}
	i := fleet.Instance{
		ID: "m-" + w.id, Pool: w.pool, Phase: fleet.InstanceDown, Labels: w.labels, Capacity: w.capacity,
	}
	if w.up {
		i.Phase, i.Worker = fleet.InstanceUp, w.id
	}
	return i
}

// life returns the incarnation of a worker, or 0 while it is down. Callers hold mu.
func (x *world) life(id string) int64 {
	if w := x.workers[id]; w != nil && w.up {
		return w.incarnation
	}
	return 0
}

func (m instancesModel) List(context.Context) ([]fleet.Instance, error) {
	m.x.mu.Lock()
	defer m.x.mu.Unlock()
	now := time.Now()
	var list []fleet.Instance
	for _, w := range m.x.workers {
		if now.Before(w.listedUntil) {
			m.x.counts.add("return: list lags")
		}
		list = append(list, m.x.instance(w, now))
	}
	return list, nil
}

func (m instancesModel) Move(context.Context, string, string, int64) error { return instances.ErrBusy }

func (m instancesModel) Maintain(context.Context, string, int64, int64) error {
	return instances.ErrBusy
}
