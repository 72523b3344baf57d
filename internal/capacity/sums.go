package capacity

import (
	"slices"
)

// The limits of design.md section 2 for the control overhead of one node, and the capacity of the log, which is several
// hundred appends per second.
const (
	MaxCPUPercent       = 1.5
	MaxMemoryBytes      = 128_000_000
	MaxBytesPerSecond   = 28_000
	MaxAppendsPerSecond = 300
)

const (
	secondsPerDay = 86_400
	// sessionRenewSeconds and leaseRenewSeconds are the renewal intervals of session leases and worker leases.
	// appendsPerHolder is the maximum rate of appends per holder, which is set by the interval of group commit.
	sessionRenewSeconds = 3
	leaseRenewSeconds   = 4
	appendsPerHolder    = 25
	maxPlans            = 5 // per second and holder

	documentsPerDay = 1100
	// reportsPerDay is the number of changes of instances in the list. A failed or restarted instance causes two
	// changes (absent and live); an instance in maintenance causes a third one, because it is leaving first.
	reportsPerDay = 2*17 + 2*55 + 3*860/14

	snapshotRecords = 20_000
)

// Case is one assumption about the events for which the design states only a maximum rate.
type Case struct {
	Name string `json:"name"`
	// PlansPerSecond is the rate of demand and release records of each holder.
	PlansPerSecond float64 `json:"plans_per_second_per_holder"`
	// Saturated means that every slot in use serves another pair of pool and team, and that the load of each instance
	// changes by a quarter in each second, so that load reports are sent.
	Saturated bool `json:"saturated"`
}

// Cases are the maximum rate during bursts and the rate between bursts. The demand that the ledger reports is the
// highest within an interval of 1 s, so fluctuating usage changes it about once per second.
var Cases = []Case{
	{Name: "burst", PlansPerSecond: maxPlans, Saturated: true},
	{Name: "between bursts", PlansPerSecond: 1},
}

// Flow is a stream of records of one kind.
type Flow struct {
	Kind      string  `json:"kind"`
	PerSecond float64 `json:"records_per_second"`
	Bytes     float64 `json:"bytes_per_record"`
	ApplyUS   float64 `json:"fold_us"`
}

// flows returns the records that all holders append, including the chunks of snapshots.
func (m *Measurements) flows(holders int, c Case) []Flow {
	rates := []struct {
		kind string
		rate float64
	}{
		{recordRenew, float64(holders) / sessionRenewSeconds},
		{recordPlan, c.PlansPerSecond * float64(holders)},
		{recordPublish, documentsPerDay / float64(secondsPerDay)},
		{recordReport, reportsPerDay / float64(secondsPerDay)},
	}
	var flows []Flow
	for _, r := range rates {
		cost := m.record(r.kind)
		flows = append(flows, Flow{Kind: r.kind, PerSecond: r.rate, Bytes: float64(cost.Bytes), ApplyUS: cost.Apply.Median})
	}
	return append(flows, m.snapshotFlow(flows))
}

func (m *Measurements) record(kind string) RecordCost {
	i := slices.IndexFunc(m.Records, func(c RecordCost) bool { return c.Kind == kind })
	return m.Records[i]
}

// snapshotFlow returns the chunks of snapshots, one snapshot for every 20,000 records in flows.
func (m *Measurements) snapshotFlow(flows []Flow) Flow {
	rate := 0.0
	for _, f := range flows {
		rate += f.PerSecond
	}
	chunk := m.record(recordChunk)
	chunks := float64(m.State.GzipBytes) / chunkBytes
	return Flow{
		Kind: recordChunk, PerSecond: chunks * rate / snapshotRecords,
		Bytes: float64(chunk.Bytes), ApplyUS: chunk.Apply.Median,
	}
}

// Part is one contribution to the control overhead of a role.
type Part struct {
	Name           string  `json:"name"`
	BytesPerSecond float64 `json:"bytes_per_second"`
	CPUPercent     float64 `json:"cpu_percent"`
	MemoryBytes    float64 `json:"memory_bytes"`
}

