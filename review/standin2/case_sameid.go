package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	sharedID = "0000000000001042"
	keyOne   = "key-of-tenant-one-01"
	keyTwo   = "key-of-tenant-two-01"
)

// caseSameID hands in a job of another tenant, on another queue, under the ID of an accepted job, and kills the leader.
func caseSameID(w *world, trouble bool) error {
	for _, id := range []string{"m1", "m2"} {
		if _, err := w.addMachine(id, "books", 8000); err != nil {
			return err
		}
	}
	c := newConfiguration(3)
	c.service("books", false)
	c.route("r-one", "/one/", "books", nil)
	c.route("r-two", "/two/", "books", nil)
	c.tenant("one", keyOne, 0)
	c.tenant("two", keyTwo, 0)
	w.publish(c)
	if err := w.startEntries(3); err != nil {
		return err
	}
	lead, err := w.awaitLeader(nil)
	if err != nil {
		return err
	}
	front := w.other(lead)
	job := func(name string, steps int) map[string]any {
		var list []map[string]any
		for i := range steps {
			step := map[string]any{"count": 1, "cpu": 1000, "mem_mb": 100, "estimate_ms": 5000}
			if i > 0 {
				step["depends_on"] = []int{i - 1}
			}
			list = append(list, step)
		}
		return map[string]any{"spec": name + " ms=5000,cpu=1000", "steps": list}
	}
	if err := w.submit(front, "/one/"+sharedID, keyOne, job("one", 3)); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	accepted := false
	if trouble {
		status, _ := w.call(front, http.MethodPost, "/two/"+sharedID, keyTwo, job("two", 2))
		accepted = status/100 == 2
		time.Sleep(2 * time.Second)
		w.kill(lead)
		if _, err := w.awaitLeader(lead); err != nil {
			return err
		}
		if err := w.restart(lead); err != nil {
			return err
		}
	}
	time.Sleep(8 * time.Second) // visible_ms and contact_ms are long over
	status, state := w.state(front, "/one/"+sharedID, keyOne, 10*time.Second)
	if status == http.StatusGone {
		w.violate("LOST: the accepted job of tenant one, which nobody has cancelled, is answered with 410")
	}
	if accepted {
		if status, _ := w.state(front, "/two/"+sharedID, keyTwo, 10*time.Second); status == http.StatusGone {
			w.violate("LOST: the accepted job of tenant two, which nobody has cancelled, is answered with 410")
		}
	}
	if status == http.StatusOK && state != "done" && !w.awaitState(front, "/one/"+sharedID, keyOne, "done", 25*time.Second) {
		w.violate("LOST: the accepted job of tenant one is not done 25 s later")
	}
	w.note("what ran:%s", w.specs())
	return nil
}

// specs lists the specs of the starts of each task.
func (w *world) specs() string {
	text := ""
	for _, x := range w.allWorkers() {
		x.mu.Lock()
		for _, s := range x.starts {
			text += fmt.Sprintf(" [%s run %d: %s]", s.task, s.run, s.spec)
		}
		x.mu.Unlock()
	}
	return text
}
