package main

import (
	"encoding/json"
	"errors"
	"time"
)

// The time for which a worker refuses all starts, and the time after which the number of pending jobs has to include a
// job: visible_ms and 2 s.
const (
	greyTime    = 6500 * time.Millisecond
	visibleTime = 5 * time.Second
)

// pendingJobs plays jobs that need the label of one worker, which refuses every start for a while. Its answers to all
// other calls are sound. Meanwhile the clients ask how many jobs of the queue have not begun.
func pendingJobs(s *stage, trouble bool, v *verdict) error {
	const jobs = 6
	if err := s.addMachines("shopdesk", "a", 9, 32000, 65536); err != nil {
		return err
	}
	if err := s.addMachines("shopdesk", "b", 1, 32000, 65536); err != nil {
		return err
	}
	q := route{name: "r-4jcda9r", prefix: "/puxa400/", service: "shopdesk"}
	const key = "sjnbanfqasnmgkcuyj8p"
	s.publish([]route{q}, []string{"shopdesk"}, key)
	if err := s.addEntries(3); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	if trouble {
		s.note("TROUBLE: the worker with label b refuses starts for %s", greyTime)
		s.setRefusing(func(w *worker) bool { return w.labels[0] == "b" })
	}
	begun := time.Now()
	var last time.Time
	for n := range jobs {
		at, ok := s.submit(q, key, n+1, step(1, work{Millis: 600, CPU: 1000, Mem: 1000}, map[string]any{"requires": "b"}))
		if !ok {
			return errors.New("a job is not accepted")
		}
		last = at
	}
	time.Sleep(time.Until(last.Add(visibleTime + 200*time.Millisecond)))
	for time.Since(begun) < greyTime-300*time.Millisecond {
		for _, e := range s.entries {
			checkPending(s, e, q, key, jobs, v)
		}
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(time.Until(begun.Add(greyTime)))
	s.note("the worker with label b accepts starts")
	s.setRefusing(nil)
	for n := range jobs {
		if !s.awaitState(q, key, n+1, "done", 20*time.Second) {
			return errors.New("a job is not done at the end")
		}
	}
	return nil
}

// checkPending asks an entry instance for the number of the queue's pending jobs, and compares it with the number of
// jobs that have not begun after the answer, which are not more than those at the time of the question.
func checkPending(s *stage, e *entry, q route, key string, jobs int, v *verdict) {
	got := s.call(e, "GET", q.prefix, key, nil)
	var answer struct {
		Pending *int `json:"pending_jobs"`
	}
	if json.Unmarshal([]byte(got.body), &answer) != nil || answer.Pending == nil {
		return
	}
	waiting := 0
	for n := range jobs {
		if len(s.observedRuns(jobID(n+1))) == 0 {
			waiting++
		}
	}
	if 2**answer.Pending < waiting {
		v.add("MIXED: %s gives %d pending jobs, and %d jobs that were accepted more than 5 s before have not begun",
			e.name, *answer.Pending, waiting)
	}
}
