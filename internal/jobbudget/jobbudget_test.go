package jobbudget

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const (
	budget   = 40 << 20
	jobBytes = 5 << 10
)

// fleet is some entry instances and a leader that counts what they have accepted.
type fleet struct {
	Holdings
	gates   []*Gate
	now     time.Duration
	encoded json.RawMessage
}

func newFleet(instances int, shares map[string]float64) *fleet {
	f := &fleet{Holdings: Holdings{Budget: budget, Teams: map[string]int64{}, Shares: shares, Instances: instances}}
	for range instances {
		f.gates = append(f.gates, &Gate{
			Published:  func() json.RawMessage { return f.encoded },
			Leaderless: func() Room { return Holdings{Budget: budget, Shares: shares, Instances: instances}.Room(0) },
			Fraction:   func(team string) float64 { return Fraction(shares, team) },
			Now:        func() time.Duration { return f.now },
		})
	}
	return f
}

// publish lets the leader count all jobs.
func (f *fleet) publish() {
	f.now += 400 * time.Millisecond
	f.encoded, _ = json.Marshal(f.Room(f.now.Milliseconds()))
}

// submit hands in jobs of a team in turn at all instances, and returns how many were accepted.
func (f *fleet) submit(team string, jobs int) (accepted int) {
	for n := range jobs {
		if f.gates[n%len(f.gates)].Admit(team, fmt.Sprint(team, n), jobBytes) == nil {
			f.Teams[team] += jobBytes
			accepted++
		}
	}
	return accepted
}

// TestFloodLeavesRoomForOthers guards against a client account that takes the memory of all others, and against jobs
// that together take more than the budget, whatever the teams and their shares are.
func TestFloodLeavesRoomForOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shares := map[string]float64{"calm": rapid.Float64Range(0.5, 10).Draw(t, "calm")}
		floods := rapid.IntRange(1, 5).Draw(t, "floods")
		for n := range floods {
			shares[fmt.Sprint("flood", n)] = rapid.Float64Range(0.5, 10).Draw(t, "share")
		}
		f := newFleet(rapid.IntRange(1, 40).Draw(t, "instances"), shares)
		for range rapid.IntRange(1, 60).Draw(t, "periods") {
			f.publish()
			for n := range floods {
				f.submit(fmt.Sprint("flood", n), rapid.IntRange(0, 3000).Draw(t, "jobs"))
			}
			if most := budget + int64(len(f.gates)*(floods+1)*jobBytes); f.Total() > most { // the first job of each
				t.Fatalf("%d bytes are held of %d", f.Total(), most)
			}
		}
		if f.own("calm") >= jobBytes && f.submit("calm", 1) != 1 {
			t.Fatal("a team within its own part is refused")
		}
	})
}

// TestJobsCountUntilTheLeaderHasReadThem guards against jobs that are counted by nobody, because the leader had not
// read them when it published.
func TestJobsCountUntilTheLeaderHasReadThem(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, nil)
	f.publish()
	accepted := f.submit("a", 10_000)
	is.True(accepted > 0)
	clear(f.Teams)
	f.publish() // without the jobs of the period before
	is.Equal(f.submit("a", 10_000), 0)
}

// TestLargeJobInALargeDeployment guards against a job within the limits for a job that is never accepted, because the
// part of each of many entry instances is smaller.
func TestLargeJobInALargeDeployment(t *testing.T) {
	is := is.New(t)
	f := newFleet(100, map[string]float64{"calm": 1, "flood": 1})
	const largest = 300 << 10
	f.publish()
	is.Equal(f.gates[0].Admit("calm", "first", largest), nil)
	is.Equal(f.gates[0].Admit("calm", "second", largest), nil) // of the common part
	is.True(f.gates[0].Admit("calm", "third", largest) != nil)
	for range 100 {
		f.publish()
		f.submit("flood", 10_000)
	}
	is.Equal(f.gates[1].Admit("calm", "fourth", largest), nil)
}

// TestFreedRoomIsGivenAgain guards against refusals that last after the jobs have ended.
func TestFreedRoomIsGivenAgain(t *testing.T) {
	is := is.New(t)
	f := newFleet(3, map[string]float64{"a": 1, "b": 1})
	for range 100 {
		f.publish()
		f.submit("a", 3000)
	}
	is.Equal(f.submit("a", 30), 0)
	clear(f.Teams)
	f.publish()
	f.publish()
	is.Equal(f.submit("a", 30), 30)
}

// TestChangeOfLeaderIsNoFreshStart guards against entry instances that accept as much as they like while no leader
// counts, and against ones that refuse everything beside a leader of an earlier version, which publishes nothing.
func TestChangeOfLeaderIsNoFreshStart(t *testing.T) {
	is := is.New(t)
	f := newFleet(2, map[string]float64{"a": 1, "b": 1})
	is.True(f.submit("a", 10_000) < 2000) // before any leader is known
	f.publish()
	f.submit("a", 10_000)
	for range 9 {
		f.now += time.Second
		is.Equal(f.submit("a", 100), 0)
	}
	f.now += 2 * time.Second
	is.Equal(f.submit("a", 100), 100)
}

// TestReturnsAreSpread guards against refused jobs that all return in the same second.
func TestReturnsAreSpread(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, nil)
	f.encoded = json.RawMessage(`{"n":1,"each":1}`)
	seconds := map[time.Duration]int{}
	for n := range 1000 {
		r := f.gates[0].Admit("a", fmt.Sprint(n), jobBytes)
		is.True(r.RetryAfter >= minRetry && r.RetryAfter <= minRetry+retrySpread)
		seconds[r.RetryAfter.Truncate(time.Second)]++
	}
	for _, n := range seconds {
		is.True(n < 250)
	}
}
