package main

import (
	"errors"
	"time"
)

// interruptedGang plays a gang that saves checkpoints. The worker of one member crashes for good.
func interruptedGang(s *stage, trouble bool, v *verdict) error {
	const members = 4
	if err := s.addMachines("chainbook", "a", 8, 4000, 65536); err != nil {
		return err
	}
	q := route{name: "r-gy35iei", prefix: "/tije37/", service: "chainbook", attempts: 3}
	const key = "sjnbanfqasnmgkcuyj8p"
	s.publish([]route{q}, []string{"chainbook"}, key)
	if err := s.addEntries(3); err != nil {
		return err
	}
	x := work{Millis: 6000, CPU: 3000, Mem: 1000, Gang: members, Saves: true}
	if _, ok := s.submit(q, key, 1, step(members, x, map[string]any{"gang": true, "checkpoint": true})); !ok {
		return errors.New("the job is not accepted")
	}
	if !s.awaitActive(jobID(1), members, 15*time.Second) {
		return errors.New("the gang does not begin")
	}
	time.Sleep(2700 * time.Millisecond)
	begun := time.Now()
	if trouble {
		for _, r := range s.observedRuns(jobID(1)) {
			if r.item == jobID(1)+".0.0.0" {
				s.crash(r.worker)
			}
		}
	}
	if s.awaitState(q, key, 1, "done", 60*time.Second) {
		return nil
	}
	alone := 0
	for _, r := range s.observedRuns(jobID(1)) {
		if r.how == "alone" && r.ended.After(begun.Add(15*time.Second)) {
			alone++
		}
	}
	if alone > 0 {
		v.add("GANG: %d runs ended alone more than 15 s after the crash, and the job is still not done 60 s after it; "+
			"it has 6 s of work", alone)
		return nil
	}
	v.add("LOST: the job is not done 60 s after the crash; it has 6 s of work")
	return nil
}
