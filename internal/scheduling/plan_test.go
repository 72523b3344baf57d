package scheduling

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"pollenlead/internal/fleet"
	"pollenlead/internal/workload"
)

func newWorker(id string, free int64) *Worker {
	return &Worker{ID: id, Capacity: fleet.Resources{CPUMilli: 32000, MemoryMB: 65536}, Free: fleet.Resources{CPUMilli: free, MemoryMB: 65536}}
}

func want(id string, tier Tier, step fleet.Step) Want {
	j := workload.NewJob(id, "q", "pool", "team", &fleet.JobSpec{Steps: []fleet.Step{step}}, moment)
	j.Advance(moment, 0)
	s := j.Occurrences[0].Steps[0]
	return Want{Step: s, Tasks: s.Tasks, Rank: Rank{Tier: tier}}
}

// TestHopelessWorkComesLast replays a burst: work that has missed its objective must not take the room of work that can still meet it.
func TestHopelessWorkComesLast(t *testing.T) {
	is := is.New(t)
	need := fleet.Resources{CPUMilli: 2000}
	late := want("late", TierLate, fleet.Step{Count: 4, Need: need})
	onTime := want("on-time", TierOnTime, fleet.Step{Count: 4, Need: need})
	placed := Plan([]*Worker{newWorker("w", 8000)}, []Want{late, onTime}, Limits{})
	is.Equal(len(placed), 4)
	for _, p := range placed {
		is.Equal(p.Task.Step.Job.ID, "on-time")
	}
}

// TestFullestWorkerFirst guards against small tasks that spread over all workers, so that a large one finds no room and no instance
// can be lent.
func TestFullestWorkerFirst(t *testing.T) {
	is := is.New(t)
	workers := []*Worker{newWorker("empty", 32000), newWorker("busy", 10000)}
	placed := Plan(workers, []Want{want("small", TierOnTime, fleet.Step{Count: 5, Need: fleet.Resources{CPUMilli: 2000}})}, Limits{})
	is.Equal(len(placed), 5)
	for _, p := range placed {
		is.Equal(p.Worker.ID, "busy")
	}
}

// TestPlacementRules guards against a task on a worker that must not run it.
func TestPlacementRules(t *testing.T) {
	is := is.New(t)
	need := fleet.Resources{CPUMilli: 1000}
	a, b := newWorker("a", 32000), newWorker("b", 32000)
	b.Labels = []string{"x"}
	placed := Plan([]*Worker{a, b}, []Want{want("label", TierOnTime, fleet.Step{Count: 2, Need: need, RequiredLabel: "x"})}, Limits{})
	is.Equal(len(placed), 2)
	is.Equal(placed[0].Worker.ID, "b")

	placed = Plan([]*Worker{a, b}, []Want{want("spread", TierOnTime, fleet.Step{Count: 5, Need: need, MaxPerWorker: 1})}, Limits{})
	is.Equal(len(placed), 2) // one on each

	ticketed := want("ticket", TierOnTime, fleet.Step{Count: 2, Need: need})
	ticketed.Tickets = map[string]string{"a": "t"}
	placed = Plan([]*Worker{a, b}, []Want{ticketed}, Limits{})
	is.Equal(placed[0].Worker.ID, "a")
	is.Equal(placed[0].Ticket, "t")

	failed := want("failed", TierOnTime, fleet.Step{Count: 1, Need: need})
	failed.Tasks[0].Failures, failed.Tasks[0].FailedOn = 1, "a"
	placed = Plan([]*Worker{a, b}, []Want{failed}, Limits{})
	is.Equal(placed[0].Worker.ID, "b")
}

// TestGangIsPlacedWholeOrNot guards against members of a gang that wait in vain for the others and hold their room.
func TestGangIsPlacedWholeOrNot(t *testing.T) {
	is := is.New(t)
	gang := want("gang", TierOnTime, fleet.Step{Count: 3, Need: fleet.Resources{CPUMilli: 4000}, Gang: true})
	limit := &fleet.Resources{CPUMilli: 100_000, MemoryMB: 1 << 30, GPU: 8}
	w := newWorker("w", 10000)
	is.Equal(len(Plan([]*Worker{w}, []Want{gang}, Limits{"team": limit})), 0)
	is.Equal(w.Free.CPUMilli, int64(10000))  // given back
	is.Equal(limit.CPUMilli, int64(100_000)) // given back
	is.Equal(len(Plan([]*Worker{newWorker("w", 12000)}, []Want{gang}, Limits{"team": limit})), 3)
}

