package devmode

import (
	"context"
	"net/http"
	"time"

	"pollenlead/standin"
)

// fault is one failure of the demo: it begins, lasts and ends.
type fault struct {
	name  string
	lasts time.Duration
	begin func()
	end   func()
}

// faultGap is the calm between two faults.
const faultGap = time.Second

// recoveryTimeout bounds the wait for recovery after a fault.
const recoveryTimeout = 30 * time.Second

// runFaults lets one part after the other fail until the load ends, and measures the recovery after each.
func (s *system) runFaults(ctx context.Context) []Recovery {
	var recoveries []Recovery
	client := newCallerClient()
	for n := 0; ; n++ {
		faults := s.faults()
		f := faults[n%len(faults)]
		if !sleepUntil(ctx, time.Now().Add(faultGap)) {
			return recoveries
		}
		f.begin()
		sleepUntil(ctx, time.Now().Add(f.lasts))
		f.end()
		ended := time.Now()
		if !s.awaitRecovery(ctx, client) {
			return recoveries
		}
		recoveries = append(recoveries, Recovery{Fault: f.name, Seconds: time.Since(ended).Seconds()})
	}
}

// faults lists the failures in the order in which they happen.
func (s *system) faults() []fault {
	return []fault{
		{"log answers lost", time.Second, func() { s.standIns.log.SetFaults(standin.LogFaults{LoseAnswers: 20}) }, s.healLog},
		{"log outage", 6 * time.Second, func() { s.standIns.log.SetFaults(standin.LogFaults{Outage: true}) }, s.healLog},
		{"entry instance killed", 0, func() { s.cluster.kill("entry-1") }, s.restart("entry-1", zones[0])},
		{"log slow and records doubled", 4 * time.Second, func() { s.standIns.log.SetFaults(standin.LogFaults{DelayMS: 300, Duplicate: 20}) }, s.healLog},
		{"availability zone lost", 5 * time.Second, func() { s.setZone(zones[1], standin.WorkerFaults{Pause: true}) }, func() { s.setZone(zones[1], standin.WorkerFaults{}) }},
		{"entry instance restarted", 0, func() { _ = s.cluster.stop("entry-2") }, s.restart("entry-2", zones[1])},
		{"instances fail all work", 4 * time.Second, s.failSome(true), s.failSome(false)},
		{"list down", 4 * time.Second, func() { s.standIns.list.SetFaults(standin.ListFaults{Outage: true}) }, func() { s.standIns.list.SetFaults(standin.ListFaults{}) }},
	}
}

func (s *system) healLog() { s.standIns.log.SetFaults(standin.LogFaults{}) }

func (s *system) restart(name, zone string) func() {
	return func() { _ = s.cluster.start(name, zone) }
}

func (s *system) setZone(zone string, f standin.WorkerFaults) {
	for id, worker := range s.standIns.workers {
		if s.standIns.zoneOf[id] == zone {
			worker.SetFaults(f)
		}
	}
}

// failSome lets the first two instances of every pool fail all that they start, or mends them.
func (s *system) failSome(on bool) func() {
	return func() {
		for _, service := range demoServices {
			for _, suffix := range []string{"-00", "-01"} {
				s.standIns.workers["w-"+service+suffix].SetFaults(standin.WorkerFaults{FailAll: on})
			}
		}
	}
}

// awaitRecovery waits until every entry instance answers a request.
func (s *system) awaitRecovery(ctx context.Context, client *http.Client) bool {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	for _, p := range s.cluster.list() {
		for !s.answers(ctx, client, p.instance.CallersURL()) {
			if !sleepUntil(ctx, time.Now().Add(pollInterval)) {
				return false
			}
		}
	}
	return true
}

func (s *system) answers(ctx context.Context, client *http.Client, entry string) bool {
	req, err := newCall(ctx, callRequest{
		id: "probe", entryURL: entry, service: s.services[0], team: s.teams[0].name,
		key: s.keys.teams[s.teams[0].name], workMS: 1,
	}, nil)
	if err != nil {
		return false
	}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
