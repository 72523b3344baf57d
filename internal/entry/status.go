package entry

import (
	"encoding/hex"
	"time"

	"pollenlead/internal/admission"
	"pollenlead/internal/membership"
	"pollenlead/internal/operator"
	"pollenlead/internal/record"
	"pollenlead/internal/statemachine"
)

// ready reports whether the instance can serve callers, and if not, the reason.
func (i *Instance) ready() (ready bool, reason string) {
	if i.draining.Load() {
		return false, "shutting down"
	}
	if err := i.follower.Err(); err != nil {
		return false, err.Error()
	}
	if !i.member.Lease().Valid() {
		return false, "no valid session"
	}
	if i.configVersion() == 0 {
		return false, "no document is published"
	}
	if ok, reason := i.member.TakesKeyedWork(); !ok {
		return false, reason
	}
	return true, ""
}

func (i *Instance) configVersion() uint64 {
	var version uint64
	i.follower.View(func(s *statemachine.State) { version = s.Config().Version })
	return version
}

// load returns the load of this entry instance that heartbeats report to its peers.
func (i *Instance) load() membership.Load {
	return aggregateLoad(i.queue.Usage())
}

func aggregateLoad(usage []admission.Usage) membership.Load {
	load := membership.Load{Running: map[string]map[string]int{}, Queued: map[string]map[string]int{}}
	for _, u := range usage {
		addCount(load.Running, u.Pool, u.Team, u.Running)
		addCount(load.Queued, u.Pool, u.Team, u.Queued)
	}
	return load
}

// addCount sets the count of a pool and team. It omits zeros to keep heartbeats small.
func addCount(counts map[string]map[string]int, pool, team string, n int) {
	if n == 0 {
		return
	}
	if counts[pool] == nil {
		counts[pool] = map[string]int{}
	}
	counts[pool][team] = n
}

// status returns the response to an operator's status request.
func (i *Instance) status() operator.StatusResponse {
	lease := i.member.Lease()
	takes, reason := i.member.TakesKeyedWork()
	r := operator.StatusResponse{
		Name: i.settings.Name, Incarnation: i.committer.Identity().Incarnation, AvailabilityZone: i.settings.AvailabilityZone,
		SessionValid: lease.Valid(), TakesKeyedWork: takes, ContactReason: reason,
		LogContactMS: time.Since(i.follower.LastContact()).Milliseconds(),
	}
	peers := i.member.PeerStates()
	i.follower.View(func(s *statemachine.State) { fillFromState(&r, s, peers) })
	for _, member := range peers {
		addLoad(&r, member.Load)
	}
	return r
}

// fillFromState adds the fields that come from the replicated state. It runs under the follower's read lock.
func fillFromState(r *operator.StatusResponse, s *statemachine.State, peers map[string]membership.PeerState) {
	r.Applied = s.Next()
	r.ConfigVersion = s.Config().Version
	if hash, err := s.Hash(); err == nil {
		r.StateHash = hex.EncodeToString(hash[:])
	}
	r.Jobs = s.JobCounts()
	sessions := s.Sessions()
	for _, session := range sessions {
		m := operator.Member{Name: session.Name, Holder: session.Holder, AvailabilityZone: session.AvailabilityZone}
		if peer, ok := peers[session.Holder]; ok {
			m.Heard, m.AgeMS = true, peer.Age.Milliseconds()
			m.Applied, m.ConfigVersion = peer.Applied, peer.ConfigVersion
		}
		r.Members = append(r.Members, m)
	}
	for _, team := range s.Config().Document.Teams {
		t := operator.TeamStatus{Name: team.Name, Share: team.Share, UpperLimit: team.UpperLimit}
		for _, session := range sessions {
			t.Granted += s.TeamUnits(session.Holder, team.Name)
		}
		r.Teams = append(r.Teams, t)
	}
	fillPools(r, s)
}

func fillPools(r *operator.StatusResponse, s *statemachine.State) {
	pools := map[string]*operator.PoolStatus{}
	declared := s.Config().Document.Pools
	r.Pools = make([]operator.PoolStatus, len(declared))
	for n, pool := range declared {
		r.Pools[n].Name = pool.Name
		pools[pool.Name] = &r.Pools[n]
	}
	for _, instance := range s.Instances() {
		granted := 0
		for _, n := range instance.Held {
			granted += n
		}
		r.Instances = append(r.Instances, operator.InstanceStatus{
			ID: instance.Facts.ID, Address: instance.Facts.Address, AvailabilityZone: instance.Facts.AvailabilityZone,
			Rack: instance.Facts.Rack, Phase: string(instance.Facts.Phase), Pool: instance.Pool, MovingTo: instance.MovingTo,
			Slots: instance.Facts.Slots, Granted: granted,
		})
		pool, ok := pools[instance.Pool]
		if !ok {
			continue
		}
		pool.Instances++
		pool.Slots += instance.Facts.Slots
		pool.Granted += granted
		if instance.Facts.Phase == record.PhaseLive {
			pool.Live++
		}
	}
}

func addLoad(r *operator.StatusResponse, load membership.Load) {
	for n := range r.Pools {
		for _, count := range load.Running[r.Pools[n].Name] {
			r.Pools[n].Running += count
		}
		for _, count := range load.Queued[r.Pools[n].Name] {
			r.Pools[n].Queued += count
		}
	}
	for n := range r.Teams {
		for _, byTeam := range load.Running {
			r.Teams[n].Running += byTeam[r.Teams[n].Name]
		}
		for _, byTeam := range load.Queued {
			r.Teams[n].Queued += byTeam[r.Teams[n].Name]
		}
	}
}
