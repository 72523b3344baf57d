package main

import (
	"errors"
	"net/http"
	"time"
)

// renamedRoute plays a job whose queue is replaced by one of another name with the same host, prefix and service.
func renamedRoute(s *stage, trouble bool, v *verdict) error {
	if err := s.addMachines("shopdesk", "a", 3, 32000, 65536); err != nil {
		return err
	}
	q := route{name: "r-4jcda9r", prefix: "/puxa400/", service: "shopdesk"}
	const key = "sjnbanfqasnmgkcuyj8p"
	s.publish([]route{q}, []string{"shopdesk"}, key)
	if err := s.addEntries(3); err != nil {
		return err
	}
	if _, ok := s.submit(q, key, 1, step(2, work{Millis: 1500, CPU: 1000, Mem: 1000}, nil)); !ok {
		return errors.New("the job is not accepted")
	}
	if !s.awaitState(q, key, 1, "done", 20*time.Second) {
		return errors.New("the job is not done")
	}
	if trouble {
		s.note("TROUBLE: the route is removed, and a route of another name is added in its place")
		q.name = "r-w63is47"
		s.publish([]route{q}, []string{"shopdesk"}, key)
	}
	time.Sleep(8 * time.Second)
	for n := range s.entries {
		got := s.call(s.entries[n], "GET", q.prefix+jobID(1), key, nil)
		if got.status == http.StatusGone {
			v.add("LOST: a GET for the accepted job is answered 410 by %s", s.entries[n].name)
		}
	}
	return nil
}
