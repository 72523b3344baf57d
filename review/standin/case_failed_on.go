package main

import (
	"errors"
	"slices"
	"sync"
	"time"
)

// finishTime is the time after the end of the traffic within which the jobs have to be in order, as in the bounds of
// the settings.
const finishTime = 14 * time.Second

// failedOn plays two jobs of which one item each fails once, below the attempts of the queue. One job needs a label that
// a single worker of its service has. The other has an item that lasts on each worker, at most one on each. Both items
// can only be started again at the worker at which they failed, which is sound and has room.
func failedOn(s *stage, trouble bool, v *verdict) error {
	const workers = 4
	if err := s.addMachines("shopdesk", "a", workers-1, 32000, 65536); err != nil {
		return err
	}
	if err := s.addMachines("shopdesk", "b", 1, 32000, 65536); err != nil {
		return err
	}
	q := route{name: "r-4jcda9r", prefix: "/puxa400/", service: "shopdesk", attempts: 3}
	const key = "sjnbanfqasnmgkcuyj8p"
	s.publish([]route{q}, []string{"shopdesk"}, key)
	if err := s.addEntries(3); err != nil {
		return err
	}
	labelled, lasting := jobID(1), jobID(2)
	if trouble {
		s.note("TROUBLE: item 0 of %s and item 1 of %s fail once, 2 s after their start", labelled, lasting)
		s.setFailing(failOnce(labelled+".0.0.0", lasting+".0.0.1"))
	}
	_, ok1 := s.submit(q, key, 1, step(2, work{Millis: 4000, CPU: 2000, Mem: 1000}, map[string]any{"requires": "b"}))
	_, ok2 := s.submit(q, key, 2, step(workers, work{CPU: 2000, Mem: 1000}, map[string]any{
		"long_running": true, "anti_affinity": 1, "may_miss": 1,
	}))
	if !ok1 || !ok2 {
		return errors.New("a job is not accepted")
	}
	if !s.awaitActive(labelled, 2, 15*time.Second) || !s.awaitActive(lasting, workers, 15*time.Second) {
		return errors.New("a job does not begin")
	}
	s.note("end of the traffic")
	time.Sleep(4*time.Second + 6*time.Second + 3*time.Second + finishTime)
	if got := s.state(q, key, 1); got.body != `{"state":"done"}` && len(s.activeItems(labelled)) == 0 {
		v.add("LOST: job %s, state %s, has nothing running; its item 0 failed once of 3 attempts and was not started again; "+
			"the only worker with its label is sound and has room for it many times over", labelled, got.body)
	}
	s.state(q, key, 2)
	if item := lasting + ".0.0.1"; !s.activeItems(lasting)[item] {
		v.add("LOST: item %s, which lasts, failed once and was not started again; its worker is sound, has room and no "+
			"other item of the step", item)
	}
	return nil
}

// failOnce returns a function by which each of the items fails once, 2 s after its start.
func failOnce(items ...string) func(*worker, *run) bool {
	var failed sync.Map
	return func(_ *worker, r *run) bool {
		if !slices.Contains(items, r.item) || time.Since(r.begin) < 2*time.Second {
			return false
		}
		_, before := failed.LoadOrStore(r.item, true)
		return !before
	}
}

// activeItems returns the items of a job that run now.
func (m *room) activeItems(job string) map[string]bool {
	items := map[string]bool{}
	for _, x := range m.observedRuns(job) {
		if x.ended.IsZero() {
			items[x.item] = true
		}
	}
	return items
}

// awaitActive waits until a number of items of a job run.
func (m *room) awaitActive(job string, count int, limit time.Duration) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if len(m.activeItems(job)) >= count {
			return true
		}
	}
	return false
}
