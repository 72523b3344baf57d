package allotment

// Stats is the state of the ledger at one moment.
type Stats struct {
	// WorkerLeases is the number of workers for which a lease is kept, LeasedWorkersInUse those with work under it.
	WorkerLeases, LeasedWorkersInUse int
	// TeamUnits and Slots are granted to this holder.
	TeamUnits, Slots int
}

// Stats returns the state now.
func (l *Ledger) Stats() Stats {
	var s Stats
	l.mu.Lock()
	for _, a := range l.teams {
		s.TeamUnits += a.grant.Held
	}
	for _, a := range l.instances {
		s.Slots += a.grant.Held
	}
	l.mu.Unlock()
	l.leases.mu.Lock()
	defer l.leases.mu.Unlock()
	for _, w := range l.leases.leases {
		s.WorkerLeases++
		if w.permits > 0 {
			s.LeasedWorkersInUse++
		}
	}
	return s
}
