package capacity

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"pollenlead/internal/record"
)

// Guards against wrong slopes, intercepts and residuals, on which every sum depends.
func TestFit(t *testing.T) {
	is := is.New(t)
	exact := Fit([]Point{{1, 5}, {2, 7}, {4, 11}})
	is.Equal([]float64{exact.Slope, exact.Intercept, exact.Residual}, []float64{2, 3, 0})
	// Through (0,0), (1,2), (2,1) the best line is y = 0.5 + 0.5x; its distances are -0.5, 1, -0.5.
	scattered := Fit([]Point{{0, 0}, {1, 2}, {2, 1}})
	is.Equal([]float64{scattered.Slope, scattered.Intercept}, []float64{0.5, 0.5})
	is.True(scattered.Residual > 0.707 && scattered.Residual < 0.708)
}

// Guards against a state of the state machine that exceeds the memory limit of 128 MB. At the target's size the live
// heap and the encoded and compressed snapshot, all doubled for the garbage collector, must fit. The share of the state
// for one worker may not exceed a tenth of the memory divided by the number of workers.
func TestStateBytes(t *testing.T) {
	is := is.New(t)
	var memory []Point // memory is linear in the number of jobs, so fewer than the target's 10,000 are created
	for _, jobs := range []int{0, 1000} {
		size := Target
		size.Jobs = jobs
		cost, err := measureState(size, 1)
		is.NoErr(err)
		memory = append(memory, Point{float64(jobs), float64(2 * (cost.HeapBytes + int64(cost.EncodedBytes+cost.GzipBytes)))})
	}
	is.True(Fit(memory).At(float64(Target.Jobs)) <= MaxMemoryBytes)

	empty := Target
	empty.Jobs = 0
	var points []Point
	for _, workers := range []int{50, 430} {
		empty.Workers = workers
		cost, err := measureState(empty, 1)
		is.NoErr(err)
		points = append(points, Point{float64(workers), float64(cost.EncodedBytes)})
	}
	// The encoding may take a tenth of the memory, because the jobs, the state on the heap and the snapshot need the
	// rest.
	is.True(Fit(points).Slope*float64(Target.Workers) <= MaxMemoryBytes/10)
}

// Guards against larger digests, with which heartbeats would use up the limit of 28 KB/s. A node sends and receives 3
// heartbeats and 3 responses per second.
func TestHeartbeatBytes(t *testing.T) {
	is := is.New(t)
	slopes, err := heartbeatSlopes()
	is.NoErr(err)
	messages := 2.0 * heartbeatsPerSecond
	perMember, perPair := slopes[0], slopes[1]
	// The digests of 9 members may take half of the traffic, and the requests two thirds, with running work in the
	// maximum number of pairs that 760 slots permit. The sum of both is checked below with few pairs.
	is.True(perMember.Slope*float64(Target.Holders)*messages <= MaxBytesPerSecond/2)
	is.True(perPair.At(float64(manyTeams*Target.Pools))*messages <= 2*MaxBytesPerSecond/3)
	between, err := measureHeartbeat(Target.Holders, Target.Pools, fewTeams)
	is.NoErr(err)
	is.True(between.PerSecond <= MaxBytesPerSecond)
}

