package main

import (
	"errors"
	"time"
)

// largeJob plays a job with many small items in one service, for which the service has room, and then small jobs of
// another tenant in another service, whose workers are idle.
func largeJob(s *stage, trouble bool, v *verdict) error {
	const items = 6000
	large := work{Millis: 20000, CPU: 40, Mem: 80}
	small := work{Millis: 600, CPU: 1800, Mem: 2500}
	for service, machines := range map[string]int{"orderline": 10, "shopdesk": 3} {
		if err := s.addMachines(service, "a", machines, 32000, 65536); err != nil {
			return err
		}
	}
	orders := route{name: "r-bkf83fg", prefix: "/defi252/", service: "orderline"}
	prices := route{name: "r-4jcda9r", prefix: "/puxa400/", service: "shopdesk"}
	const orderKey, priceKey = "sjnbanfqasnmgkcuyj8p", "jbvk9m68k7b2ex5wa5xw"
	s.publish([]route{orders, prices}, []string{"orderline", "shopdesk"}, orderKey, priceKey)
	if err := s.addEntries(3); err != nil {
		return err
	}
	if _, ok := s.submit(prices, priceKey, 1, step(2, small, nil)); !ok {
		return errors.New("the first job is not accepted")
	}
	if !s.awaitState(prices, priceKey, 1, "done", 10*time.Second) {
		return errors.New("the first job is not done")
	}
	if trouble {
		s.note("TROUBLE: a job of %d items", items)
		if _, ok := s.submit(orders, orderKey, 2, step(items, large, nil)); !ok {
			s.note("the large job is not accepted")
		}
		time.Sleep(3 * time.Second)
	}
	var accepted []int
	for n := 100; n < 140; n++ {
		if _, ok := s.submit(prices, priceKey, n, step(2, small, nil)); ok {
			accepted = append(accepted, n)
		}
		time.Sleep(500 * time.Millisecond)
	}
	if len(accepted) == 0 {
		return errors.New("no job is accepted")
	}
	s.note("end of the traffic")
	time.Sleep(finishTime)
	for _, n := range accepted {
		got := s.state(prices, priceKey, n)
		if runs := s.observedRuns(jobID(n)); len(runs) == 0 {
			v.add("LOST: job %s was accepted and none of its items has started, with idle workers in its service; state %d %s",
				jobID(n), got.status, got.body)
		}
	}
	if n := s.room.store.refusedAppends(); n > 0 {
		s.note("appends that the store refused because a record or a call was too large: %d", n)
	}
	return nil
}
