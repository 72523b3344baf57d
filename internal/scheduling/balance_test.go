package scheduling

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func pool(name string, home, size, idle int, used, waiting int64) *BalancePool {
	p := &BalancePool{Name: name, HomeSize: home, Size: size, InstanceCPU: 32000, Used: used, Waiting: waiting}
	for i := range idle {
		p.Idle = append(p.Idle, BalanceInstance{ID: fmt.Sprint(name, i), Kind: "a", IdleFor: time.Minute})
	}
	return p
}

// TestBalanceServesBurst guards against a pool that stays short of instances while another pool is nearly idle and a
// standby pool holds switched-off instances.
func TestBalanceServesBurst(t *testing.T) {
	is := is.New(t)
	busy := pool("busy", 9, 9, 0, 9*32000, 10*32000)
	rests := pool("rests", 10, 10, 9, 32000, 0)
	off := pool("off", 4, 4, 4, 0, 0)
	off.Standby = true
	moves := Balance([]*BalancePool{busy, rests, off}, DefaultBalance)
	var from []string
	for _, m := range moves {
		is.Equal(m.To, "busy")
		from = append(from, m.From)
	}
	// The idle pool gives its surplus above the reserve of 6, then the standby pool its instances, then the idle pool
	// its reserve down to 4.
	is.Equal(from, []string{"rests", "rests", "rests", "rests", "off", "off", "off", "off", "rests", "rests"})
}

// lead is the time until an instance that is ordered now accepts tasks.
const lead = 1700 * time.Millisecond

// TestRisingDemandOrdersEarly guards against a pool that orders instances only when its own are full; the ordered
// instances arrive 1.5 s later.
func TestRisingDemandOrdersEarly(t *testing.T) {
	is := is.New(t)
	var inflow Inflow
	at := time.Duration(0)
	for ; at < 8*time.Second; at += 100 * time.Millisecond {
		inflow.Add(3200, time.Second, at) // 32 cores
	}
	calm := inflow.Expected(at, lead)
	is.True(calm > 25_000 && calm < 40_000)
	for range 10 { // one second at ten times the rate
		inflow.Add(32_000, time.Second, at)
		at += 100 * time.Millisecond
	}
	rises := pool("rises", 5, 5, 4, 32000, 0)
	rises.Inflow = inflow.Expected(at, lead)
	off := pool("off", 10, 10, 10, 0, 0)
	off.Standby = true
	is.True(len(Balance([]*BalancePool{rises, off}, DefaultBalance)) >= 5) // while the pool's own instances are idle
	for range 60 {
		inflow.Add(3200, time.Second, at)
		at += 100 * time.Millisecond
	}
	is.True(inflow.Expected(at, lead) < 45_000) // the expectation falls again
}

// TestExpectedLeadsDemandRamp guards against instances that arrive after the demand. It replays the start of a burst
// of coulee-till-grown in jobs per second: the order has to be given as far ahead of the demand as instances take to
// arrive.
func TestExpectedLeadsDemandRamp(t *testing.T) {
	is := is.New(t)
	const work, chain = 25_000, time.Second // 25 cores for a second
	var inflow Inflow
	at := time.Duration(0)
	add := func(jobs int) {
		for range jobs {
			inflow.Add(work, chain, at)
			at += time.Second / time.Duration(jobs)
		}
	}
	for _, jobs := range []int{2, 1, 2, 8, 40, 78} {
		add(jobs)
	}
	demand := int64(123 * work) // one second later, about the time that an order takes
	is.True(inflow.Expected(at, lead) > demand*8/10)
	is.True(inflow.Expected(at, lead) < demand*13/10)
	add(123)
	add(125)
	add(120)
	is.True(inflow.Expected(at, lead) < demand*13/10) // no overshoot on the plateau
}

// TestOneLargeJobDoesNotInflateExpected guards against ordering many instances for one job: its work is spread over
// its duration.
func TestOneLargeJobDoesNotInflateExpected(t *testing.T) {
	is := is.New(t)
	var inflow Inflow
	inflow.Add(200_000, 4*time.Second, time.Second) // 50 cores for 4 s
	is.True(inflow.Expected(time.Second, lead) < 2*50_000*2)
}

// TestIdleInstancesAreSwitchedOff guards against idle instances that stay in a pool after a burst: they go to a pool
// that needs them, and those above the reserve are switched off.
func TestIdleInstancesAreSwitchedOff(t *testing.T) {
	is := is.New(t)
	after := pool("after", 9, 14, 6, 0, 0)
	small := pool("small", 10, 8, 0, 8*32000, 0)
	off := pool("off", 4, 1, 1, 0, 0)
	off.Standby = true
	to := map[string]int{}
	for _, m := range Balance([]*BalancePool{after, small, off}, DefaultBalance) {
		is.Equal(m.From, "after")
		to[m.To]++
	}
	is.Equal(to["small"], 1) // its work fills 8 of 9
	is.Equal(to["off"], 5)   // 8 stay, more than the reserve of 6, because the others are not idle
}

