// Package disruption decides whether an instance may be taken out of its pool. It is the only place that counts
// available instances for that purpose; all code that takes instances out of service calls it.
package disruption

import "fmt"

// Instance is the state of one instance of a pool, as far as the availability budget needs it.
type Instance struct {
	ID string
	// Rack is the failure domain within a zone. An instance without a known rack shares a rack with no other
	// instance.
	Rack string
	// Live means that the platform lists the instance as live and it has not failed.
	Live bool
	// Moving means that the instance is being moved to another pool.
	Moving bool
	// Down means that the instance is down for maintenance.
	Down bool
}

// Available reports whether the instance counts towards the pool's budget.
func (i Instance) Available() bool { return i.Live && !i.Moving && !i.Down }

// Pool is a pool with its budget and all instances that are known to belong to it, including unavailable ones.
type Pool struct {
	Name string
	// Size is the declared number of instances, or 0 if none is declared.
	Size                int
	MinAvailablePercent int
	// AnyRack means that instances of several racks may be down at once.
	AnyRack   bool
	Instances []Instance
}

// Baseline returns the number of instances that the percentage refers to. Including the declared size keeps the floor
// from dropping when instances fail and leave the list.
func (p Pool) Baseline() int { return max(p.Size, len(p.Instances)) }

// Floor returns the number of instances that must stay available.
func (p Pool) Floor() int { return (p.Baseline()*p.MinAvailablePercent + 99) / 100 }

// Available returns the number of available instances.
func (p Pool) Available() int {
	n := 0
	for _, i := range p.Instances {
		if i.Available() {
			n++
		}
	}
	return n
}

// Rule identifies the rule that determined a decision.
type Rule string

// The rules, in the order in which they are checked. Only RuleWithinBudget allows the instance to go down.
const (
	RuleUnknownInstance Rule = "unknown_instance"
	RuleAlreadyDown     Rule = "already_down"
	RuleNotLive         Rule = "not_live"
	RuleMoving          Rule = "moving"
	RuleOtherRackDown   Rule = "other_rack_down"
	RuleFloor           Rule = "availability_floor"
	RuleWithinBudget    Rule = "within_budget"
)

// Decision explains whether an instance may go down.
type Decision struct {
	Rule     Rule   `json:"rule"`
	Pool     string `json:"pool"`
	Instance string `json:"instance"`
	Baseline int    `json:"baseline"`
	Floor    int    `json:"floor"`
	// Available is the number of available instances before the instance goes down.
	Available int `json:"available"`
	// Rack is the rack of the instance. DownRack and DownInstance identify the instance of another rack that prevents
	// it from going down.
	Rack         string `json:"rack,omitempty"`
	DownRack     string `json:"down_rack,omitempty"`
	DownInstance string `json:"down_instance,omitempty"`
}

// Allowed reports whether the instance may go down.
func (d Decision) Allowed() bool { return d.Rule == RuleWithinBudget }

// String explains the decision in one sentence.
func (d Decision) String() string {
	switch d.Rule {
	case RuleUnknownInstance:
		return fmt.Sprintf("instance %s is not in pool %s", d.Instance, d.Pool)
	case RuleAlreadyDown:
		return fmt.Sprintf("instance %s is down for maintenance already", d.Instance)
	case RuleNotLive:
		return fmt.Sprintf("instance %s is not live", d.Instance)
	case RuleMoving:
		return fmt.Sprintf("instance %s is moving to another pool", d.Instance)
	case RuleOtherRackDown:
		return fmt.Sprintf("instance %s is in rack %q, but instance %s of rack %q is down in pool %s",
			d.Instance, d.Rack, d.DownInstance, d.DownRack, d.Pool)
	case RuleFloor:
		return fmt.Sprintf("pool %s has %d instances available and must keep %d of %d",
			d.Pool, d.Available, d.Floor, d.Baseline)
	default:
		return fmt.Sprintf("pool %s keeps %d instances available and needs %d of %d",
			d.Pool, d.Available-1, d.Floor, d.Baseline)
	}
}

// Allowed decides whether one more instance of the pool may go down now.
func Allowed(p Pool, instance string) Decision {
	d := Decision{Pool: p.Name, Instance: instance, Baseline: p.Baseline(), Floor: p.Floor(), Available: p.Available()}
	at := -1
	for n, i := range p.Instances {
		if i.ID == instance {
			at = n
		}
	}
	if at < 0 {
		d.Rule = RuleUnknownInstance
		return d
	}
	asked := p.Instances[at]
	d.Rack = asked.Rack
	switch {
	case asked.Down:
		d.Rule = RuleAlreadyDown
	case !asked.Live:
		d.Rule = RuleNotLive
	case asked.Moving:
		d.Rule = RuleMoving
	case !p.AnyRack && otherRackDown(p, asked, &d):
		d.Rule = RuleOtherRackDown
	case d.Available-1 < d.Floor:
		d.Rule = RuleFloor
	default:
		d.Rule = RuleWithinBudget
	}
	return d
}

// otherRackDown reports whether an instance of another rack is down, and records it in d.
func otherRackDown(p Pool, asked Instance, d *Decision) bool {
	for _, i := range p.Instances {
		if i.Down && (i.Rack != asked.Rack || i.Rack == "") {
			d.DownRack, d.DownInstance = i.Rack, i.ID
			return true
		}
	}
	return false
}