// Role is the control overhead of one node in a role.
type Role struct {
	Name     string   `json:"role"`
	Case     string   `json:"case"`
	Parts    []Part   `json:"parts"`
	Sum      Part     `json:"sum"`
	Exceeded []string `json:"above"` // the limits that the sum exceeds
}

func newRole(name string, c Case, parts ...Part) Role {
	r := Role{Name: name, Case: c.Name, Parts: parts, Sum: Part{Name: "sum"}}
	for _, p := range parts {
		r.Sum.BytesPerSecond += p.BytesPerSecond
		r.Sum.CPUPercent += p.CPUPercent
		r.Sum.MemoryBytes += p.MemoryBytes
	}
	if r.Sum.BytesPerSecond > MaxBytesPerSecond {
		r.Exceeded = append(r.Exceeded, "28 KB/s")
	}
	if r.Sum.CPUPercent > MaxCPUPercent {
		r.Exceeded = append(r.Exceeded, "1.5% of a core")
	}
	if r.Sum.MemoryBytes > MaxMemoryBytes {
		r.Exceeded = append(r.Exceeded, "128 MB")
	}
	return r
}

// percent converts microseconds of processor time per second to percent of a core.
func percent(us float64) float64 { return us / 1e4 }

// followPart returns the cost of reading the log and applying its records, with one record in each response.
func (m *Measurements) followPart(c Case) Part {
	p := Part{Name: "log: read and fold"}
	for _, f := range m.flows(Target.Holders, c) {
		p.BytesPerSecond += f.PerSecond * m.Log.Read.At(f.Bytes)
		p.CPUPercent += percent(f.PerSecond * (f.ApplyUS + m.Log.ReadCPU.At(f.Bytes)))
	}
	return p
}

// appendPart returns the cost of the appends of one holder.
func (m *Measurements) appendPart(c Case) Part {
	p := Part{Name: "log: own appends"}
	for kind, rate := range map[string]float64{recordRenew: 1.0 / sessionRenewSeconds, recordPlan: c.PlansPerSecond} {
		bytes := float64(m.record(kind).Bytes)
		p.BytesPerSecond += rate * m.Log.Append.At(bytes)
		p.CPUPercent += percent(rate * m.Log.AppendCPU.At(bytes))
	}
	return p
}

// heartbeatPart returns the cost of heartbeats and, in a saturated case, of load reports.
func (m *Measurements) heartbeatPart(members int, c Case) Part {
	teams, cpu, reports := fewTeams, m.HeartbeatCPU[0].Median, 0.0
	if c.Saturated {
		teams, cpu, reports = manyTeams, m.HeartbeatCPU[1].Median, loadReportsPerSecond
	}
	i := slices.IndexFunc(m.Heartbeats, func(h HeartbeatCost) bool { return h.Members == members && h.Teams == teams })
	p := Part{Name: "heartbeats", BytesPerSecond: m.Heartbeats[i].PerSecond}
	if c.Saturated {
		p.Name, p.BytesPerSecond = "heartbeats and load reports", m.Heartbeats[i].WithReports
	}
	// A load report is assumed to take the processor time of a heartbeat, which carries the same load and also has a
	// response with a digest.
	p.CPUPercent = percent(cpu * (heartbeatsPerSecond + reports))
	return p
}

// leasePart returns the cost of the worker lease renewals of the holder that has slots at the most instances.
func (m *Measurements) leasePart() Part {
	rate := float64(slices.Max(m.LeaseInstances)) / leaseRenewSeconds
	return Part{
		Name: "worker leases", BytesPerSecond: rate * m.Renewal.Bytes, CPUPercent: percent(rate * m.Renewal.CPU.Median),
	}
}

// listPollPart returns the cost of one poll of the instance list per second.
func (m *Measurements) listPollPart() Part {
	workers := float64(Target.Workers)
	return Part{Name: "list poll", BytesPerSecond: m.ListBytes.At(workers), CPUPercent: percent(m.ListCPU.At(workers))}
}

