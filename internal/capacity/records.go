package capacity

import (
	"fmt"
	"runtime"
	"slices"

	"pollenlead/internal/record"
	"pollenlead/internal/statemachine"
)

// recordRounds is the number of repetitions of the measurement of one kind of record.
const recordRounds = 5

// RecordCost is the cost of one record of a kind: its size in the log and the processor time to apply it.
type RecordCost struct {
	Kind  string `json:"kind"`
	Bytes int    `json:"bytes"`
	Apply Spread `json:"fold"`
}

// The kinds of records that the sums use. A plan consists of the operations that package allotment proposes in one
// record: a demand and a release.
const (
	recordRenew    = "session_renew"
	recordPlan     = "demand + release, 4 names"
	recordPlanAll  = "demand, all names"
	recordReport   = "instances_report, 1 instance"
	recordPublish  = "config_publish"
	recordAccept   = "job_accept"
	recordStart    = "job_start"
	recordFinish   = "job_finish"
	recordChunk    = "snapshot_chunk, 256 KiB"
	chunkBytes     = 256 << 10
	planPools      = 2
	planTeams      = 2
	publishRecords = 20
	chunkRecords   = 5
	// startRecords is less than the number of slots of one holder in the smallest fleet.
	startRecords = 30
)

// recordKind describes how to build the records of a kind. build is called with consecutive i, each time on the state
// that includes the previous records.
type recordKind struct {
	name  string
	n     int // records per round
	build func(fx *fixture, i int) (holder int, ops []record.Op)
}

func recordKinds() []recordKind {
	return []recordKind{
		{recordRenew, 2000, func(fx *fixture, i int) (int, []record.Op) {
			return i % fx.size.Holders, []record.Op{{SessionRenew: &record.SessionRenew{}}}
		}},
		{recordPlan, 500, planOps},
		{recordPlanAll, 200, func(fx *fixture, i int) (int, []record.Op) {
			demand := fx.demand(fx.size.Pools, fx.size.Teams, 1+i)
			return i % fx.size.Holders, []record.Op{{Demand: &demand}}
		}},
		{recordReport, 200, instancesReportOps},
		{recordPublish, publishRecords, func(fx *fixture, _ int) (int, []record.Op) {
			publish := record.ConfigPublish{Expect: fx.state.Config().Version, Document: fx.document, Actor: "alice"}
			return 0, []record.Op{{ConfigPublish: &publish}}
		}},
		{recordAccept, 500, func(fx *fixture, i int) (int, []record.Op) {
			return 0, []record.Op{fx.accept(fx.size.Jobs + i)}
		}},
		{recordStart, startRecords, startOps},
		{recordFinish, startRecords, func(fx *fixture, i int) (int, []record.Op) {
			finish := record.JobFinish{
				Job: jobID(fx.size.Jobs + i), Attempt: 1, Outcome: record.OutcomeSucceeded, Status: 200,
				ContentType: "application/json", Result: make([]byte, jobBodyBytes),
			}
			return 0, []record.Op{{JobFinish: &finish}}
		}},
	}
}

// planOps changes the demand of two pools and two teams and releases a slot of one instance and a unit of one team.
func planOps(fx *fixture, i int) (int, []record.Op) {
	holder := i % fx.size.Holders
	d := fx.partialDemand(i)
	ops := []record.Op{{Demand: &d}}
	a := fx.state.Allotment(fx.writers[holder].incarnation)
	release := record.Release{}
	if team := d.Teams[0].Name; a.Teams[team].Held > a.Teams[team].Started {
		release.Teams = []record.TeamUnits{{Name: team, Units: 1}}
	}
	for _, id := range sortedSlotIDs(a) {
		if a.Slots[id].Pool == d.Pools[0].Name && a.Slots[id].Held > a.Slots[id].Started {
			release.Slots = []record.InstanceSlots{{Instance: id, Slots: 1}}
			break
		}
	}
	return holder, append(ops, record.Op{Release: &release})
}

// partialDemand returns a demand for two pools and two teams, which cycle through all pools and teams as i grows.
func (fx *fixture) partialDemand(i int) record.Demand {
	var d record.Demand
	at := i / fx.size.Holders
	all := fx.demand(fx.size.Pools, fx.size.Teams, 1+i)
	for n := range planPools {
		d.Pools = append(d.Pools, all.Pools[(at+n)%fx.size.Pools])
	}
	for n := range planTeams {
		d.Teams = append(d.Teams, all.Teams[(at+n)%fx.size.Teams])
	}
	return d
}

