package allotment

// Stats is a snapshot of the ledger's counts.
type Stats struct {
	// WorkerLeases is the number of workers with a lease of this process, LeasedWorkersInUse the number of those with work
	// under the lease.
	WorkerLeases, LeasedWorkersInUse int
	// TeamUnits and Slots are the numbers of units and slots granted to this holder.
	TeamUnits, Slots int
}

// Stats returns the current counts.
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
