package dispatch

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