func sortedSlotIDs(a statemachine.Allotment) []string {
	ids := make([]string, 0, len(a.Slots))
	for id := range a.Slots {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// instancesReportOps reports an instance as leaving for an even i, and the same instance as live again for the next i.
func instancesReportOps(fx *fixture, i int) (int, []record.Op) {
	facts := fx.instance(i / 2 % fx.size.Workers)
	if i%2 == 0 {
		facts.Phase = record.PhaseLeaving
	}
	report := record.InstancesReport{ListVersion: uint64(2 + i), Instances: []record.Instance{facts}}
	return 0, []record.Op{{InstancesReport: &report}}
}

// startOps starts a job that the measurement of job_accept left waiting. Jobs cannot share a slot, so each goes to an
// instance at which the writer has a free slot.
func startOps(fx *fixture, i int) (int, []record.Op) {
	a := fx.state.Allotment(fx.writers[0].incarnation)
	for _, id := range sortedSlotIDs(a) {
		if a.Slots[id].Started < a.Slots[id].Held {
			return 0, []record.Op{{JobStart: &record.JobStart{Job: jobID(fx.size.Jobs + i), Attempt: 1, Instance: id}}}
		}
	}
	return 0, nil
}

// measureRecords measures each kind of record on a state of the given size.
func measureRecords(size Size, rounds int) ([]RecordCost, error) {
	fx, err := newFixture(size)
	if err != nil {
		return nil, err
	}
	var costs []RecordCost
	for _, kind := range recordKinds() {
		cost, err := measureKind(fx, kind, rounds)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", kind.name, err)
		}
		costs = append(costs, cost)
	}
	chunk, err := measureChunk(fx.writers[0], rounds)
	return append(costs, chunk), err
}

// measureKind measures the records of a kind. The content of a record depends on the state after the previous one, so
// all records are built first and then applied again to copies of the initial state.
func measureKind(fx *fixture, kind recordKind, rounds int) (RecordCost, error) {
	cost := RecordCost{Kind: kind.name}
	start, err := fx.state.Encode()
	if err != nil {
		return cost, err
	}
	records := make([][]byte, kind.n)
	for i := range records {
		holder, ops := kind.build(fx, i)
		if records[i], err = fx.writers[holder].encode(ops...); err != nil {
			return cost, err
		}
		if err := fx.applyRecord(records[i]); err != nil {
			return cost, err
		}
		cost.Bytes += len(records[i])
	}
	cost.Bytes /= kind.n
	var medians []float64
	for range rounds {
		state, err := statemachine.Restore(start)
		if err != nil {
			return cost, err
		}
		runtime.GC() // so that the collection of the restored encoding is not counted
		spread, err := cpuPer(1, kind.n, func() error { return (&fixture{state: state}).applyAll(records) })
		if err != nil {
			return cost, err
		}
		medians = append(medians, spread.Median)
	}
	slices.Sort(medians)
	cost.Apply = Spread{Median: medians[len(medians)/2], Min: medians[0], Max: medians[len(medians)-1]}
	return cost, nil
}

func (fx *fixture) applyAll(records [][]byte) error {
	for _, data := range records {
		if err := fx.applyRecord(data); err != nil {
			return err
		}
	}
	return nil
}

// measureChunk measures the record of a snapshot chunk. The state machine only counts chunks, so the measured time is
// that of decoding the record.
func measureChunk(w *writer, rounds int) (RecordCost, error) {
	cost := RecordCost{Kind: recordChunk}
	data, err := w.encode(record.Op{SnapshotChunk: &record.SnapshotChunk{Term: 1, Data: make([]byte, chunkBytes)}})
	if err != nil {
		return cost, err
	}
	cost.Bytes = len(data)
	cost.Apply, err = cpuPer(rounds, chunkRecords, func() error {
		for range chunkRecords {
			if _, err := record.Decode(data); err != nil {
				return err
			}
		}
		return nil
	})
	return cost, err
}

// demandSlope returns the growth of a demand record with the number of names.
func demandSlope(fx *fixture) (Slope, error) {
	var points []Point
	for _, n := range []int{1, 4, 13, 26} {
		demand := fx.demand(n, n, 0)
		data, err := fx.writers[0].encode(record.Op{Demand: &demand})
		if err != nil {
			return Slope{}, err
		}
		points = append(points, Point{X: float64(2 * n), Y: float64(len(data))})
	}
	return Slope{Quantity: "demand record", Unit: "B", Per: "name", Line: Fit(points)}, nil
}

// reportSlope returns the growth of an instances_report record with the number of instances.
func reportSlope(fx *fixture) (Slope, error) {
	var points []Point
	for _, n := range []int{1, 50, 200, 430} {
		report := record.InstancesReport{ListVersion: 2}
		for i := range n {
			report.Instances = append(report.Instances, fx.instance(i))
		}
		data, err := fx.writers[0].encode(record.Op{InstancesReport: &report})
		if err != nil {
			return Slope{}, err
		}
		points = append(points, Point{X: float64(n), Y: float64(len(data))})
	}
	return Slope{Quantity: "instances_report record", Unit: "B", Per: "instance", Line: Fit(points)}, nil
}

// applySlopes returns the growth of the time to apply each kind of record with the size of the fleet, the growth of the
// config_publish record with the number of pools and teams, and the costs at the target's size.
func applySlopes() ([]Slope, []RecordCost, error) {
	points := map[string][]Point{}
	bytes := []Point{}
	var costs []RecordCost
	var err error
	for _, size := range fleetSizes() {
		if costs, err = measureRecords(size, recordRounds); err != nil {
			return nil, nil, err
		}
		for _, cost := range costs {
			points[cost.Kind] = append(points[cost.Kind], Point{X: float64(size.Workers), Y: cost.Apply.Median})
			if cost.Kind == recordPublish {
				bytes = append(bytes, Point{X: float64(size.Pools + size.Teams), Y: float64(cost.Bytes)})
			}
		}
	}
	slopes := []Slope{{Quantity: "config_publish record", Unit: "B", Per: "pool or team", Line: Fit(bytes)}}
	for _, cost := range costs {
		slopes = append(slopes, Slope{
			Quantity: "fold CPU: " + cost.Kind, Unit: "us", Per: "worker", Line: Fit(points[cost.Kind]),
		})
	}
	return slopes, costs, nil
}

// fleetSizes returns sizes of fleets in which the pools and teams grow with the workers.
func fleetSizes() []Size {
	return []Size{
		{Workers: 50, Pools: 6, Teams: 6, Holders: 9, Jobs: Target.Jobs},
		{Workers: 200, Pools: 15, Teams: 12, Holders: 9, Jobs: Target.Jobs},
		{Workers: 430, Pools: 25, Teams: 18, Holders: 9, Jobs: Target.Jobs},
		Target,
	}
}
