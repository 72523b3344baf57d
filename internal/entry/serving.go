package entry

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"pollenlead/internal/admission"
	"pollenlead/internal/allotment"
	"pollenlead/internal/config"
	"pollenlead/internal/gateway"
	"pollenlead/internal/ingress"
	"pollenlead/internal/job"
	"pollenlead/internal/membership"
	"pollenlead/internal/platform"
	"pollenlead/internal/record"
	"pollenlead/internal/replica"
	"pollenlead/internal/routing"
	"pollenlead/internal/statemachine"
)

// buildServing builds the components that a request passes from the callers' listener to the worker.
func (i *Instance) buildServing() {
	i.health = routing.NewHealth(time.Now)
	i.queue = admission.New(admission.Config{
		Document: i.document, Ledger: ledgerAdapter{i.ledger}, Fleet: &fleetAdapter{member: i.member}, Health: i.health,
	})
	i.metrics = gateway.NewMetrics()
	i.gateway = gateway.New(gateway.Config{
		Document:       i.document,
		Authenticate:   authenticate,
		TakesKeyedWork: i.member.TakesKeyedWork,
		Admission:      i.queue,
		Budgets:        routing.NewBudgets(time.Now),
		Worker:         i.worker,
		Log:            i.committer,
		NotSent:        replica.ErrNotSent,
		Job:            i.findJob,
		Metrics:        i.metrics,
	})
	i.jobs = job.NewRunner(job.Config{
		Holder: i.member.Lease().Holder, Source: jobSource{i.follower}, Log: i.committer, Admission: i.queue,
		Document: i.document, Worker: i.worker, AcquireStarted: i.acquireStarted, Now: time.Now, NotSent: replica.ErrNotSent,
	})
	i.callers.server.Handler = i.closeWhileDraining(i.gateway)
	limits := i.settings.CallerLimits
	guard := ingress.New(ingress.Limits{
		Connections: limits.Connections, Memory: int64(limits.MemoryMegabytes) << 20,
		BodyTime: i.settings.Timeouts.CallerBody(),
	}, i.logger)
	guard.Protect(i.callers.server)
	i.callers.socket = guard.Listener(i.callers.socket)
}

// closeWhileDraining sets "Connection: close" on responses during a shutdown, so that callers send no further request
// on a connection that is about to be closed.
func (i *Instance) closeWhileDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if i.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func authenticate(doc *config.Document, bearer string) (gateway.Identity, bool) {
	identity, ok := doc.Authenticate(bearer)
	if !ok || identity.Team == "" {
		return gateway.Identity{}, false
	}
	return gateway.Identity{Team: identity.Team, KeyID: identity.KeyID}, true
}

// worker returns the client of a worker instance. The held slots limit its number of connections.
func (i *Instance) worker(instance, address string) platform.Worker {
	return i.workers.Worker(instance, address, max(i.ledger.MaxConnections(instance), 1))
}

func (i *Instance) findJob(id string) (statemachine.Job, bool) {
	var job statemachine.Job
	var ok bool
	i.follower.View(func(s *statemachine.State) { job, ok = s.Job(id) })
	return job, ok
}

func (i *Instance) acquireStarted(team, service, instance string) *admission.Ticket {
	return i.queue.Adopt(team, service, instance, i.ledger.AcquireStarted(team, instance))
}

// prober checks that an instance responds after a reboot.
type prober struct {
	instance *Instance
}

// Probe implements maintenance.Prober.
func (p prober) Probe(ctx context.Context, instance, address string) error {
	_, err := p.instance.worker(instance, address).Usage(ctx)
	return err
}

// jobSource implements job.Source on the replicated state.
type jobSource struct {
	*replica.Follower
}

// Jobs implements job.Source.
func (s jobSource) Jobs(holder string) (jobs []statemachine.Job) {
	s.View(func(state *statemachine.State) { jobs = state.JobsOf(holder) })
	return jobs
}

// Job implements job.Source.
func (s jobSource) Job(id string) (found statemachine.Job, ok bool) {
	s.View(func(state *statemachine.State) { found, ok = state.Job(id) })
	return found, ok
}

// Finished implements job.Source.
func (s jobSource) Finished() (ids []string) {
	s.View(func(state *statemachine.State) { ids = state.FinishedJobs() })
	return ids
}

// Claims implements job.Source.
func (s jobSource) Claims() (claims []record.ClaimRef) {
	s.View(func(state *statemachine.State) { claims = state.Claims() })
	return claims
}

// Holders implements job.Source.
func (s jobSource) Holders() (holders []string) {
	s.View(func(state *statemachine.State) {
		for _, session := range state.Sessions() {
			holders = append(holders, session.Holder)
		}
	})
	return holders
}

// Address implements job.Source.
func (s jobSource) Address(instance string) (address string, ok bool) {
	s.View(func(state *statemachine.State) {
		var i *statemachine.Instance
		if i, ok = state.Instance(instance); ok {
			address = i.Facts.Address
		}
	})
	return address, ok
}

// ledgerAdapter implements the ledger interface of package admission.
type ledgerAdapter struct {
	*allotment.Ledger
}

func (a ledgerAdapter) AppendCandidates(to []routing.Candidate, pool string) []routing.Candidate {
	a.EachCandidate(pool, func(c allotment.Candidate) { to = append(to, routing.Candidate(c)) })
	return to
}

func (a ledgerAdapter) Acquire(team, instance string) (admission.Permit, error) {
	permit, err := a.Ledger.Acquire(team, instance)
	switch {
	case err == nil:
		return permit, nil
	case errors.Is(err, allotment.ErrNoTeamUnit):
		return nil, admission.ErrNoTeamUnit
	case errors.Is(err, allotment.ErrNoSlot):
		return nil, admission.ErrNoSlot
	case errors.Is(err, allotment.ErrLeaseExpired):
		return nil, admission.ErrLeaseExpired
	default:
		return nil, err
	}
}

// peerUsageTTL is how long the summed usage of the peers is cached. Peers report once a second, so reading it more
// often gives little new, and each dispatch reads it for every team.
const peerUsageTTL = 200 * time.Millisecond

// fleetAdapter implements admission.Fleet on the membership of the entry instances.
type fleetAdapter struct {
	member *membership.Member

	mu      sync.Mutex
	readAt  time.Time
	running map[string]map[string]int // by pool and team
}

// PeerRunning implements admission.Fleet.
func (a *fleetAdapter) PeerRunning(team, pool string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now := time.Now(); now.Sub(a.readAt) >= peerUsageTTL {
		a.readAt = now
		a.running = sumUsage(a.member.PeerUsage())
	}
	return a.running[pool][team]
}

func sumUsage(peers map[string]membership.Usage) map[string]map[string]int {
	running := map[string]map[string]int{}
	for _, usage := range peers {
		for pool, teams := range usage.PoolTeam {
			if running[pool] == nil {
				running[pool] = map[string]int{}
			}
			for team, n := range teams {
				running[pool][team] += n
			}
		}
	}
	return running
}

// Leaving implements admission.Fleet.
func (a *fleetAdapter) Leaving(instance string) bool { return a.member.Leaving(instance) }

var _ admission.Permit = (*allotment.Permit)(nil)
