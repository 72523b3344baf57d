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

// ready reports whether callers should be sent here.
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

// load is what heartbeats tell other entry instances of this one.
func (i *Instance) load() membership.Load {
	return loadOf(i.queue.Usage())
}

func loadOf(usage []admission.Usage) membership.Load {
	load := membership.Load{Running: map[string]map[string]int{}, Queued: map[string]map[string]int{}}
	for _, u := range usage {
		addCount(load.Running, u.Pool, u.Team, u.Running)
		addCount(load.Queued, u.Pool, u.Team, u.Queued)
	}
	return load
}

// addCount leaves zeros out, because heartbeats carry the counts.
func addCount(counts map[string]map[string]int, pool, team string, n int) {
	if n == 0 {
		return
	}
	if counts[pool] == nil {
		counts[pool] = map[string]int{}
	}
	counts[pool][team] = n
}

// status gathers the answer to an operator's status request.
func (i *Instance) status() operator.StatusResponse {
	lease := i.member.Lease()
	takes, reason := i.member.TakesKeyedWork()
	r := operator.StatusResponse{
		Name: i.settings.Name, Incarnation: i.committer.Identity().Incarnation, AvailabilityZone: i.settings.AvailabilityZone,
		SessionValid: lease.Valid(), TakesKeyedWork: takes, ContactReason: reason,
		LogContactMS: time.Since(i.follower.LastContact()).Milliseconds(),
	}
	seen := i.member.PeerStates()
	i.follower.View(func(s *statemachine.State) { fillFromState(&r, s, seen) })
	for _, member := range seen {
		addLoad(&r, member.Load)
	}
	return r
}

// fillFromState adds what the folded state says. It runs under the follower's read lock.
func fillFromState(r *operator.StatusResponse, s *statemachine.State, seen map[string]membership.PeerState) {
	r.Applied = s.Next()
	r.ConfigVersion = s.Config().Version
	if hash, err := s.Hash(); err == nil {
		r.StateHash = hex.EncodeToString(hash[:])
	}
	r.Jobs = s.JobCounts()
	sessions := s.Sessions()
	for _, session := range sessions {
		m := operator.Member{Name: session.Name, Holder: session.Holder, AvailabilityZone: session.AvailabilityZone}
		if heard, ok := seen[session.Holder]; ok {
			m.Heard, m.AgeMS = true, heard.Age.Milliseconds()
			m.Applied, m.ConfigVersion = heard.Applied, heard.ConfigVersion
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
