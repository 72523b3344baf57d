package capacity

import (
	"slices"
)

// The bounds of design.md section 2 for the control of one node, and what the log takes: several hundred appends a second.
const (
	BoundCPUPercent       = 1.5
	BoundMemoryBytes      = 128_000_000
	BoundBytesPerSecond   = 28_000
	BoundAppendsPerSecond = 300
)

const (
	secondsPerDay = 86_400
	// renewSeconds, leaseSeconds and appendsPerHolder are the intervals of session and worker leases and of group commit.
	renewSeconds     = 3
	leaseSeconds     = 4
	appendsPerHolder = 25
	maxPlans         = 5

	documentsPerDay = 1100
	// reportsPerDay: a failed or restarted instance goes and comes back, and one in maintenance leaves before that.
	reportsPerDay = 2*17 + 2*55 + 3*860/14

	snapshotRecords = 20_000
)

// Case is a rate of the events whose rate the design only bounds.
type Case struct {
	Name string `json:"name"`
	// Plans is the demand and release records a second of each holder.
	Plans float64 `json:"plans_per_second_per_holder"`
	// Many means that every slot in use serves another pair of pool and team, and that the load of each instance changes
	// by a quarter in each second, so that load reports are sent.
	Many bool `json:"saturated"`
}

// Cases are the bound, and the quiet time between bursts: the demand that the ledger reports is the highest of an interval
// of 1 s, so fluctuating use changes it about once a second.
var Cases = []Case{
	{Name: "burst", Plans: maxPlans, Many: true},
	{Name: "between bursts", Plans: 1},
}

// Flow is records of one kind at a rate.
type Flow struct {
	Kind      string  `json:"kind"`
	PerSecond float64 `json:"records_per_second"`
	Bytes     float64 `json:"bytes_per_record"`
	FoldUS    float64 `json:"fold_us"`
}

// flows returns the records of all holders, without snapshots.
func (m *Measurements) flows(holders int, c Case) []Flow {
	rates := []struct {
		kind string
		rate float64
	}{
		{recordRenew, float64(holders) / renewSeconds},
		{recordPlan, c.Plans * float64(holders)},
		{recordPublish, documentsPerDay / float64(secondsPerDay)},
		{recordReport, reportsPerDay / float64(secondsPerDay)},
	}
	var flows []Flow
	for _, r := range rates {
		cost := m.record(r.kind)
		flows = append(flows, Flow{Kind: r.kind, PerSecond: r.rate, Bytes: float64(cost.Bytes), FoldUS: cost.Fold.Median})
	}
	return append(flows, m.snapshotFlow(flows))
}

func (m *Measurements) record(kind string) RecordCost {
	i := slices.IndexFunc(m.Records, func(c RecordCost) bool { return c.Kind == kind })
	return m.Records[i]
}

// snapshotFlow is the chunks of a snapshot after every 20,000 records.
func (m *Measurements) snapshotFlow(flows []Flow) Flow {
	rate := 0.0
	for _, f := range flows {
		rate += f.PerSecond
	}
	chunk := m.record(recordChunk)
	chunks := float64(m.State.PackedBytes) / chunkBytes
	return Flow{Kind: recordChunk, PerSecond: chunks * rate / snapshotRecords, Bytes: float64(chunk.Bytes), FoldUS: chunk.Fold.Median}
}

// Part is one contribution to a role.
type Part struct {
	Name           string  `json:"name"`
	BytesPerSecond float64 `json:"bytes_per_second"`
	CPUPercent     float64 `json:"cpu_percent"`
	MemoryBytes    float64 `json:"memory_bytes"`
}

// Role is what one node spends on control in a role.
type Role struct {
	Name  string   `json:"role"`
	Case  string   `json:"case"`
	Parts []Part   `json:"parts"`
	Sum   Part     `json:"sum"`
	Above []string `json:"above"` // the bounds that the sum exceeds
}

func newRole(name string, c Case, parts ...Part) Role {
	r := Role{Name: name, Case: c.Name, Parts: parts, Sum: Part{Name: "sum"}}
	for _, p := range parts {
		r.Sum.BytesPerSecond += p.BytesPerSecond
		r.Sum.CPUPercent += p.CPUPercent
		r.Sum.MemoryBytes += p.MemoryBytes
	}
	if r.Sum.BytesPerSecond > BoundBytesPerSecond {
		r.Above = append(r.Above, "28 KB/s")
	}
	if r.Sum.CPUPercent > BoundCPUPercent {
		r.Above = append(r.Above, "1.5% of a core")
	}
	if r.Sum.MemoryBytes > BoundMemoryBytes {
		r.Above = append(r.Above, "128 MB")
	}
	return r
}

// percent turns microseconds of processor time a second into percent of a core.
func percent(us float64) float64 { return us / 1e4 }

// following is reading and folding the log, one record in each exchange.
func (m *Measurements) following(c Case) Part {
	p := Part{Name: "log: read and fold"}
	for _, f := range m.flows(Target.Holders, c) {
		p.BytesPerSecond += f.PerSecond * m.Log.Read.At(f.Bytes)
		p.CPUPercent += percent(f.PerSecond * (f.FoldUS + m.Log.ReadCPU.At(f.Bytes)))
	}
	return p
}