// baseParts returns the overhead of every entry instance.
func (m *Measurements) baseParts(c Case) []Part {
	state := Part{Name: "folded state, twice for the garbage collector", MemoryBytes: 2 * float64(m.State.HeapBytes)}
	return []Part{
		state, m.followPart(c), m.appendPart(c),
		m.heartbeatPart(Target.Holders, c), m.leasePart(), m.listPollPart(),
	}
}

// snapshotPart returns the additional cost of the snapshot writer, averaged over the time between two snapshots.
func (m *Measurements) snapshotPart(c Case) Part {
	flows := m.flows(Target.Holders, c)
	rate := 0.0
	for _, f := range flows {
		rate += f.PerSecond
	}
	chunk := flows[len(flows)-1]
	us := (m.State.Encode.Median + m.State.Gzip.Median) * rate / snapshotRecords
	return Part{
		Name:           "snapshot",
		BytesPerSecond: chunk.PerSecond * m.Log.Append.At(chunk.Bytes),
		CPUPercent:     percent(us + chunk.PerSecond*m.Log.AppendCPU.At(chunk.Bytes)),
		MemoryBytes:    2 * float64(m.State.EncodedBytes+m.State.GzipBytes),
	}
}

// relayPart returns the additional cost of a peer that relays for one instance without a connection to the log. The
// peer reads the log a second time, forwards the records, and forwards the appends of the instance.
func (m *Measurements) relayPart(c Case) Part {
	p := Part{Name: "relay for one instance"}
	for _, f := range m.flows(Target.Holders, c) {
		p.BytesPerSecond += 2 * f.PerSecond * m.Log.Read.At(f.Bytes)
		p.CPUPercent += 2 * percent(f.PerSecond*m.Log.ReadCPU.At(f.Bytes))
	}
	own := m.appendPart(c)
	p.BytesPerSecond += 2 * own.BytesPerSecond
	p.CPUPercent += 2 * own.CPUPercent
	return p
}

// workerPart returns the cost of the lease renewals that one worker receives.
func (m *Measurements) workerPart() Part {
	sum := 0
	for _, n := range m.LeaseInstances {
		sum += n
	}
	rate := float64(sum) / float64(Target.Workers) / leaseRenewSeconds
	return Part{
		Name: "lease renewals", BytesPerSecond: rate * m.Renewal.Bytes, CPUPercent: percent(rate * m.Renewal.CPU.Median),
	}
}

func (m *Measurements) roles() []Role {
	var roles []Role
	for _, c := range Cases {
		roles = append(roles,
			newRole("entry instance", c, m.baseParts(c)...),
			newRole("snapshot writer", c, append(m.baseParts(c), m.snapshotPart(c))...),
			newRole("peer that relays", c, append(m.baseParts(c), m.relayPart(c))...),
			newRole("worker", c, m.workerPart()))
	}
	return roles
}

// LogLoad is the load on the log.
type LogLoad struct {
	Case             string  `json:"case"`
	Holders          int     `json:"holders"`
	AppendsPerSecond float64 `json:"appends_per_second"`
	// GroupCommitLimit is the maximum rate of appends that group commit permits all holders together.
	GroupCommitLimit float64 `json:"group_commit_bound_per_second"`
	BytesPerSecond   float64 `json:"bytes_per_second"`
	BytesPerDay      float64 `json:"bytes_per_day"`
	Flows            []Flow  `json:"flows"`
}

func (m *Measurements) logLoads() []LogLoad {
	var loads []LogLoad
	for _, c := range Cases {
		for _, holders := range []int{9, 18} {
			l := LogLoad{
				Case: c.Name, Holders: holders, GroupCommitLimit: float64(holders * appendsPerHolder),
				Flows: m.flows(holders, c),
			}
			for _, f := range l.Flows {
				l.AppendsPerSecond += f.PerSecond
				l.BytesPerSecond += f.PerSecond * f.Bytes
			}
			l.BytesPerDay = l.BytesPerSecond * secondsPerDay
			loads = append(loads, l)
		}
	}
	return loads
}
