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

// The message rates of package membership: one heartbeat per second to each of 3 peers, and at most one load report to
// each of 3 peers between two heartbeats.
const (
	heartbeatsPerSecond  = 3
	loadReportsPerSecond = 3
)

// digest is the JSON form of the parameters and of the result of a heartbeat.
type digest struct {
	Digest []membership.Entry `json:"digest"`
}

// loadReport is the JSON form of the parameters of a load report.
type loadReport struct {
	Entry membership.Entry `json:"entry"`
}

// memberEntry returns the entry of one member. Its numbers have as many digits as after weeks of operation.
func memberEntry(i int, load *membership.Load) membership.Entry {
	incarnation := fmt.Sprintf("01JZZZZZZZZZZZZZZZZZZZZZ%02d", i)
	return membership.Entry{
		Name: fmt.Sprintf("entry-%02d", i), Incarnation: incarnation, Counter: 1_000_000, Holders: []string{incarnation},
		Applied: 50_000_000, ConfigVersion: 30_000, LogAgeMillis: 800, AgeMillis: 2_500, Load: load,
	}
}

// heartbeatParams returns the parameters of a heartbeat: the sender's own entry.
func heartbeatParams(load *membership.Load) digest {
	return digest{Digest: []membership.Entry{memberEntry(0, load)}}
}

// heartbeatResult returns the result of a heartbeat: the entries of all members.
func heartbeatResult(members int) digest {
	var d digest
	for i := range members {
		d.Digest = append(d.Digest, memberEntry(i, nil))
	}
	return d
}

// runningLoad returns a load in which each of the given number of teams has running work in each of the given number of
// pools.
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

// HeartbeatCost holds the sizes of a heartbeat, its response and a load report, and the resulting traffic.
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

// measureHeartbeat counts the bytes of the messages. The traffic is that of one entry instance, sent and received. Each
// instance sends 3 heartbeats per second and receives as many on average.
func measureHeartbeat(members, pools, teams int) (HeartbeatCost, error) {
	cost := HeartbeatCost{Members: members, Pools: pools, Teams: teams, Cells: pools * teams}
	load := runningLoad(pools, teams)
	var err error
	if cost.Request, err = requestBytes("heartbeat", heartbeatParams(load)); err != nil {
		return cost, err
	}
	if cost.Answer, err = answerBytes(heartbeatResult(members)); err != nil {
		return cost, err
	}
	if cost.Report, err = requestBytes("load_report", loadReport{Entry: memberEntry(0, load)}); err != nil {
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

// requestBytes returns the size of a request with the newline that membership appends.
func requestBytes(method string, params any) (int, error) {
	encoded, err := encodeRequest(method, params)
	return len(encoded) + 1, err
}

// answerBytes returns the size of a response with the newline that membership appends.
func answerBytes(result any) (int, error) {
	response := jsonrpc2.Response{ID: jsonrpc2.ID{Num: 1_000_000}}
	if err := response.SetResult(result); err != nil {
		return 0, err
	}
	encoded, err := json.Marshal(&response)
	return len(encoded) + 1, err
}

// heartbeatSlopes fits the sizes of the messages over the number of members and of cells.
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

// measureHeartbeatCPU measures the processor time of heartbeats over loopback. An entry instance receives as many
// heartbeats as it sends, so its cost for each sent heartbeat is the processor time of both ends.
func measureHeartbeatCPU(ctx context.Context, rounds, n, members, pools, teams int) (Spread, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return Spread{}, fmt.Errorf("listen on loopback: %w", err)
	}
	defer listener.Close()
	answer := heartbeatResult(members)
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
			if err := client.Call(ctx, "heartbeat", heartbeatParams(load), &got); err != nil {
				return err
			}
		}
		return nil
	})
}
