package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const keyShop = "key-of-the-shop-0001"

// casePending replaces a route by one of another name at the same address while jobs wait, and asks how many wait.
func casePending(w *world, trouble bool) error {
	if _, err := w.addMachine("m1", "books", 8000); err != nil {
		return err
	}
	config := func(version int, name string) *configuration {
		c := newConfiguration(version)
		c.service("books", false)
		c.route(name, "/orders/", "books", nil)
		c.tenant("shop", keyShop, 0)
		return c
	}
	w.publish(config(3, "r-before"))
	if err := w.startEntries(3); err != nil {
		return err
	}
	lead, err := w.awaitLeader(nil)
	if err != nil {
		return err
	}
	front := w.other(lead)
	// The first job takes the whole worker for the rest of the case, so that the others wait.
	job := map[string]any{"spec": "ms=60000,cpu=8000", "steps": []map[string]any{
		{"count": 1, "cpu": 8000, "mem_mb": 100, "estimate_ms": 60000},
	}}
	const jobs = 7
	for i := range jobs {
		if err := w.submit(front, fmt.Sprintf("/orders/00000000000020%02x", i), keyShop, job); err != nil {
			return err
		}
		time.Sleep(300 * time.Millisecond)
	}
	time.Sleep(6 * time.Second)
	if trouble {
		w.publish(config(5, "r-after"))
		time.Sleep(6 * time.Second)
	}
	waiting := 0
	for i := range jobs {
		if _, state := w.state(front, fmt.Sprintf("/orders/00000000000020%02x", i), keyShop, 5*time.Second); state == "pending" {
			waiting++
		}
	}
	for range 3 {
		status, text := w.call(front, http.MethodGet, "/orders/", keyShop, nil)
		var answer struct {
			Pending int `json:"pending_jobs"`
		}
		if status != http.StatusOK || json.Unmarshal([]byte(text), &answer) != nil {
			return fmt.Errorf("the number of waiting jobs is answered with %d %q", status, text)
		}
		if 2*answer.Pending < waiting {
			w.violate("MIXED: pending_jobs is %d while %d jobs at the same address are pending", answer.Pending, waiting)
			return nil
		}
		time.Sleep(time.Second)
	}
	if waiting != jobs-1 {
		return fmt.Errorf("%d jobs are pending, expected %d", waiting, jobs-1)
	}
	return nil
}
