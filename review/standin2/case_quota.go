package main

import (
	"fmt"
	"strings"
	"time"

	"pollenlead/platform/platformtest"
)

const (
	quotaCPU = 4000
	// quotaBound is the rule's: max_count x (1 + quota_overage) and one work item more.
	quotaBound = quotaCPU*11/10 + taskCPU
	taskCPU    = 1000
	// storeDown is the length of the store's outage.
	storeDown = 4500 * time.Millisecond
)

// caseQuota lets a tenant reach its limit at one service while the store is down, kills the leader, and watches what
// the next leader starts of the tenant's jobs at another service.
func caseQuota(w *world, trouble bool) error {
	near, err := w.addMachine("m1", "near", 8000)
	if err != nil {
		return err
	}
	far, err := w.addMachineOf("a", otherZone, "m2", "far", 8000)
	if err != nil {
		return err
	}
	c := newConfiguration(3)
	c.service("near", false)
	c.service("far", false)
	c.route("r-near", "/near/", "near", nil)
	c.route("r-far", "/far/", "far", nil)
	c.tenant("shop", keyShop, quotaCPU)
	w.publish(c)
	if err := w.startEntries(3); err != nil {
		return err
	}
	lead, err := w.awaitLeader(nil)
	if err != nil {
		return err
	}
	front := w.other(lead)
	job := func(ms int, due time.Time) map[string]any {
		j := map[string]any{"spec": fmt.Sprintf("ms=%d,cpu=%d", ms, taskCPU), "steps": []map[string]any{
			{"count": 4, "cpu": taskCPU, "mem_mb": 100, "estimate_ms": ms},
		}}
		if !due.IsZero() {
			j["times"], j["start_at_ms"] = 1, due.UnixMilli()
		}
		return j
	}
	for i, queue := range []string{"/near/", "/far/"} { // work of everyday, so that both services are in use
		if err := w.submit(front, fmt.Sprintf("%s000000000000300%d", queue, i), keyShop, job(300, time.Time{})); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second)
	down := time.Now().Add(time.Second)
	if err := w.submit(front, "/far/0000000000003010", keyShop, job(25000, down.Add(time.Second))); err != nil {
		return err
	}
	if err := w.submit(front, "/near/0000000000003011", keyShop, job(25000, down.Add(2400*time.Millisecond))); err != nil {
		return err
	}
	time.Sleep(time.Until(down))
	if trouble {
		w.note("the store is down")
		w.cluster.Store.SetFaults(platformtest.StoreFaults{Unresponsive: true})
		time.Sleep(time.Until(down.Add(3300 * time.Millisecond)))
		w.kill(lead)
		time.Sleep(time.Until(down.Add(storeDown)))
		w.cluster.Store.SetFaults(platformtest.StoreFaults{})
		w.note("the store is back")
		if err := w.restart(lead); err != nil {
			return err
		}
	}
	most := int64(0)
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		used := int64(0)
		for _, x := range []*worker{near, far} {
			for _, r := range x.runs() {
				if strings.HasPrefix(r.task, "000000000000301") {
					used += r.cpu
				}
			}
		}
		most = max(most, used)
	}
	w.note("the tenant has had up to %d running; max_count is %d, the rule allows %d", most, quotaCPU, quotaBound)
	if most > quotaBound {
		w.violate("QUOTA: the tenant has %d running, max_count is %d and the rule allows %d", most, quotaCPU, quotaBound)
	}
	if most < quotaCPU {
		return errNotDue
	}
	return nil
}
