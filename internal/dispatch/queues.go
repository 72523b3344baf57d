package dispatch

import "pollenlead/internal/fleet"

// queue returns the queue of a job, even if it was removed from the configuration. Callers hold mu.
func (d *Dispatcher) queue(name string) *fleet.Queue {
	if q := d.knownQueue(name); q != nil {
		return q
	}
	return &fleet.Queue{Name: name, Attempts: 1, Stretch: 1}
}

// knownQueue returns a queue of the configuration, or one that this leader has read before its removal; nil if there is
// none. Callers hold mu.
func (d *Dispatcher) knownQueue(name string) *fleet.Queue {
	if c := d.Follower.Config(); c != nil {
		if q := c.Queue(name); q != nil {
			d.queues[name] = q
			return q
		}
	}
	return d.queues[name]
}

// attempts returns the number of failed runs of a task after which the job fails. It is the one with which the job was
// accepted. Callers hold mu.
func (d *Dispatcher) attempts(j *job) int {
	if j.Attempts > 0 {
		return j.Attempts
	}
	return max(d.queue(j.Queue).Attempts, 1)
}

// needsTicket reports whether a start of the job needs a ticket of the advice service: its queue demanded one when the
// job was accepted, or demands one now.
func needsTicket(j *job, q *fleet.Queue) bool { return j.NeedsTicket || q.Advice != nil }

// followQueues moves the open jobs of each queue to the pool to which the newest configuration leads the queue. Runs
// that exist stay where they are; what is still to be started starts in the new pool. A job whose queue was removed
// stays in its pool. Callers hold mu.
func (d *Dispatcher) followQueues() {
	config := d.Follower.Config()
	if config == nil || config == d.routing {
		return
	}
	d.routing = config
	moved := map[queueMove]int{}
	for _, jobs := range d.active {
		for _, j := range jobs {
			q := config.Queue(j.Queue)
			if q == nil || q.Pool == "" || q.Pool == j.Pool {
				continue
			}
			moved[queueMove{j.Queue, j.Pool, q.Pool}]++
			d.moveJob(j, q.Pool)
		}
	}
	for m, jobs := range moved {
		d.Log.Info().Str("event", "queue_moved").Str("queue", m.queue).Str("from", m.from).Str("to", m.to).
			Int64("version", config.Version).Int("jobs", jobs).Msg("open jobs follow their queue to another pool")
	}
}

// queueMove is a change of the pool to which a queue leads.
type queueMove struct{ queue, from, to string }

// moveJob moves an open job to another pool. Callers hold mu.
func (d *Dispatcher) moveJob(j *job, pool string) {
	delete(d.active[j.Pool], j.ID)
	delete(d.waiting[j.Pool], j.ID)
	j.Pool = pool
	d.addActive(j)
	d.markWaiting(j)
}
