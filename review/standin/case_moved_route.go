package main

import (
	"errors"
	"time"
)

// movedRoute plays jobs that wait because their service is full of another queue's work. The operator then points
// their queue to another service, which is idle.
func movedRoute(s *stage, trouble bool, v *verdict) error {
	if err := s.addMachines("fixbench", "a", 1, 32000, 65536); err != nil {
		return err
	}
	if err := s.addMachines("chainbook", "b", 1, 32000, 65536); err != nil {
		return err
	}
	services := []string{"fixbench", "chainbook"}
	sweeps := route{name: "r-fwrz56a", prefix: "/bobo563/", service: "fixbench"}
	lookups := route{name: "r-tyiikdr", prefix: "/puxa400/", service: "fixbench"}
	const sweepKey, lookupKey = "sjnbanfqasnmgkcuyj8p", "jbvk9m68k7b2ex5wa5xw"
	s.publish([]route{sweeps, lookups}, services, sweepKey, lookupKey)
	if err := s.addEntries(3); err != nil {
		return err
	}
	lasting := work{CPU: 31000, Mem: 8000}
	if _, ok := s.submit(sweeps, sweepKey, 1, step(1, lasting, map[string]any{"long_running": true})); !ok {
		return errors.New("the job that lasts is not accepted")
	}
	if !s.awaitActive(jobID(1), 1, 15*time.Second) {
		return errors.New("the job that lasts does not begin")
	}
	time.Sleep(2 * time.Second)
	short := work{Millis: 640, CPU: 1800, Mem: 2500}
	var accepted []int
	for n := 2; n < 7; n++ {
		if _, ok := s.submit(lookups, lookupKey, n, step(2, short, nil)); ok {
			accepted = append(accepted, n)
		}
	}
	if len(accepted) == 0 {
		return errors.New("no job is accepted")
	}
	time.Sleep(3 * time.Second)
	if trouble {
		s.note("TROUBLE: the queue leads to another service")
		lookups.service = "chainbook"
		s.publish([]route{sweeps, lookups}, services, sweepKey, lookupKey)
	}
	time.Sleep(5 * time.Second)
	if _, ok := s.submit(lookups, lookupKey, 50, step(2, short, nil)); !ok {
		return errors.New("the last job is not accepted")
	}
	if trouble && !s.awaitState(lookups, lookupKey, 50, "done", 10*time.Second) {
		return errors.New("the job after the change is not done")
	}
	s.note("end of the traffic")
	time.Sleep(finishTime)
	used, capacity := s.load(lookups.service)
	room := capacity-used >= 2*short.CPU && 2*used < capacity
	s.note("service %s uses %d of %d", lookups.service, used, capacity)
	for _, n := range accepted {
		got := s.state(lookups, lookupKey, n)
		if room && len(s.observedRuns(jobID(n))) == 0 {
			v.add("LOST: job %s was accepted before the change, and none of its items has started since; the service to "+
				"which its queue leads is idle; state %d %s", jobID(n), got.status, got.body)
		}
	}
	return nil
}