// Guards against counted messages that differ from those of package membership, for example after a change of its
// protocol. A real member must accept the heartbeat and the load report that are counted here, and its response must
// not be larger than the counted one.
func TestHeartbeatForm(t *testing.T) {
	is := is.New(t)
	listener, err := listenLoopback()
	is.NoErr(err)
	var running sync.WaitGroup
	defer running.Wait()
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	m, err := startMember(ctx, &running, newMemoryLog(0), 1, listener, runningLoad(2, 2))
	is.NoErr(err)
	conn, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	load := runningLoad(Target.Pools, manyTeams)
	answers := bufio.NewReader(conn)
	for _, message := range []struct {
		method string
		params any
	}{{"heartbeat", heartbeatParams(load)}, {"load_report", loadReport{Entry: memberEntry(0, load)}}} {
		encoded, err := encodeRequest(message.method, message.params)
		is.NoErr(err)
		_, err = conn.Write(append(encoded, '\n'))
		is.NoErr(err)
		line, err := answers.ReadBytes('\n')
		is.NoErr(err)
		var answer struct{ Result *digest }
		is.NoErr(json.Unmarshal(line, &answer))
		is.True(answer.Result != nil) // not an error
		if message.method == "heartbeat" {
			counted, err := answerBytes(heartbeatResult(1))
			is.NoErr(err)
			is.Equal(len(answer.Result.Digest), 1)
			is.True(len(line) <= counted)
		}
	}
	is.Equal(m.Stats().BadMessages, uint64(0))
	is.Equal(m.PeerUsage()[memberEntry(0, nil).Incarnation].PoolTeam, load.Running)
}

// Guards against larger renewals. Session renewals, encoded in base64, may take a tenth of the 28 KB/s at each
// follower, and worker lease renewals at most half.
func TestRenewalBytes(t *testing.T) {
	is := is.New(t)
	fx, err := newFixture(Size{Workers: 50, Pools: 6, Teams: 6, Holders: Target.Holders})
	is.NoErr(err)
	renewal, err := fx.writers[0].encode(record.Op{SessionRenew: &record.SessionRenew{}})
	is.NoErr(err)
	is.True(len(renewal)*4/3*Target.Holders/sessionRenewSeconds <= MaxBytesPerSecond/10)

	size := Target
	size.Jobs = 0
	m := &Measurements{}
	m.LeaseInstances, err = leaseInstances(size)
	is.NoErr(err)
	m.Renewal, err = measureRenewal(t.Context(), 1, 20)
	is.NoErr(err)
	is.True(m.leasePart().BytesPerSecond <= MaxBytesPerSecond/2)
}

// Guards against an append rate above the capacity of the log, at the stated rates with 9 and 18 entry instances and at
// the maximum rate that group commit permits 9 instances.
func TestAppendsPerSecond(t *testing.T) {
	is := is.New(t)
	m := &Measurements{State: StateCost{GzipBytes: 64 << 20}} // the largest snapshot that package replica writes
	var err error
	m.Records, err = measureRecords(Size{Workers: 50, Pools: 6, Teams: 6, Holders: Target.Holders}, 1)
	is.NoErr(err)
	for _, load := range m.logLoads() {
		is.True(load.AppendsPerSecond <= MaxAppendsPerSecond)
		is.True(load.Holders > Target.Holders || load.GroupCommitLimit <= MaxAppendsPerSecond)
	}
}

// Guards against a follower that does not load the snapshot at its start or stops before the end of the log.
func TestStart(t *testing.T) {
	is := is.New(t)
	size := Size{Workers: 50, Pools: 6, Teams: 6, Holders: 3, Jobs: 100}
	_, err := measureStart(t.Context(), size, 100, 1)
	is.NoErr(err)
}

// Guards against a report that does not name an exceeded limit, and an unknown output format that is silently accepted.
func TestReportNamesExceededBounds(t *testing.T) {
	is := is.New(t)
	at := Part{BytesPerSecond: MaxBytesPerSecond, CPUPercent: MaxCPUPercent, MemoryBytes: MaxMemoryBytes}
	is.Equal(len(newRole("r", Cases[0], at).Exceeded), 0)
	more := Part{BytesPerSecond: 1, CPUPercent: 0.01, MemoryBytes: 1}
	role := newRole("r", Cases[0], at, more)
	is.Equal(role.Exceeded, []string{"28 KB/s", "1.5% of a core", "128 MB"})
	var out bytes.Buffer
	Report{Roles: []Role{role}}.writeRoles(&out)
	is.True(strings.Contains(out.String(), "28 KB/s, 1.5% of a core, 128 MB\n"))
	is.True(Run(t.Context(), &out, "xml") != nil)
}
