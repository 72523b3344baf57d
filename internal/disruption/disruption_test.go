package disruption

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// pool returns ten live instances, five in each of the racks a and b, of which 80% must stay available.
func pool(edits ...func(*Pool)) Pool {
	p := Pool{Name: "p", MinAvailablePercent: 80}
	for n := range 10 {
		p.Instances = append(p.Instances, Instance{ID: fmt.Sprint(n), Rack: string('a' + rune(n/5)), Live: true})
	}
	for _, edit := range edits {
		edit(&p)
	}
	return p
}

func down(n int) func(*Pool)    { return func(p *Pool) { p.Instances[n].Down = true } }
func failed(n int) func(*Pool)  { return func(p *Pool) { p.Instances[n].Live = false } }
func moving(n int) func(*Pool)  { return func(p *Pool) { p.Instances[n].Moving = true } }
func gone(n int) func(*Pool)    { return func(p *Pool) { p.Instances = p.Instances[:10-n] } }
func size(n int) func(*Pool)    { return func(p *Pool) { p.Size = n } }
func percent(n int) func(*Pool) { return func(p *Pool) { p.MinAvailablePercent = n } }
func noRacks(p *Pool) {
	for n := range p.Instances {
		p.Instances[n].Rack = ""
	}
}

// TestAllowed guards against a budget that counts an instance as available although it serves nothing, a floor that
// is rounded down or drops when instances fail, and a wave that takes down two racks of a pool at once.
func TestAllowed(t *testing.T) {
	for _, c := range []struct {
		sentence string
		pool     Pool
		instance string
		want     Rule
	}{
		{"a full pool lets an instance go", pool(), "0", RuleWithinBudget},
		{"a second instance of the same rack may go", pool(down(0)), "1", RuleWithinBudget},
		{"an instance of another rack has to wait", pool(down(0)), "5", RuleOtherRackDown},
		{"a third instance would break the floor of eight", pool(down(0), down(1)), "2", RuleFloor},
		{"a failed instance uses the budget", pool(failed(5), down(0)), "1", RuleFloor},
		{"a failed instance does not block other racks", pool(failed(5)), "0", RuleWithinBudget},
		{"a moving instance uses the budget", pool(moving(5), moving(6)), "0", RuleFloor},
		{"instances that left the list use the budget of the declared size", pool(size(10), gone(2)), "0", RuleFloor},
		{"without a declared size the known instances are the baseline", pool(gone(2)), "0", RuleWithinBudget},
		{"a declared size below the known instances keeps the floor", pool(size(5), down(0), down(1)), "2", RuleFloor},
		{"the floor is rounded up", pool(percent(81), down(0)), "1", RuleFloor},
		{"a budget of all instances lets none go", pool(percent(100)), "0", RuleFloor},
		{"a budget of none lets the last one go", pool(percent(0), gone(9)), "0", RuleWithinBudget},
		{"an instance that is down cannot go again", pool(down(0)), "0", RuleAlreadyDown},
		{"a failed instance cannot go", pool(failed(0)), "0", RuleNotLive},
		{"a moving instance cannot go", pool(moving(0)), "0", RuleMoving},
		{"an instance of another pool cannot go", pool(), "x", RuleUnknownInstance},
		{"instances without a known rack go one at a time", pool(noRacks, down(0)), "1", RuleOtherRackDown},
	} {
		t.Run(c.sentence, func(t *testing.T) {
			is := is.New(t)
			d := Allowed(c.pool, c.instance)
			is.Equal(d.Rule, c.want)
			is.Equal(d.Allowed(), c.want == RuleWithinBudget)
		})
	}
}

// TestExplanation guards against an explanation whose figures differ from those of the decision.
func TestExplanation(t *testing.T) {
	is := is.New(t)
	d := Allowed(pool(size(12), down(0)), "1")
	is.Equal(d, Decision{Rule: RuleFloor, Pool: "p", Instance: "1", Baseline: 12, Floor: 10, Available: 9, Rack: "a"})
	is.Equal(d.String(), "pool p has 9 instances available and must keep 10 of 12")
	d = Allowed(pool(down(0)), "5")
	is.Equal(d.String(), `instance 5 is in rack "b", but instance 0 of rack "a" is down in pool p`)
}
