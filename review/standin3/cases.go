package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// cases holds the cases by name.
var cases = map[string]reviewCase{
	"cancel-elsewhere": cancelElsewhere,
	"gang-fails-once":  gangFailsOnce,
	"cancel-lost":      cancelLost,
}

const (
	statePending, stateRunning, stateDone = "pending", "running", "done"
	stateFailed, stateCancelled           = "failed", "cancelled"
)

// state returns the state in the response to a request for a job, or "" if there is none.
func (r response) state() string {
	for _, s := range []string{statePending, stateRunning, stateDone, stateFailed, stateCancelled} {
		if r.status == http.StatusOK && strings.Contains(r.body, `"`+s+`"`) {
			return s
		}
	}
	return ""
}

// submit hands in a job until it is accepted, as a client does that gets a 503 or no answer.
func (p *platform) submit(ctx context.Context, e *entry, path, key, body string) error {
	for ctx.Err() == nil {
		if p.call(ctx, e, http.MethodPost, path, key, body).status == http.StatusOK {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return errors.New("a job is not accepted")
}

// awaitState asks for the state of a job until it is one of those wanted, or for the time given. It returns the last one.
func (p *platform) awaitState(
	ctx context.Context, e *entry, path, key string, limit time.Duration, wanted ...string,
) (last string) {
	for until := time.Now().Add(limit); time.Now().Before(until) && ctx.Err() == nil; {
		if s := p.call(ctx, e, http.MethodGet, path, key, "").state(); s != "" {
			last = s
			for _, w := range wanted {
				if s == w {
					return s
				}
			}
		}
		time.Sleep(300 * time.Millisecond)
	}
	return last
}

// prepare starts workers and entry instances with a configuration in force.
func (p *platform) prepare(ctx context.Context, workers int, tenants []tenant, queues ...queue) error {
	const service = "lovo22d"
	if err := p.addMachines(service, workers); err != nil {
		return err
	}
	for i := range queues {
		queues[i].service = service
	}
	p.configure([]string{service}, tenants, queues...)
	if err := p.startEntries(ctx, 3); err != nil {
		return err
	}
	time.Sleep(3 * time.Second) // a leader is elected, and all have been in touch for contact_ms
	return nil
}

// cancelElsewhere has one tenant use the same ID in two of its queues. The job of the second queue is refused and given
// up by its client. Nobody cancels the job of the first queue.
func cancelElsewhere(ctx context.Context, p *platform, trouble bool) (broken []string, err error) {
	const id, key = "00000000000a0042", "key-of-the-shop"
	orders, audits := queue{name: "orders", attempts: 2}, queue{name: "audits", attempts: 2}
	if err := p.prepare(ctx, 4, []tenant{{"shop", key}}, orders, audits); err != nil {
		return nil, err
	}
	const body = `{"spec":"{\"ms\":3000,\"cpu\":2000}","steps":[{"count":2,"cpu":2000,"mem_mb":256,"estimate_ms":3000},` +
		`{"count":2,"cpu":2000,"mem_mb":256,"estimate_ms":3000,"depends_on":[0]}]}`
	first, second := p.entries[0], p.entries[1]
	if err := p.submit(ctx, first, orders.path(id), key, body); err != nil {
		return nil, err
	}
	if s := p.awaitState(ctx, first, orders.path(id), key, 5*time.Second, stateRunning); s != stateRunning {
		return nil, fmt.Errorf("the job is %q instead of running", s)
	}
	if trouble {
		p.call(ctx, second, http.MethodPost, audits.path(id), key, body)
		p.call(ctx, second, http.MethodGet, audits.path(id), key, "")
		p.call(ctx, second, http.MethodDelete, audits.path(id), key, "")
		p.call(ctx, second, http.MethodGet, audits.path(id), key, "")
	}
	switch s := p.awaitState(ctx, first, orders.path(id), key, 20*time.Second, stateDone, stateFailed, stateCancelled); s {
	case stateDone:
	case stateCancelled, stateFailed:
		broken = append(broken, fmt.Sprintf("LOST: job %s of queue %s, which nobody has cancelled, is shown as %s", id,
			orders.name, s))
	default:
		broken = append(broken, fmt.Sprintf("LOST: job %s of queue %s is %q after 20 s", id, orders.name, s))
	}
	return broken, nil
}

// gangFailsOnce has one worker fail all that it starts while a gang of four is handed in. The gang may fail twice.
func gangFailsOnce(ctx context.Context, p *platform, trouble bool) (broken []string, err error) {
	const id, key, attempts = "00000000000b0001", "key-of-the-shop", 2
	orders := queue{name: "orders", attempts: attempts}
	if err := p.prepare(ctx, 9, []tenant{{"shop", key}}, orders); err != nil {
		return nil, err
	}
	// A job that is at work already makes its worker the fullest one, which gets the next job.
	const other = "00000000000b0000"
	const otherBody = `{"spec":"{\"ms\":15000,\"cpu\":2000}","steps":[{"count":1,"cpu":2000,"mem_mb":256,"estimate_ms":15000}]}`
	at := p.entries[0]
	if err := p.submit(ctx, at, orders.path(other), key, otherBody); err != nil {
		return nil, err
	}
	if s := p.awaitState(ctx, at, orders.path(other), key, 5*time.Second, stateRunning); s != stateRunning {
		return nil, fmt.Errorf("the first job is %q instead of running", s)
	}
	if trouble {
		for _, w := range p.workers(orders2service) {
			if w.id == p.history.of(other)[0].worker {
				w.setFaulty(true)
				time.AfterFunc(6*time.Second, func() { w.setFaulty(false) })
			}
		}
	}
	const body = `{"spec":"{\"ms\":1500,\"cpu\":2000,\"gang\":4}","steps":[{"count":4,"cpu":2000,"mem_mb":256,` +
		`"estimate_ms":1500,"gang":true}]}`
	if err := p.submit(ctx, at, orders.path(id), key, body); err != nil {
		return nil, err
	}
	s := p.awaitState(ctx, at, orders.path(id), key, 20*time.Second, stateDone, stateFailed, stateCancelled)
	failedRuns, byTask := map[int]bool{}, map[string]int{}
	most := 0
	for _, r := range p.history.of(id) {
		if r.how == "failed" {
			failedRuns[r.run] = true
			byTask[r.task]++
			most = max(most, byTask[r.task])
		}
	}
	p.record.note("the job is shown as %q; runs of the gang with a failed end: %d; most failed ends of one work item: %d",
		s, len(failedRuns), most)
	switch {
	case s == stateDone:
	case s == stateFailed && len(failedRuns) < attempts:
		broken = append(broken, fmt.Sprintf(
			"LOST: job %s is shown as failed after %d failed run of its gang, attempts is %d", id, len(failedRuns), attempts))
	case s == stateFailed:
	default:
		broken = append(broken, fmt.Sprintf("LOST: job %s is %q after 20 s", id, s))
	}
	return broken, nil
}

// orders2service is the service of all queues of these cases.
const orders2service = "lovo22d"

// cancelLost has two tenants use the same ID. The leader is killed; before another one leads, the owner cancels its job,
// and the other tenant gives up the job that was refused to it.
func cancelLost(ctx context.Context, p *platform, trouble bool) (broken []string, err error) {
	const id, shop, mill = "00000000000c0042", "key-of-the-shop", "key-of-the-mill"
	orders := queue{name: "orders", attempts: 2}
	if err := p.prepare(ctx, 4, []tenant{{"shop", shop}, {"mill", mill}}, orders); err != nil {
		return nil, err
	}
	const body = `{"spec":"{\"ms\":2000,\"cpu\":2000}","steps":[{"count":2,"cpu":2000,"estimate_ms":2000},` +
		`{"count":2,"cpu":2000,"estimate_ms":2000,"depends_on":[0]},{"count":2,"cpu":2000,"estimate_ms":2000,"depends_on":[1]},` +
		`{"count":2,"cpu":2000,"estimate_ms":2000,"depends_on":[2]},{"count":2,"cpu":2000,"estimate_ms":2000,"depends_on":[3]},` +
		`{"count":2,"cpu":2000,"estimate_ms":2000,"depends_on":[4]},{"count":2,"cpu":2000,"estimate_ms":2000,"depends_on":[5]},` +
		`{"count":2,"cpu":2000,"estimate_ms":2000,"depends_on":[6]}]}`
	lead := p.leader()
	if lead == nil {
		return nil, errors.New("no leader is known")
	}
	var at *entry
	for _, e := range p.entries {
		if e != lead {
			at = e
		}
	}
	if err := p.submit(ctx, at, orders.path(id), shop, body); err != nil {
		return nil, err
	}
	if s := p.awaitState(ctx, at, orders.path(id), shop, 5*time.Second, stateRunning); s != stateRunning {
		return nil, fmt.Errorf("the job is %q instead of running", s)
	}
	p.call(ctx, at, http.MethodPost, orders.path(id), mill, body)
	if trouble {
		p.kill(lead)
		time.AfterFunc(3*time.Second, func() { _ = p.start(lead) })
	}
	if r := p.call(ctx, at, http.MethodDelete, orders.path(id), shop, ""); r.status != http.StatusOK {
		return nil, fmt.Errorf("the cancelling was answered %d", r.status)
	}
	acked := time.Now()
	p.call(ctx, at, http.MethodDelete, orders.path(id), mill, "")
	p.awaitState(ctx, at, orders.path(id), shop, 18*time.Second, stateDone)
	for _, r := range p.history.of(id) {
		if late := r.began.Sub(acked); late > 8*time.Second {
			broken = append(broken, fmt.Sprintf("UNASKED: %s run %d begins %.1f s after the cancelling of its job was acknowledged",
				r.task, r.run, late.Seconds()))
		}
	}
	return broken, nil
}
