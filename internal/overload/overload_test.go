package overload

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestShareIsExact guards against a team that gets more of a full fleet than its share by sending in bursts or by
// pausing, and against counting jobs within a share as excess.
func TestShareIsExact(t *testing.T) {
	is := is.New(t)
	r := NewRates()
	admitted := 0
	for i := range 4000 { // 400 jobs per second for 10 s
		if r.Admit("hot", 20, time.Duration(i)*10*time.Second/4000) {
			admitted++
		}
	}
	is.True(admitted >= 200 && admitted <= 221)
	for i := range 100 {
		is.True(r.Admit("calm", 20, time.Duration(i)*100*time.Millisecond))
	}
	fractions := r.ExcessFractions(10 * time.Second)
	is.True(fractions["hot"] > 0.9)
	is.Equal(fractions["calm"], 0.0)
	is.True(r.Admit("", 0, 0)) // a public queue
	is.True(r.Admit("hot", 20, 20*time.Second))
}

// TestStepOfAClockAddsNothing guards against a clock that jumps back and forth and fills a team's bucket each time.
func TestStepOfAClockAddsNothing(t *testing.T) {
	is := is.New(t)
	r := NewRates()
	admitted := 0
	for i := range 200 {
		if r.Admit("hot", 10, time.Duration(10+i%2*2)*time.Second) {
			admitted++
		}
	}
	is.True(admitted <= 20)
}

func encode(is *is.I, s State) json.RawMessage {
	encoded, err := s.Encode()
	is.NoErr(err)
	return encoded
}

// shedHalf refuses half of the jobs of one team.
var shedHalf = State{"queue": {Teams: map[string]float64{"hot": 0.5}, RetryMillis: 3000}}

// TestEntryInstancesDecideAlike guards against entry instances that decide differently about the same job, so that a
// client finds one that takes what the others refuse, and against refusing what is within a share.
func TestEntryInstancesDecideAlike(t *testing.T) {
	is := is.New(t)
	published := func() (json.RawMessage, time.Duration) { return encode(is, shedHalf), time.Second }
	a, b := Gate{Published: published}, Gate{Published: published}
	refused, retries := 0, map[time.Duration]int{}
	for i := range 1000 {
		id := fmt.Sprintf("%016x", i)
		x, y := a.Refuse("queue", "hot", id), b.Refuse("queue", "hot", id)
		is.Equal(x, y)
		is.Equal(a.Refuse("queue", "calm", id), nil)
		is.Equal(a.Refuse("other", "hot", id), nil)
		if x != nil {
			refused++
			retries[x.RetryAfter.Truncate(time.Second)]++
			is.True(x.RetryAfter >= 3*time.Second && x.RetryAfter <= 6*time.Second)
		}
	}
	is.True(refused > 450 && refused < 550)
	for _, n := range retries {
		is.True(n < refused/2) // they do not return all at once
	}
}

// TestStaleStateRefusesNothing guards against refusals without a leader: after its death, while an entry instance is
// cut off from the store, and after a record that cannot be decoded.
func TestStaleStateRefusesNothing(t *testing.T) {
	is := is.New(t)
	refusals := func(encoded json.RawMessage, age time.Duration) int {
		g := Gate{Published: func() (json.RawMessage, time.Duration) { return encoded, age }}
		n := 0
		for i := range 100 {
			if g.Refuse("queue", "hot", fmt.Sprintf("%016x", i)) != nil {
				n++
			}
		}
		return n
	}
	is.True(refusals(encode(is, shedHalf), maxAge) > 0)
	is.Equal(refusals(encode(is, shedHalf), maxAge+time.Millisecond), 0)
	is.Equal(refusals(nil, 0), 0)
	is.Equal(refusals(json.RawMessage(`["queue"]`), 0), 0)
	is.Equal(encode(is, State{}), nil)
}

// TestOnlyExcessIsShed guards against refusing work while the queue can serve it in time, and against a state that
// alternates while the load is near the limit.
func TestOnlyExcessIsShed(t *testing.T) {
	is := is.New(t)
	excess := map[string]float64{"hot": 0.7, "nearly": 0.001}
	load := func(wait time.Duration) map[string]QueueLoad {
		return map[string]QueueLoad{"queue": {Wait: wait, OnTime: time.Second}}
	}
	is.Equal(len(Next(nil, load(900*time.Millisecond), excess)), 0)
	is.Equal(len(Next(nil, load(2*time.Second), nil)), 0)
	s := Next(nil, load(2*time.Second), excess)
	is.Equal(s["queue"], Shedding{Teams: map[string]float64{"hot": 0.7}, RetryMillis: 2000})
	is.Equal(len(Next(s, load(900*time.Millisecond), excess)), 1)
	is.Equal(len(Next(s, load(400*time.Millisecond), excess)), 0)
}

