package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"net"

	"github.com/sourcegraph/jsonrpc2"

	"pollenlead/internal/config/configgen"
	"pollenlead/internal/membership"
)

// What package membership sends: a heartbeat a second to each of 3 peers, and at most one load report to each of 3 peers
// between two heartbeats.
const (
	heartbeatsPerSecond  = 3
	loadReportsPerSecond = 3
)

// digest has the form of the parameters and of the result of a heartbeat.
type digest struct {
	Digest []membership.Entry `json:"digest"`
}

// report has the form of the parameters of a load report.
type report struct {
	Entry membership.Entry `json:"entry"`
}

// memberEntry returns the entry of one member with values as long as they get in weeks of running.
func memberEntry(i int, load *membership.Load) membership.Entry {
	incarnation := fmt.Sprintf("01JZZZZZZZZZZZZZZZZZZZZZ%02d", i)
	return membership.Entry{
		Name: fmt.Sprintf("entry-%02d", i), Incarnation: incarnation, Counter: 1_000_000, Holders: []string{incarnation},
		Applied: 50_000_000, ConfigVersion: 30_000, LogAgeMillis: 800, AgeMillis: 2_500, Load: load,
	}
}

// ownDigest is what a heartbeat says, memberDigest what its answer says.
func ownDigest(load *membership.Load) digest {
	return digest{Digest: []membership.Entry{memberEntry(0, load)}}
}

func memberDigest(members int) digest {
	var d digest
	for i := range members {
		d.Digest = append(d.Digest, memberEntry(i, nil))
	}
	return d
}

// runningLoad returns a load with running work of each of the first teams in each of the first pools.
func runningLoad(pools, teams int) *membership.Load {
	load := membership.Load{Running: map[string]map[string]int{}}
	for p := range pools {
		running := map[string]int{}
		for t := range teams {
			running[configgen.TeamName((p+t)%Target.Teams)] = 1 + (p+t)%3
		}
		load.Running[configgen.PoolName(p)] = running
	}
	return &load
}

// HeartbeatCost is one heartbeat with its answer, or one load report with its answer.
type HeartbeatCost struct {
	Members int `json:"members"`
	Pools   int `json:"pools"`
	Teams   int `json:"teams_per_pool"`
	// Cells is the number of pairs of pool and team with running work.
	Cells       int     `json:"cells"`
	Request     int     `json:"request_bytes"`
	Answer      int     `json:"answer_bytes"`
	Report      int     `json:"load_report_bytes"`
	PerSecond   float64 `json:"bytes_per_second"`
	WithReports float64 `json:"bytes_per_second_with_load_reports"`
}

// measureHeartbeat counts the bytes of the messages. The sums are those of one entry instance, sent and received: each
// sends 3 heartbeats a second and gets as many on average.
func measureHeartbeat(members, pools, teams int) (HeartbeatCost, error) {
	cost := HeartbeatCost{Members: members, Pools: pools, Teams: teams, Cells: pools * teams}
	load := runningLoad(pools, teams)
	var err error
	if cost.Request, err = requestBytes("heartbeat", ownDigest(load)); err != nil {
		return cost, err
	}
	if cost.Answer, err = answerBytes(memberDigest(members)); err != nil {
		return cost, err
	}
	if cost.Report, err = requestBytes("load_report", report{Entry: memberEntry(0, load)}); err != nil {
		return cost, err
	}
	empty, err := answerBytes(struct{}{})
	if err != nil {
		return cost, err
	}
	cost.PerSecond = 2 * heartbeatsPerSecond * float64(cost.Request+cost.Answer)
	cost.WithReports = cost.PerSecond + 2*loadReportsPerSecond*float64(cost.Report+empty)
	return cost, nil
}

func encodeRequest(method string, params any) ([]byte, error) {
	request := jsonrpc2.Request{Method: method, ID: jsonrpc2.ID{Num: 1_000_000}}
	if err := request.SetParams(params); err != nil {
		return nil, err
	}
	return json.Marshal(&request)
}

// requestBytes and answerBytes count a message with the line end that membership puts after it.
func requestBytes(method string, params any) (int, error) {
	encoded, err := encodeRequest(method, params)
	return len(encoded) + 1, err
}

func answerBytes(result any) (int, error) {
	response := jsonrpc2.Response{ID: jsonrpc2.ID{Num: 1_000_000}}
	if err := response.SetResult(result); err != nil {
		return 0, err
	}
	encoded, err := json.Marshal(&response)
	return len(encoded) + 1, err
}

// heartbeatSlopes fits the bytes of the messages over members and over cells.
func heartbeatSlopes() ([]Slope, error) {
	var byMember, byCell []Point
	for _, members := range []int{3, 6, 9, 18} {
		cost, err := measureHeartbeat(members, 0, 0)
		if err != nil {
			return nil, err
		}
		byMember = append(byMember, Point{float64(members), float64(cost.Answer)})
	}
	for _, size := range [][2]int{{6, 6}, {15, 12}, {25, 18}, {38, 20}} {
		cost, err := measureHeartbeat(Target.Holders, size[0], size[1])
		if err != nil {
			return nil, err
		}
		byCell = append(byCell, Point{float64(cost.Cells), float64(cost.Request)})
	}
	return []Slope{
		{Quantity: "heartbeat answer", Unit: "B", Per: "member", Line: Fit(byMember)},
		{Quantity: "heartbeat request", Unit: "B", Per: "pair of pool and team", Line: Fit(byCell)},
	}, nil
}

// measureHeartbeatCPU exchanges heartbeats over loopback. An entry instance is the caller as often as it is the called
// side, so the processor time of both ends is what it spends for each heartbeat that it sends.
func measureHeartbeatCPU(ctx context.Context, rounds, n, members, pools, teams int) (Spread, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return Spread{}, fmt.Errorf("listen on loopback: %w", err)
	}
	defer listener.Close()
	answer := memberDigest(members)
	serve := func(_ context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
		var got digest
		if err := json.Unmarshal(*r.Params, &got); err != nil {
			return nil, err
		}
		return answer, nil
	}
	served := make(chan *jsonrpc2.Conn, 1)
	go func() {
		defer close(served)
		if conn, err := listener.Accept(); err == nil {
			served <- jsonrpc2.NewConn(ctx, jsonrpc2.NewPlainObjectStream(conn), jsonrpc2.HandlerWithError(serve))
		}
	}()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		return Spread{}, fmt.Errorf("dial over loopback: %w", err)
	}
	client := jsonrpc2.NewConn(ctx, jsonrpc2.NewPlainObjectStream(conn), jsonrpc2.HandlerWithError(serve))
	defer client.Close()
	if server := <-served; server != nil {
		defer server.Close()
	}
	load := runningLoad(pools, teams)
	return cpuPer(rounds, n, func() error {
		for range n {
			var got digest
			if err := client.Call(ctx, "heartbeat", ownDigest(load), &got); err != nil {
				return err
			}
		}
		return nil
	})
}
