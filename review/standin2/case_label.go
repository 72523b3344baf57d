package main

import (
	"fmt"
	"time"
)

// caseLabel leaves the machines of one kind in a pool idle for some seconds, and then hands in a job that needs that
// kind.
func caseLabel(w *world, trouble bool) error {
	w.cloud.standby["spare"] = true
	for i, kind := range []string{"big", "big", "small", "small", "small"} {
		if _, err := w.addMachineOf(kind, entryZone, fmt.Sprintf("m%d", i+1), "books", 8000); err != nil {
			return err
		}
	}
	c := newConfiguration(3)
	c.service("books", false)
	c.service("spare", true)
	c.route("r-books", "/books/", "books", nil)
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
	job := func(kind string, count, ms int) map[string]any {
		return map[string]any{"spec": fmt.Sprintf("ms=%d,cpu=1000", ms), "steps": []map[string]any{
			{"count": count, "cpu": 1000, "mem_mb": 100, "estimate_ms": ms, "requires": kind, "anti_affinity": 1},
		}}
	}
	if err := w.submit(front, "/books/0000000000005001", keyShop, job("small", 3, 20000)); err != nil {
		return err
	}
	if trouble {
		w.note("demand for the kind big falls: nothing needs it for 8 s")
		time.Sleep(8 * time.Second)
	}
	if err := w.submit(front, "/books/0000000000005002", keyShop, job("big", 1, 1000)); err != nil {
		return err
	}
	if !w.awaitState(front, "/books/0000000000005002", keyShop, "done", 40*time.Second) {
		w.violate("LOST: for 40 s the accepted job has nothing running; two idle machines of its kind are switched off")
	}
	return nil
}
