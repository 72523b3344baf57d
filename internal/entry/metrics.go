package entry

import (
	"bytes"
	"expvar"
	"os"
	"runtime"
	"strconv"
	"syscall"
	"time"

	"pollenlead/internal/platform/traffic"
)

// controlTraffic counts the bytes of control traffic: all connections to peers, log and instance list, and of the
// connections to workers only the calls for leases and tasks.
type controlTraffic struct {
	peers, log, list, workers traffic.Counter
}

// vars returns the metrics of this instance. Process metrics cover the whole process, so all instances of the
// development mode report the same ones.
func (i *Instance) vars() *expvar.Map {
	m := new(expvar.Map).Init()
	m.Set("gateway", i.metrics.Map)
	m.Set("replica", lazyMap(i.replicaVars))
	m.Set("committer", lazyMap(i.committerVars))
	m.Set("membership", lazyMap(i.membershipVars))
	m.Set("allotment", lazyMap(i.allotmentVars))
	m.Set("control", lazyMap(i.controlVars))
	m.Set("process", lazyMap(processVars))
	return m
}

// lazyMap returns an expvar whose values are read together each time that it is encoded.
func lazyMap(readValues func() map[string]any) expvar.Var {
	return expvar.Func(func() any { return readValues() })
}

func (i *Instance) replicaVars() map[string]any {
	s := i.follower.Stats()
	return map[string]any{
		"records_total": s.Records, "duplicate_records_total": s.Duplicates, "malformed_records_total": s.Malformed,
		"failed_reads_total": s.FailedReads, "peer_reads_total": s.PeerReads, "snapshot_loads_total": s.SnapshotLoads,
		"applied_offset":               i.follower.Applied(),
		"log_contact_age_milliseconds": time.Since(i.follower.LastContact()).Milliseconds(),
	}
}

func (i *Instance) committerVars() map[string]any {
	s := i.committer.Stats()
	return map[string]any{
		"records_total": s.Records, "ops_total": s.Ops, "appends_total": s.Appends, "repeated_appends_total": s.Repeats,
		"relayed_appends_total": s.Relayed, "failed_appends_total": s.FailedAppends, "ops_not_sent_total": s.NotSent,
		"ops_unresolved_total": s.Unresolved, "queue_full_total": s.QueueFull,
	}
}

func (i *Instance) membershipVars() map[string]any {
	s := i.member.Stats()
	return map[string]any{
		"sessions_opened_total": s.SessionsOpened, "sessions_lost_total": s.SessionsLost,
		"revocations_proposed_total": s.RevocationsProposed, "revocations_accepted_total": s.RevocationsAccepted,
		"heartbeats_sent_total": s.HeartbeatsSent, "heartbeats_failed_total": s.HeartbeatsFailed,
		"heartbeats_received_total": s.HeartbeatsReceived, "load_reports_received_total": s.LoadReportsReceived,
		"relayed_reads_total": s.RelayedReads, "relayed_appends_total": s.RelayedAppends, "bad_messages_total": s.BadMessages,
		"list_polls_failed_total": s.ListPollsFailed, "list_reports_total": s.ListReports,
	}
}

func (i *Instance) allotmentVars() map[string]any {
	s := i.ledger.Stats()
	return map[string]any{
		"worker_leases_count": s.WorkerLeases, "leased_workers_in_use_count": s.LeasedWorkersInUse,
		"team_units_held_count": s.TeamUnits, "slots_held_count": s.Slots,
	}
}

func (i *Instance) controlVars() map[string]any {
	vars := map[string]any{}
	for name, c := range map[string]*traffic.Counter{
		"peers": &i.control.peers, "log": &i.control.log, "list": &i.control.list, "worker_leases": &i.control.workers,
	} {
		vars[name+"_sent_bytes_total"], vars[name+"_received_bytes_total"] = c.Sent(), c.Received()
	}
	return vars
}

func processVars() map[string]any {
	return map[string]any{
		"cpu_seconds_total": cpuTime().Seconds(), "resident_memory_bytes": residentBytes(),
		"goroutines_count": runtime.NumGoroutine(),
	}
}

// cpuTime returns the CPU time used by the process, or 0 if it is not available.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// residentBytes returns the resident memory of the process, or 0 if it is not available. The second field of statm is
// the number of resident pages.
func residentBytes() int64 {
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := bytes.Fields(text)
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(string(fields[1]), 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}
