package capacity

import (
	"fmt"
	"math/rand/v2"
	"regexp"

	"pollenlead/internal/config/configgen"
	"pollenlead/internal/record"
	"pollenlead/internal/statemachine"
)

// Size is the number of objects in a state of the state machine.
type Size struct {
	Workers int `json:"workers"`
	Pools   int `json:"pools"`
	Teams   int `json:"teams"`
	Holders int `json:"holders"`
	Jobs    int `json:"jobs"`
}

// Target is the scale of design.md section 2 with the largest number of entry instances that section 3 names. The
// design states no number of open jobs, so the sums assume 10,000.
var Target = Size{Workers: 860, Pools: 38, Teams: 26, Holders: 9, Jobs: 10_000}

const (
	slotsPerWorker    = 8
	accelerators      = 1400
	availabilityZones = 6
	regions           = 2
	keysPerTeam       = 4
	jobBodyBytes      = 256
	jobsPerRecord     = 500
)

// upperLimit matches the upper limits in a generated document. They are replaced, because they are too low for the
// teams to use the whole fleet.
var upperLimit = regexp.MustCompile(`upper_limit: \d+`)

// writer encodes the records of one incarnation of an entry instance.
type writer struct {
	name, incarnation string
	seq               uint64
}

func (w *writer) encode(ops ...record.Op) ([]byte, error) {
	w.seq++
	return record.Encode(record.Record{
		Writer: w.name, Incarnation: w.incarnation, Seq: w.seq, AtUnixMS: 1_760_000_000_000, Ops: ops,
	})
}

// fixture is a state of the state machine in which every slot is granted, with writers for further records.
type fixture struct {
	size     Size
	state    *statemachine.State
	writers  []*writer
	document string
}

// newFixture returns a fixture of the given size. It builds the state by applying records.
func newFixture(size Size) (*fixture, error) {
	fx := &fixture{size: size, state: statemachine.New(), document: documentText(size)}
	for i := range size.Holders {
		name := fmt.Sprintf("entry-%02d", i)
		fx.writers = append(fx.writers, &writer{name: name, incarnation: fmt.Sprintf("01JZZZZZZZZZZZZZZZZZZZZZ%02d", i)})
		open := record.SessionOpen{
			AvailabilityZone: zone(i), Region: region(i),
			PeerAddress: fmt.Sprintf("10.0.0.%d:7000", i), CallerAddress: fmt.Sprintf("10.0.0.%d:8443", i),
		}
		if err := fx.apply(i, record.Op{SessionOpen: &open}); err != nil {
			return nil, err
		}
	}
	report := record.InstancesReport{ListVersion: 1}
	for i := range size.Workers {
		report.Instances = append(report.Instances, fx.instance(i))
	}
	publish := record.ConfigPublish{Document: fx.document, Actor: "alice"}
	if err := fx.apply(0, record.Op{ConfigPublish: &publish}, record.Op{InstancesReport: &report}); err != nil {
		return nil, err
	}
	for i := range fx.writers {
		demand := fx.demand(size.Pools, size.Teams, 0)
		if err := fx.apply(i, record.Op{Demand: &demand}); err != nil {
			return nil, err
		}
	}
	for first := 0; first < size.Jobs; first += jobsPerRecord {
		var ops []record.Op
		for j := first; j < min(first+jobsPerRecord, size.Jobs); j++ {
			ops = append(ops, fx.accept(j))
		}
		if err := fx.apply(first/jobsPerRecord%size.Holders, ops...); err != nil {
			return nil, err
		}
	}
	return fx, nil
}

// documentText returns a generated document whose upper limits let the teams use the whole fleet.
func documentText(size Size) string {
	generated := configgen.Generate(configgen.Size{
		Pools: size.Pools, Services: size.Pools, Teams: size.Teams, KeysPerTeam: keysPerTeam,
	})
	limit := fmt.Sprintf("upper_limit: %d", 2*slotsPerWorker*size.Workers/size.Teams)
	return upperLimit.ReplaceAllString(string(generated.Text), limit)
}

func zone(i int) string { return fmt.Sprintf("zone-%d", i%availabilityZones) }

func region(i int) string { return fmt.Sprintf("region-%d", i%regions) }

// instance returns the list entry of worker i. The workers are assigned to the pools in turn.
func (fx *fixture) instance(i int) record.Instance {
	return record.Instance{
		ID:      fmt.Sprintf("%s%04d", configgen.InstancePrefix(i%fx.size.Pools), i),
		Address: fmt.Sprintf("10.1.%d.%d:9000", i/250, i%250), Region: region(i), AvailabilityZone: zone(i),
		Rack: fmt.Sprintf("rack-%03d", i/4), Phase: record.PhaseLive, Slots: slotsPerWorker, Connections: 64,
		Cores: 32, MemoryBytes: 64 << 30, Accelerators: (i+1)*accelerators/Target.Workers - i*accelerators/Target.Workers,
	}
}

// demand returns a demand for the given number of pools and teams. It exceeds the capacity, so that every slot is
// granted. step is added to the amounts, so that consecutive demands differ.
func (fx *fixture) demand(pools, teams, step int) record.Demand {
	var d record.Demand
	for i := range pools {
		wanted := 2*slotsPerWorker*fx.size.Workers/fx.size.Pools + step
		d.Pools = append(d.Pools, record.ResourceDemand{Name: configgen.PoolName(i), Wanted: wanted})
	}
	for i := range teams {
		wanted := 2*slotsPerWorker*fx.size.Workers/fx.size.Teams + step
		d.Teams = append(d.Teams, record.ResourceDemand{Name: configgen.TeamName(i), Wanted: wanted})
	}
	return d
}

func (fx *fixture) accept(j int) record.Op {
	team := configgen.TeamName(j % fx.size.Teams)
	return record.Op{JobAccept: &record.JobAccept{
		Job: jobID(j), Name: "overnight-reconciliation", Team: team, KeyID: team + "-key-0",
		Service: configgen.ServiceName(j % fx.size.Pools), IdempotencyKey: fmt.Sprintf("key-%010d", j),
		ContentType: "application/json", Body: body(j),
	}}
}

// body returns incompressible bytes, so that the compressed size of a state is an upper bound.
func body(j int) []byte {
	b := make([]byte, jobBodyBytes)
	_, _ = rand.NewChaCha8([32]byte{byte(j), byte(j >> 8), byte(j >> 16)}).Read(b) // never fails
	return b
}

func jobID(j int) string { return fmt.Sprintf("01JYYYYYYYYYYYYYYY%08d", j) }

// apply encodes and applies a record of writer i. It returns an error if any of the operations is rejected.
func (fx *fixture) apply(i int, ops ...record.Op) error {
	data, err := fx.writers[i].encode(ops...)
	if err != nil {
		return err
	}
	return fx.applyRecord(data)
}

func (fx *fixture) applyRecord(data []byte) error {
	result, err := fx.state.Apply(fx.state.Next(), data)
	if err != nil {
		return err
	}
	for _, o := range result.Outcomes {
		if !o.Accepted {
			return fmt.Errorf("%s rejected: %s: %s", o.Kind, o.Reason, o.Detail)
		}
	}
	return nil
}
