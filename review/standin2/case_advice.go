package main

import "time"

const advisedJob = "a1c0ffee00000001"

// caseAdvice removes a route with advice that has an accepted job with a step still to come, and kills the leader.
func caseAdvice(w *world, trouble bool) error {
	if _, err := w.addMachine("m1", "books", 8000); err != nil {
		return err
	}
	if _, err := w.addMachine("m2", "books", 8000); err != nil {
		return err
	}
	config := func(version int, withRoute bool) *configuration {
		c := newConfiguration(version)
		c.service("books", false)
		c.route("r-other", "/other/", "books", nil)
		if withRoute {
			c.route("r-advised", "/advised/", "books", map[string]any{
				"advice": map[string]any{"decide_ms": 60, "period_ms": 5, "validity_ms": 3000},
			})
		}
		c.tenant("shop", "key-of-the-shop-0001", 0)
		return c
	}
	w.publish(config(3, true))
	if err := w.startEntries(3); err != nil {
		return err
	}
	lead, err := w.awaitLeader(nil)
	if err != nil {
		return err
	}
	w.advice.govern(advisedJob)
	front := w.other(lead)
	job := map[string]any{"spec": "ms=9000,cpu=1000", "steps": []map[string]any{
		{"count": 2, "cpu": 1000, "mem_mb": 100, "estimate_ms": 9000},
		{"count": 2, "cpu": 1000, "mem_mb": 100, "estimate_ms": 9000, "depends_on": []int{0}},
	}}
	if err := w.submit(front, "/advised/"+advisedJob, "key-of-the-shop-0001", job); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	w.publish(config(5, false))
	time.Sleep(3 * time.Second) // all entry instances have applied the version
	if trouble {
		w.kill(lead)
		if _, err := w.awaitLeader(lead); err != nil {
			return err
		}
		if err := w.restart(lead); err != nil {
			return err
		}
	}
	return w.watchStep(advisedJob, 0, 1, 2)
}
