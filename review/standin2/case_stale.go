package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"time"

	"pollenlead/platform/platformtest"
)

const (
	servingJob = "c1c0ffee00000003"
	laterJob   = "c1c0ffee00000004"
	// storeCut is the length of the leader's partition from the store.
	storeCut = 5500 * time.Millisecond
)

// caseStale partitions the leader from the store. Its successor starts work that lasts, and a scheduled job becomes due
// for which the former leader wants more machines.
func caseStale(w *world, trouble bool) error {
	w.cloud.onMove = w.checkAvailability
	for n := range 4 {
		if _, err := w.addMachine(fmt.Sprintf("s%d", n+1), "serving", 8000); err != nil {
			return err
		}
	}
	if _, err := w.addMachine("b1", "batch", 8000); err != nil {
		return err
	}
	c := newConfiguration(3)
	c.service("serving", false)
	c.service("batch", false)
	c.route("r-serving", "/serving/", "serving", nil)
	c.route("r-batch", "/batch/", "batch", nil)
	c.tenant("shop", keyShop, 0)
	w.publish(c)
	if err := w.startEntries(3); err != nil {
		return err
	}
	lead, err := w.awaitLeader(nil)
	if err != nil {
		return err
	}
	front := w.other(lead)
	time.Sleep(6 * time.Second)
	cut := w.cloud.worker("b1").lastHold().Add(3150 * time.Millisecond)
	if os.Getenv("PHASE") == "random" { // any begin in the cycle of the idle workers' renewals
		cut = cut.Add(rand.N(2050 * time.Millisecond))
	}
	due := cut.Add(2150 * time.Millisecond)
	scheduled := map[string]any{
		"spec": "ms=20000,cpu=1000", "times": 1, "start_at_ms": due.UnixMilli(), "steps": []map[string]any{
			{"count": 24, "cpu": 1000, "mem_mb": 100, "estimate_ms": 20000},
		},
	}
	if err := w.submit(front, "/batch/"+laterJob, keyShop, scheduled); err != nil {
		return err
	}
	time.Sleep(time.Until(cut))
	heal := func() {}
	if trouble {
		w.note("%s is cut off from the store", lead.name)
		heal = w.cluster.Store.AddFaults(
			platformtest.StoreFaults{Unresponsive: true}, platformtest.StoreScope{Clients: map[string]bool{lead.name: true}},
		)
	}
	time.Sleep(800 * time.Millisecond)
	serving := map[string]any{"spec": "serving", "steps": []map[string]any{{
		"count": 4, "cpu": 1000, "mem_mb": 100, "anti_affinity": 1, "long_running": true, "may_miss": 1,
	}}}
	if err := w.submit(front, "/serving/"+servingJob, keyShop, serving); err != nil {
		return err
	}
	time.Sleep(time.Until(cut.Add(storeCut)))
	heal()
	w.note("the path to the store is back")
	time.Sleep(8 * time.Second)
	return nil
}

// checkAvailability checks the rule AVAIL when a machine is moved. Callers hold the instances service's mutex.
func (w *world) checkAvailability(m *machine, _ string, fence int64, holder string) {
	const mayMiss, tasks = 1, 4
	if m.worker == nil {
		return
	}
	for _, r := range m.worker.runs() {
		if !strings.HasPrefix(r.task, servingJob) || time.Since(r.since) < startupTime {
			continue
		}
		atWork := 0
		for _, x := range w.allWorkers() {
			for _, other := range x.runs() {
				if strings.HasPrefix(other.task, servingJob) && other.task != r.task && time.Since(other.since) >= startupTime {
					atWork++
				}
			}
		}
		away := tasks - 1 - atWork
		w.note("the move of %s by %s (fence %d) ends %s, which is at work; %d others are away", m.id, holder, fence, r.task, away)
		if away >= mayMiss {
			w.violate("AVAIL: a move by %s (fence %d) ends %s, which is at work, while %d others of its step are away, may_miss %d",
				holder, fence, r.task, away, mayMiss)
		}
	}
}
