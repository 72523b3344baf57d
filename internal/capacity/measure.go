package capacity

import (
	"context"
	"fmt"
	"time"
)

// liveDuration is the duration of the measurement of running members.
const liveDuration = 6 * time.Second

// Measurements holds the costs at the target's size and the slopes at which they grow.
type Measurements struct {
	Slopes  []Slope      `json:"slopes"`
	State   StateCost    `json:"state_at_target"`
	Records []RecordCost `json:"records_at_target"`
	// Heartbeats holds the message sizes at 9 and 18 members, each with few and many pairs of pool and team.
	Heartbeats   []HeartbeatCost `json:"heartbeats"`
	HeartbeatCPU []Spread        `json:"heartbeat_cpu"` // at 9 members, with few and many pairs
	Live         []LiveCost      `json:"live_members"`
	Renewal      CallCost        `json:"worker_lease_renewal"`
	// LeaseInstances holds for each holder the number of instances at which it has slots.
	LeaseInstances []int     `json:"instances_with_slots_by_holder"`
	Log            LogCost   `json:"log"`
	ListBytes      Line      `json:"list_poll_bytes"`
	ListCPU        Line      `json:"list_poll_cpu"`
	Start          StartCost `json:"start"`
}

// The numbers of teams with running work in each pool. With manyTeams each of a holder's 760 slots serves a different
// pair of pool and team, which is the maximum.
const (
	fewTeams  = 4
	manyTeams = 20
)

// measure runs every measurement.
func measure(ctx context.Context) (*Measurements, error) {
	m := &Measurements{}
	steps := []struct {
		name string
		run  func(context.Context, *Measurements) error
	}{
		{"state", measureStates},
		{"records", measureRecordCosts},
		{"heartbeats", measureHeartbeats},
		{"worker leases", measureLeases},
		{"log", measureLogAndList},
		{"start", measureStarts},
		{"live members", measureMembers},
	}
	for _, step := range steps {
		if err := step.run(ctx, m); err != nil {
			return nil, fmt.Errorf("measure %s: %w", step.name, err)
		}
	}
	return m, nil
}

func measureStates(_ context.Context, m *Measurements) error {
	slopes, err := stateSlopes()
	if err != nil {
		return err
	}
	m.Slopes = append(m.Slopes, slopes...)
	m.State, err = measureState(Target, stateRounds)
	return err
}

func measureRecordCosts(_ context.Context, m *Measurements) error {
	fx, err := newFixture(Target)
	if err != nil {
		return err
	}
	for _, fit := range []func(*fixture) (Slope, error){demandSlope, reportSlope} {
		slope, err := fit(fx)
		if err != nil {
			return err
		}
		m.Slopes = append(m.Slopes, slope)
	}
	slopes, costs, err := applySlopes()
	m.Slopes, m.Records = append(m.Slopes, slopes...), costs
	return err
}

func measureHeartbeats(ctx context.Context, m *Measurements) error {
	slopes, err := heartbeatSlopes()
	if err != nil {
		return err
	}
	m.Slopes = append(m.Slopes, slopes...)
	for _, members := range []int{9, 18} {
		for _, teams := range []int{fewTeams, manyTeams} {
			cost, err := measureHeartbeat(members, Target.Pools, teams)
			if err != nil {
				return err
			}
			m.Heartbeats = append(m.Heartbeats, cost)
		}
	}
	for _, teams := range []int{fewTeams, manyTeams} {
		cpu, err := measureHeartbeatCPU(ctx, wireRounds, wireCalls, Target.Holders, Target.Pools, teams)
		if err != nil {
			return err
		}
		m.HeartbeatCPU = append(m.HeartbeatCPU, cpu)
	}
	return nil
}

func measureLeases(ctx context.Context, m *Measurements) error {
	var points []Point
	for _, holders := range []int{3, 6, 9, 18} {
		size := Target
		size.Holders, size.Jobs = holders, 0
		counts, err := leaseInstances(size)
		if err != nil {
			return err
		}
		sum := 0
		for _, n := range counts {
			sum += n
		}
		points = append(points, Point{float64(holders), float64(sum) / float64(Target.Workers)})
		if holders == Target.Holders {
			m.LeaseInstances = counts
		}
	}
	m.Slopes = append(m.Slopes, Slope{
		Quantity: "holders with slots of a worker", Unit: "holders", Per: "holder", Line: Fit(points),
	})
	var err error
	m.Renewal, err = measureRenewal(ctx, wireRounds, wireCalls)
	return err
}

// leaseInstances returns for each holder the number of instances at which it has slots when all slots are granted.
func leaseInstances(size Size) ([]int, error) {
	fx, err := newFixture(size)
	if err != nil {
		return nil, err
	}
	var counts []int
	for _, writer := range fx.writers {
		counts = append(counts, len(fx.state.Allotment(writer.incarnation).Slots))
	}
	return counts, nil
}

func measureLogAndList(ctx context.Context, m *Measurements) error {
	var err error
	if m.Log, err = measureLog(ctx, wireRounds, wireCalls); err != nil {
		return err
	}
	m.Slopes = append(m.Slopes,
		Slope{Quantity: "log append on the wire", Unit: "B", Per: "byte of record", Line: m.Log.Append},
		Slope{Quantity: "log read on the wire", Unit: "B", Per: "byte of record", Line: m.Log.Read},
		Slope{Quantity: "log append CPU", Unit: "us", Per: "byte of record", Line: m.Log.AppendCPU},
		Slope{Quantity: "log read CPU", Unit: "us", Per: "byte of record", Line: m.Log.ReadCPU})
	if m.ListBytes, m.ListCPU, err = listSlope(ctx, wireRounds, listCalls); err != nil {
		return err
	}
	m.Slopes = append(m.Slopes,
		Slope{Quantity: "list poll on the wire", Unit: "B", Per: "worker", Line: m.ListBytes},
		Slope{Quantity: "list poll CPU", Unit: "us", Per: "worker", Line: m.ListCPU})
	return nil
}

func measureStarts(ctx context.Context, m *Measurements) error {
	slope, cost, err := startSlope(ctx, wireRounds)
	m.Slopes, m.Start = append(m.Slopes, slope), cost
	return err
}

func measureMembers(ctx context.Context, m *Measurements) error {
	for _, members := range []int{9, 18} {
		cost, err := measureLive(ctx, members, Target.Pools, manyTeams, liveDuration)
		if err != nil {
			return err
		}
		m.Live = append(m.Live, cost)
	}
	return nil
}
