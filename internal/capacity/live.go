package capacity

import (
	"context"
	"fmt"
	"sync"
	"time"

	"pollenlead/internal/membership"
	"pollenlead/internal/platform"
	"pollenlead/internal/record"
	"pollenlead/internal/replica"
)

// liveWarmUp is the time that members get to open their sessions and connections before the measurement starts.
const liveWarmUp = 4 * time.Second

// LiveCost is the measured cost of each of several real members of package membership over loopback. It verifies the
// heartbeat sums, which are calculated from the sizes of single messages.
type LiveCost struct {
	Members int     `json:"members"`
	Cells   int     `json:"cells"`
	Seconds float64 `json:"seconds"`
	// BytesPerSecond counts the bytes that one member sends and receives.
	BytesPerSecond float64 `json:"bytes_per_second"`
	CPUPercent     float64 `json:"cpu_percent_of_a_core"`
	Heartbeats     float64 `json:"heartbeats_sent_per_second"`
	LogBytes       float64 `json:"log_bytes_per_second"`
}

type emptyFleetList struct{}

// List implements platform.FleetList. With an empty list, the members are determined by the sessions alone.
func (emptyFleetList) List(context.Context) (platform.Listing, error) {
	return platform.Listing{Version: 1}, nil
}

// measureLive measures running members. Their load is constant, so they send no load reports.
func measureLive(ctx context.Context, members, pools, teams int, duration time.Duration) (LiveCost, error) {
	load := runningLoad(pools, teams)
	cost := LiveCost{Members: members, Cells: pools * teams}
	ctx, stop := context.WithCancel(ctx)
	var running sync.WaitGroup
	defer running.Wait()
	defer stop()
	log := newMemoryLog(0)
	var all []*membership.Member
	var listeners []*countingListener
	for i := range members {
		listener, err := listenLoopback()
		if err != nil {
			return cost, err
		}
		defer listener.Close()
		m, err := startMember(ctx, &running, log, i, listener, load)
		if err != nil {
			return cost, err
		}
		all, listeners = append(all, m), append(listeners, listener)
	}
	time.Sleep(liveWarmUp)
	count := func() (bytes, beats float64) {
		for i, m := range all {
			bytes += float64(listeners[i].bytes.Load())
			beats += float64(m.Stats().HeartbeatsSent)
		}
		return bytes, beats
	}
	begin, logBytes := time.Now(), log.bytes()
	bytes, beats := count()
	cpu, err := processCPU()
	if err != nil {
		return cost, err
	}
	time.Sleep(duration)
	cost.Seconds = time.Since(begin).Seconds()
	bytesAfter, beatsAfter := count()
	cpuAfter, err := processCPU()
	memberSeconds := cost.Seconds * float64(members)
	// A listener counts each byte once, although one member sends it and another one receives it.
	cost.BytesPerSecond = 2 * (bytesAfter - bytes) / memberSeconds
	cost.Heartbeats = (beatsAfter - beats) / memberSeconds
	cost.CPUPercent = 100 * (cpuAfter - cpu).Seconds() / memberSeconds
	cost.LogBytes = float64(log.bytes()-logBytes) / cost.Seconds
	return cost, err
}

// startMember starts member i with its follower and its committer. They run until ctx ends.
func startMember(
	ctx context.Context, running *sync.WaitGroup, log platform.Log, i int,
	listener *countingListener, load *membership.Load,
) (*membership.Member, error) {
	name := fmt.Sprintf("entry-%02d", i)
	follower := replica.NewFollower(log, replica.FollowerOptions{})
	identity := replica.Identity{Writer: name, Incarnation: fmt.Sprintf("01JZZZZZZZZZZZZZZZZZZZZZ%02d", i)}
	committer := replica.NewCommitter(log, follower, identity, replica.CommitterOptions{})
	m, err := membership.New(membership.Options{
		Name: name, Session: record.SessionOpen{PeerAddress: listener.Addr().String()}, Log: log, List: emptyFleetList{},
		Follower: follower, Committer: committer, Listener: listener, Load: func() membership.Load { return *load },
	})
	if err != nil {
		return nil, err
	}
	// Each of these runs until the context ends, so its error is only that of the context.
	running.Go(func() { _ = follower.Run(ctx) })
	running.Go(func() { _ = committer.Run(ctx) })
	running.Go(func() { _ = m.Run(ctx) })
	return m, nil
}
