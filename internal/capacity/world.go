package capacity

import (
	"fmt"
	"math/rand/v2"
	"regexp"

	"pollenlead/internal/config/configgen"
	"pollenlead/internal/record"
	"pollenlead/internal/statemachine"
)

// Size is the number of objects in a folded state.
type Size struct {
	Workers int `json:"workers"`
	Pools   int `json:"pools"`
	Teams   int `json:"teams"`
	Holders int `json:"holders"`
	Jobs    int `json:"jobs"`
}

// Target is the scale of design.md section 2 with the largest number of entry instances that section 3 names. The design
// states no number of open jobs; sums use 10,000.
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

// upperLimit finds the limits of a generated document, which are too low to let the teams fill the fleet.
var upperLimit = regexp.MustCompile(`upper_limit: \d+`)

// writer encodes the records of one incarnation.
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

// world is a folded state with every slot granted, and the writers that can continue it.
type world struct {
	size     Size
	state    *statemachine.State
	writers  []*writer
	document string
}

// newWorld folds the records that lead to a state of the given size.
func newWorld(size Size) (*world, error) {
	w := &world{size: size, state: statemachine.New(), document: documentText(size)}
	for i := range size.Holders {
		name := fmt.Sprintf("entry-%02d", i)
		w.writers = append(w.writers, &writer{name: name, incarnation: fmt.Sprintf("01JZZZZZZZZZZZZZZZZZZZZZ%02d", i)})
		open := record.SessionOpen{
			AvailabilityZone: zone(i), Region: region(i),
			PeerAddress: fmt.Sprintf("10.0.0.%d:7000", i), CallerAddress: fmt.Sprintf("10.0.0.%d:8443", i),
		}
		if err := w.apply(i, record.Op{SessionOpen: &open}); err != nil {
			return nil, err
		}
	}
	report := record.InstancesReport{ListVersion: 1}
	for i := range size.Workers {
		report.Instances = append(report.Instances, w.instance(i))
	}
	publish := record.ConfigPublish{Document: w.document, Actor: "alice"}
	if err := w.apply(0, record.Op{ConfigPublish: &publish}, record.Op{InstancesReport: &report}); err != nil {
		return nil, err
	}
	for i := range w.writers {
		demand := w.demand(size.Pools, size.Teams, 0)
		if err := w.apply(i, record.Op{Demand: &demand}); err != nil {
			return nil, err
		}
	}
	for first := 0; first < size.Jobs; first += jobsPerRecord {
		var ops []record.Op
		for j := first; j < min(first+jobsPerRecord, size.Jobs); j++ {
			ops = append(ops, w.accept(j))
		}
		if err := w.apply(first/jobsPerRecord%size.Holders, ops...); err != nil {
			return nil, err
		}
	}
	return w, nil
}

func documentText(size Size) string {
	generated := configgen.Generate(configgen.Size{
		Pools: size.Pools, Services: size.Pools, Teams: size.Teams, KeysPerTeam: keysPerTeam,
	})
	limit := fmt.Sprintf("upper_limit: %d", 2*slotsPerWorker*size.Workers/size.Teams)
	return upperLimit.ReplaceAllString(string(generated.Text), limit)
}

func zone(i int) string { return fmt.Sprintf("zone-%d", i%availabilityZones) }

func region(i int) string { return fmt.Sprintf("region-%d", i%regions) }

// instance returns the facts of worker i. Workers are spread over the pools in turn.
func (w *world) instance(i int) record.Instance {
	return record.Instance{
		ID:      fmt.Sprintf("%s%04d", configgen.InstancePrefix(i%w.size.Pools), i),
		Address: fmt.Sprintf("10.1.%d.%d:9000", i/250, i%250), Region: region(i), AvailabilityZone: zone(i),
		Rack: fmt.Sprintf("rack-%03d", i/4), Phase: record.PhaseLive, Slots: slotsPerWorker, Connections: 64,
		Cores: 32, MemoryBytes: 64 << 30, Accelerators: (i+1)*accelerators/Target.Workers - i*accelerators/Target.Workers,
	}
}

// demand wants more than there is of the first pools and teams, so that every slot is granted. step changes the amounts.
func (w *world) demand(pools, teams, step int) record.Demand {
	var d record.Demand
	for i := range pools {
		d.Pools = append(d.Pools, record.ResourceDemand{Name: configgen.PoolName(i), Wanted: 2*slotsPerWorker*w.size.Workers/w.size.Pools + step})
	}
	for i := range teams {
		d.Teams = append(d.Teams, record.ResourceDemand{Name: configgen.TeamName(i), Wanted: 2*slotsPerWorker*w.size.Workers/w.size.Teams + step})
	}
	return d
}

func (w *world) accept(j int) record.Op {
	team := configgen.TeamName(j % w.size.Teams)
	return record.Op{JobAccept: &record.JobAccept{
		Job: jobID(j), Name: "overnight-reconciliation", Team: team, KeyID: team + "-key-0",
		Service: configgen.ServiceName(j % w.size.Pools), IdempotencyKey: fmt.Sprintf("key-%010d", j),
		ContentType: "application/json", Body: body(j),
	}}
}

// body returns bytes that do not compress, so that the packed size of a state is an upper bound.
func body(j int) []byte {
	b := make([]byte, jobBodyBytes)
	_, _ = rand.NewChaCha8([32]byte{byte(j), byte(j >> 8), byte(j >> 16)}).Read(b) // never fails
	return b
}

func jobID(j int) string { return fmt.Sprintf("01JYYYYYYYYYYYYYYY%08d", j) }

// apply folds a record of writer i, all of whose ops must be accepted.
func (w *world) apply(i int, ops ...record.Op) error {
	data, err := w.writers[i].encode(ops...)
	if err != nil {
		return err
	}
	return w.fold(data)
}

func (w *world) fold(data []byte) error {
	result, err := w.state.Apply(w.state.Next(), data)
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