// TestEncodedStateIsBounded guards against a heartbeat that the store refuses, or that loads all entry instances,
// because many teams are beyond their shares at many queues, and against a bound that drops the whole state.
func TestEncodedStateIsBounded(t *testing.T) {
	is := is.New(t)
	excess, loads := map[string]float64{}, map[string]QueueLoad{}
	for i := range 300 {
		excess[fmt.Sprintf("team-%03d", i)] = float64(i+1) / 400
		loads[fmt.Sprintf("queue-%03d", i)] = QueueLoad{Wait: time.Duration(i+2) * time.Second, OnTime: time.Second}
	}
	encoded := encode(is, Next(nil, loads, excess))
	is.True(len(encoded) <= maxEncodedBytes)
	var s State
	is.NoErr(json.Unmarshal(encoded, &s))
	is.Equal(s["queue-299"].Teams["team-299"], 0.75) // the longest wait and the largest excess
}

// TestRetriesAreSpread guards against refused jobs that all return in the same second because the expected wait is
// shorter or longer than the bounds of Retry-After.
func TestRetriesAreSpread(t *testing.T) {
	is := is.New(t)
	for _, wait := range []time.Duration{0, time.Second, 3 * time.Second, 9 * time.Second, time.Minute, math.MaxInt64} {
		s := State{"queue": {Teams: map[string]float64{"hot": 0.9}, RetryMillis: wait.Milliseconds()}}
		refused, seconds := 0, map[float64]int{}
		for i := range 1000 {
			if x := s.Refuse("queue", "hot", fmt.Sprintf("%016x", i), 0); x != nil {
				refused++
				seconds[math.Ceil(x.RetryAfter.Seconds())]++
				is.True(x.RetryAfter >= minRetry && x.RetryAfter <= maxRetry)
			}
		}
		for _, n := range seconds {
			is.True(n < refused*2/3)
		}
	}
}

// TestShareOfAVeryHotTeamIsTaken guards against refusing all jobs of a team that submits hundreds of times its share.
func TestShareOfAVeryHotTeamIsTaken(t *testing.T) {
	is := is.New(t)
	r := NewRates()
	for i := range 4000 {
		r.Admit("hot", 1, time.Duration(i)*time.Second/400)
	}
	loads := map[string]QueueLoad{"queue": {Wait: 2 * time.Second, OnTime: time.Second}}
	fraction := Next(nil, loads, r.ExcessFractions(10*time.Second))["queue"].Teams["hot"]
	is.True(fraction > 0.9 && fraction < 1)
}

// TestFirstJobOfASmallShare guards against counting the first job of a team as excess because its share is less than
// one job per second.
func TestFirstJobOfASmallShare(t *testing.T) {
	is := is.New(t)
	r := NewRates()
	is.True(r.Admit("small", 0.5, time.Second))
	is.True(!r.Admit("small", 0.5, 2*time.Second))
	is.True(r.Admit("small", 0.5, 3*time.Second))
}

// TestSheddingEndsWithTheExcess guards against refusing most jobs of a team for seconds after it has returned to its
// share. Refused jobs are not counted, as the leader does not see them.
func TestSheddingEndsWithTheExcess(t *testing.T) {
	const (
		share     = 10
		burstEnd  = 5 * time.Second
		heartbeat = 400 * time.Millisecond
	)
	is := is.New(t)
	r, s := NewRates(), State{}
	loads := map[string]QueueLoad{"queue": {Wait: 2 * time.Second, OnTime: time.Second}}
	refusedInBurst, interval := 0, 10*time.Millisecond
	for now, published := time.Duration(0), time.Duration(0); now < 2*burstEnd; now += interval {
		if now >= burstEnd {
			interval = 125 * time.Millisecond
		}
		if now >= published {
			s, published = Next(s, loads, r.ExcessFractions(now)), now+heartbeat
		}
		if s.Refuse("queue", "hot", fmt.Sprintf("%016x", now), 0) == nil {
			r.Admit("hot", share, now)
			continue
		}
		if now < burstEnd {
			refusedInBurst++
		}
		is.True(now <= burstEnd+arrivalWindow+2*heartbeat)
	}
	is.True(refusedInBurst > 200)
}
