package devmode

import (
	"context"
	"net/http"
	"time"

	"pollenlead/standin"
)

// fault is a failure that the demo injects for a duration.
type fault struct {
	name     string
	duration time.Duration
	begin    func()
	end      func()
}

// faultInterval is the time between the recovery from one fault and the begin of the next.
const faultInterval = time.Second

// recoveryTimeout is the timeout of the wait for the recovery from a fault.
const recoveryTimeout = 30 * time.Second

// runFaults injects one fault after the other until the load ends, and measures the recovery from each.
func (s *system) runFaults(ctx context.Context) []Recovery {
	var recoveries []Recovery
	client := newCallerClient()
	for n := 0; ; n++ {
		faults := s.faults()
		f := faults[n%len(faults)]
		if !sleepUntil(ctx, time.Now().Add(faultInterval)) {
			return recoveries
		}
		f.begin()
		sleepUntil(ctx, time.Now().Add(f.duration))
		f.end()
		ended := time.Now()
		if !s.awaitRecovery(ctx, client) {
			return recoveries
		}
		recoveries = append(recoveries, Recovery{Fault: f.name, Seconds: time.Since(ended).Seconds()})
	}
}

// faults returns the faults in the order of their injection.
func (s *system) faults() []fault {
	return []fault{
		{
			"log answers lost", time.Second,
			func() { s.standIns.log.SetFaults(standin.LogFaults{LoseAnswers: 20}) }, s.clearLogFaults,
		},
		{
			"log outage", 6 * time.Second,
			func() { s.standIns.log.SetFaults(standin.LogFaults{Outage: true}) }, s.clearLogFaults,
		},
		{"entry instance killed", 0, func() { s.cluster.kill("entry-1") }, s.restart("entry-1", zones[0])},
		{
			"log slow and records doubled", 4 * time.Second,
			func() { s.standIns.log.SetFaults(standin.LogFaults{DelayMS: 300, Duplicate: 20}) }, s.clearLogFaults,
		},
		{
			"availability zone lost", 5 * time.Second,
			func() { s.setZoneFaults(zones[1], standin.WorkerFaults{Pause: true}) },
			func() { s.setZoneFaults(zones[1], standin.WorkerFaults{}) },
		},
		{"entry instance restarted", 0, func() { _ = s.cluster.stop("entry-2") }, s.restart("entry-2", zones[1])},
		{"instances fail all work", 4 * time.Second, s.setFailAll(true), s.setFailAll(false)},
		{
			"list down", 4 * time.Second,
			func() { s.standIns.list.SetFaults(standin.ListFaults{Outage: true}) },
			func() { s.standIns.list.SetFaults(standin.ListFaults{}) },
		},
	}
}

func (s *system) clearLogFaults() { s.standIns.log.SetFaults(standin.LogFaults{}) }

func (s *system) restart(name, zone string) func() {
	return func() { _ = s.cluster.start(name, zone) }
}

func (s *system) setZoneFaults(zone string, f standin.WorkerFaults) {
	for id, worker := range s.standIns.workers {
		if s.standIns.zoneOf[id] == zone {
			worker.SetFaults(f)
		}
	}
}

// setFailAll returns a function that makes the first two instances of every pool fail all work, or that ends this
// fault.
func (s *system) setFailAll(on bool) func() {
	return func() {
		for _, service := range demoServices {
			for _, suffix := range []string{"-00", "-01"} {
				s.standIns.workers["w-"+service+suffix].SetFaults(standin.WorkerFaults{FailAll: on})
			}
		}
	}
}

// awaitRecovery waits until every entry instance has answered a request. It returns false if ctx or recoveryTimeout
// ends first.
func (s *system) awaitRecovery(ctx context.Context, client *http.Client) bool {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	for _, p := range s.cluster.list() {
		for !s.isAnswering(ctx, client, p.instance.CallersURL()) {
			if !sleepUntil(ctx, time.Now().Add(pollInterval)) {
				return false
			}
		}
	}
	return true
}

// isAnswering reports whether the entry instance answers a short request successfully.
func (s *system) isAnswering(ctx context.Context, client *http.Client, entry string) bool {
	req, err := newHTTPRequest(ctx, callRequest{
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