// appending is the appends of one holder.
func (m *Measurements) appending(c Case) Part {
	p := Part{Name: "log: own appends"}
	for kind, rate := range map[string]float64{recordRenew: 1.0 / renewSeconds, recordPlan: c.Plans} {
		bytes := float64(m.record(kind).Bytes)
		p.BytesPerSecond += rate * m.Log.Append.At(bytes)
		p.CPUPercent += percent(rate * m.Log.AppendCPU.At(bytes))
	}
	return p
}

func (m *Measurements) heartbeats(members int, c Case) Part {
	teams, cpu, reports := fewTeams, m.HeartbeatCPU[0].Median, 0.0
	if c.Many {
		teams, cpu, reports = manyTeams, m.HeartbeatCPU[1].Median, loadReportsPerSecond
	}
	i := slices.IndexFunc(m.Heartbeats, func(h HeartbeatCost) bool { return h.Members == members && h.Teams == teams })
	p := Part{Name: "heartbeats", BytesPerSecond: m.Heartbeats[i].PerSecond}
	if c.Many {
		p.Name, p.BytesPerSecond = "heartbeats and load reports", m.Heartbeats[i].WithReports
	}
	// A load report is counted at the time of a heartbeat, which has the same load and an answer in addition.
	p.CPUPercent = percent(cpu * (heartbeatsPerSecond + reports))
	return p
}

func (m *Measurements) renewals() Part {
	rate := float64(slices.Max(m.LeaseInstances)) / leaseSeconds
	return Part{
		Name: "worker leases", BytesPerSecond: rate * m.Renewal.Bytes, CPUPercent: percent(rate * m.Renewal.CPU.Median),
	}
}

func (m *Measurements) listPolls() Part {
	workers := float64(Target.Workers)
	return Part{Name: "list poll", BytesPerSecond: m.ListBytes.At(workers), CPUPercent: percent(m.ListCPU.At(workers))}
}

func (m *Measurements) serving(c Case) []Part {
	state := Part{Name: "folded state, twice for the garbage collector", MemoryBytes: 2 * float64(m.State.HeapBytes)}
	return []Part{state, m.following(c), m.appending(c), m.heartbeats(Target.Holders, c), m.renewals(), m.listPolls()}
}

// writing is what the snapshot writer does in addition, averaged over the time between two snapshots.
func (m *Measurements) writing(c Case) Part {
	flows := m.flows(Target.Holders, c)
	rate := 0.0
	for _, f := range flows {
		rate += f.PerSecond
	}
	chunk := flows[len(flows)-1]
	us := (m.State.Encode.Median + m.State.Pack.Median) * rate / snapshotRecords
	return Part{
		Name:           "snapshot",
		BytesPerSecond: chunk.PerSecond * m.Log.Append.At(chunk.Bytes),
		CPUPercent:     percent(us + chunk.PerSecond*m.Log.AppendCPU.At(chunk.Bytes)),
		MemoryBytes:    2 * float64(m.State.EncodedBytes+m.State.PackedBytes),
	}
}

// relaying is what a peer does for one instance that is cut off from the log: it reads the log once more and passes it on.
func (m *Measurements) relaying(c Case) Part {
	p := Part{Name: "relay for one instance"}
	for _, f := range m.flows(Target.Holders, c) {
		p.BytesPerSecond += 2 * f.PerSecond * m.Log.Read.At(f.Bytes)
		p.CPUPercent += 2 * percent(f.PerSecond*m.Log.ReadCPU.At(f.Bytes))
	}
	own := m.appending(c)
	p.BytesPerSecond += 2 * own.BytesPerSecond
	p.CPUPercent += 2 * own.CPUPercent
	return p
}

// worker is the renewals that one worker gets.
func (m *Measurements) worker() Part {
	sum := 0
	for _, n := range m.LeaseInstances {
		sum += n
	}
	rate := float64(sum) / float64(Target.Workers) / leaseSeconds
	return Part{Name: "lease renewals", BytesPerSecond: rate * m.Renewal.Bytes, CPUPercent: percent(rate * m.Renewal.CPU.Median)}
}

func (m *Measurements) roles() []Role {
	var roles []Role
	for _, c := range Cases {
		roles = append(roles,
			newRole("entry instance", c, m.serving(c)...),
			newRole("snapshot writer", c, append(m.serving(c), m.writing(c))...),
			newRole("peer that relays", c, append(m.serving(c), m.relaying(c))...),
			newRole("worker", c, m.worker()))
	}
	return roles
}

// LogLoad is what the log takes.
type LogLoad struct {
	Case             string  `json:"case"`
	Holders          int     `json:"holders"`
	AppendsPerSecond float64 `json:"appends_per_second"`
	// Bound is the most that group commit lets the holders append.
	Bound          float64 `json:"group_commit_bound_per_second"`
	BytesPerSecond float64 `json:"bytes_per_second"`
	BytesPerDay    float64 `json:"bytes_per_day"`
	Flows          []Flow  `json:"flows"`
}

func (m *Measurements) logLoads() []LogLoad {
	var loads []LogLoad
	for _, c := range Cases {
		for _, holders := range []int{9, 18} {
			l := LogLoad{Case: c.Name, Holders: holders, Bound: float64(holders * appendsPerHolder), Flows: m.flows(holders, c)}
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