// TestIdleInstancesReturnWithoutStandby guards against instances that stay in a pool above its home size when there
// is no standby pool, and against needless moves out of a pool below its home size.
func TestIdleInstancesReturnWithoutStandby(t *testing.T) {
	is := is.New(t)
	after := pool("after", 9, 14, 10, 0, 0)
	small := pool("small", 10, 7, 5, 0, 0)
	moves := Balance([]*BalancePool{after, small}, DefaultBalance)
	is.Equal(len(moves), 3)
	is.Equal(after.Size, 11)
	is.Equal(small.Size, 10)
}

// TestBrieflyIdleInstancesStay guards against switching off an instance between two tasks.
func TestBrieflyIdleInstancesStay(t *testing.T) {
	is := is.New(t)
	p := pool("p", 4, 10, 10, 0, 0)
	for i := range p.Idle {
		p.Idle[i].IdleFor = DefaultBalance.MinIdleTime - time.Millisecond
	}
	off := pool("off", 1, 0, 0, 0, 0)
	off.Standby = true
	is.Equal(len(Balance([]*BalancePool{p, off}, DefaultBalance)), 0)
}

// TestBalanceBounds guards against moves that take a pool below its minimum, move an instance twice or exceed
// MaxMoves.
func TestBalanceBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var pools []*BalancePool
		keep := map[string]int{}
		b := balance{policy: DefaultBalance}
		for i := range rapid.IntRange(2, 5).Draw(t, "pools") {
			home := rapid.IntRange(1, 12).Draw(t, "home")
			size := rapid.IntRange(0, 20).Draw(t, "size")
			idle := rapid.IntRange(0, size).Draw(t, "idle")
			waiting := rapid.Int64Range(0, 500_000).Draw(t, "waiting")
			p := pool(fmt.Sprint("p", i), home, size, idle, int64(size-idle)*32000, waiting)
			p.Inflow = rapid.Int64Range(0, 500_000).Draw(t, "inflow")
			p.Standby = i == 0
			keep[p.Name] = min(size, b.minKept(p))
			pools = append(pools, p)
		}
		moved := map[string]bool{}
		moves := Balance(pools, DefaultBalance)
		for _, m := range moves {
			if moved[m.Instance] || m.From == m.To {
				t.Fatalf("move %v is repeated or goes nowhere", m)
			}
			moved[m.Instance] = true
		}
		if len(moves) > DefaultBalance.MaxMoves {
			t.Fatalf("%d moves", len(moves))
		}
		for _, p := range pools {
			if !p.Standby && p.Size < keep[p.Name] {
				t.Fatalf("pool %s keeps %d of at least %d", p.Name, p.Size, keep[p.Name])
			}
		}
	})
}

// TestEvacuatedInstancesAreSwitchedOff guards against instances of an evacuated zone that stay idle in a pool, that are
// lent to a pool whose work cannot start there, or whose orders delay those for waiting work.
func TestEvacuatedInstancesAreSwitchedOff(t *testing.T) {
	is := is.New(t)
	busy, calm, off := pool("busy", 4, 4, 0, 32000, 0), pool("calm", 4, 3, 0, 32000, 0), pool("off", 0, 0, 0, 0, 0)
	off.Standby = true
	for range 10 {
		calm.Evacuated = append(calm.Evacuated, BalanceInstance{ID: "idle", Kind: "a", IdleFor: time.Minute})
	}
	calm.Evacuated[0] = BalanceInstance{ID: "recent", Kind: "a"}
	moves := Balance([]*BalancePool{busy, calm, off}, DefaultBalance)
	is.Equal(len(moves), DefaultBalance.MaxMoves/4)
	is.Equal(moves[0], Move{Instance: "idle", From: "calm", To: "off"})
	is.Equal(len(Balance([]*BalancePool{busy, calm}, DefaultBalance)), 0) // nothing is switched off
	busy.Waiting = 5 * 32000
	is.Equal(len(Balance([]*BalancePool{busy, calm, off}, DefaultBalance)), 0)
}

// TestMissingLabelBringsAnInstance guards against accepted work that never runs because all instances of the kind that
// it needs are switched off, while its pool has processor time to spare.
func TestMissingLabelBringsAnInstance(t *testing.T) {
	is := is.New(t)
	labelled := func(p *BalancePool, kinds ...string) *BalancePool {
		for i := range p.Idle {
			p.Idle[i].Kind, p.Idle[i].Labels = kinds[i], []string{kinds[i], "r1"}
		}
		return p
	}
	short := pool("short", 3, 3, 0, 3000, 0)
	short.MissingLabels = []string{"big", "none has it"}
	other := labelled(pool("other", 2, 2, 2, 0, 0), "big", "small")
	off := labelled(pool("off", 2, 2, 2, 0, 0), "small", "big")
	off.Standby = true
	is.Equal(Balance([]*BalancePool{short, other, off}, DefaultBalance), []Move{{"off1", "off", "short"}})
}