// TestLimitsHold guards against more running than a team's limit, and more on a worker than its capacity, for any mix of work.
func TestLimitsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var workers []*Worker
		for i := range rapid.IntRange(1, 6).Draw(t, "workers") {
			workers = append(workers, newWorker(fmt.Sprint("w", i), rapid.Int64Range(0, 32000).Draw(t, "free")))
		}
		var wants []Want
		for i := range rapid.IntRange(0, 8).Draw(t, "wants") {
			wants = append(wants, want(fmt.Sprint("j", i), Tier(rapid.IntRange(0, 2).Draw(t, "tier")), fleet.Step{
				Count: rapid.IntRange(1, 6).Draw(t, "count"), Need: fleet.Resources{CPUMilli: rapid.Int64Range(1, 9000).Draw(t, "cpu")},
				Gang: rapid.Bool().Draw(t, "gang"), MaxPerWorker: rapid.IntRange(0, 2).Draw(t, "spread"),
			}))
		}
		before := rapid.Int64Range(0, 60000).Draw(t, "limit")
		limit := &fleet.Resources{CPUMilli: before, MemoryMB: 1 << 40, GPU: 8}
		used := int64(0)
		perWorker := map[string]int{}
		for _, p := range Plan(workers, wants, Limits{"team": limit}) {
			s := p.Task.Step
			used += s.Spec.Need.CPUMilli
			perWorker[s.Job.ID+p.Worker.ID]++
			if most := s.Spec.MaxPerWorker; most > 0 && perWorker[s.Job.ID+p.Worker.ID] > most {
				t.Fatalf("%d tasks of %s at %s", perWorker[s.Job.ID+p.Worker.ID], s.Job.ID, p.Worker.ID)
			}
		}
		if used > before || limit.CPUMilli != before-used {
			t.Fatalf("used %d of %d, %d left", used, before, limit.CPUMilli)
		}
		for _, w := range workers {
			if w.Free.CPUMilli < 0 {
				t.Fatalf("worker %s is overfull by %d", w.ID, -w.Free.CPUMilli)
			}
		}
	})
}

func pool(name string, home, size, idle int, used, waiting int64) *BalancePool {
	p := &BalancePool{Name: name, Home: home, Size: size, InstanceCPU: 32000, Capacity: int64(size) * 32000, Used: used, Waiting: waiting}
	for i := range idle {
		p.Idle = append(p.Idle, BalanceInstance{ID: fmt.Sprint(name, i), Kind: "a", IdleFor: time.Minute})
	}
	return p
}

// TestBurstBorrows replays a turn: a pool asks more than it holds while another rests and the standby pool is off.
func TestBurstBorrows(t *testing.T) {
	is := is.New(t)
	busy := pool("busy", 9, 9, 0, 9*32000, 10*32000)
	rests := pool("rests", 10, 10, 9, 32000, 0)
	off := pool("off", 4, 4, 4, 0, 0)
	off.Standby, off.Capacity = true, 0
	moves := Balance([]*BalancePool{busy, rests, off}, DefaultBalance)
	from := map[string]int{}
	for _, m := range moves {
		is.Equal(m.To, "busy")
		from[m.From]++
	}
	is.Equal(from["off"], 4)   // what is switched off goes first
	is.Equal(from["rests"], 3) // it keeps 0.7 of 10
}

// TestIdleGoesHome replays the end of a turn: borrowed instances that are idle are switched off or go back.
func TestIdleGoesHome(t *testing.T) {
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
	is.Equal(to["small"], 2)
	is.Equal(to["off"], 3) // the pool keeps its home size
}

// TestBalanceKeepsItsBounds guards against lending below what a pool keeps, moving an instance twice or moving more than allowed.
func TestBalanceKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var pools []*BalancePool
		keep := map[string]int{}
		for i := range rapid.IntRange(2, 5).Draw(t, "pools") {
			home := rapid.IntRange(1, 12).Draw(t, "home")
			size := rapid.IntRange(0, 20).Draw(t, "size")
			idle := rapid.IntRange(0, size).Draw(t, "idle")
			p := pool(fmt.Sprint("p", i), home, size, idle, int64(size-idle)*32000, rapid.Int64Range(0, 500_000).Draw(t, "waiting"))
			p.Standby = i == 0
			keep[p.Name] = min(size, int(DefaultBalance.KeepPart*float64(home)+0.5))
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
