package config

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// Kind is what a change concerns.
type Kind string

// The kinds of changes.
const (
	KindLimitChanged         Kind = "limit_changed"
	KindMaintenanceChanged   Kind = "maintenance_changed"
	KindPoolAdded            Kind = "pool_added"
	KindPoolRemoved          Kind = "pool_removed"
	KindPoolMembersChanged   Kind = "pool_members_changed"
	KindPoolSpareChanged     Kind = "pool_spare_changed"
	KindPoolSizeChanged      Kind = "pool_size_changed"
	KindBudgetChanged        Kind = "budget_changed"
	KindServiceAdded         Kind = "service_added"
	KindServiceRemoved       Kind = "service_removed"
	KindServiceChanged       Kind = "service_changed"
	KindTeamAdded            Kind = "team_added"
	KindTeamRemoved          Kind = "team_removed"
	KindTeamShareChanged     Kind = "team_share_changed"
	KindTeamUpperLimitRaised Kind = "team_upper_limit_raised"
	KindTeamUpperLimitCut    Kind = "team_upper_limit_lowered"
	KindTeamUrgentChanged    Kind = "team_urgent_changed"
	KindKeyAdded             Kind = "key_added"
	KindKeyWithdrawn         Kind = "key_withdrawn"
	KindKeyReplaced          Kind = "key_replaced"
	KindQueueAdded           Kind = "queue_added"
	KindQueueRemoved         Kind = "queue_removed"
	KindQueueChanged         Kind = "queue_changed"
	KindOperatorAdded        Kind = "operator_added"
	KindOperatorRemoved      Kind = "operator_removed"
	KindOperatorRoleChanged  Kind = "operator_role_changed"
)

// Severity says how closely an operator should look at a change before publishing.
type Severity string

// The severities. A warning marks a change that makes work be refused that was accepted before, or that lets maintenance or a
// person do more than before.
const (
	SeverityInfo    Severity = "info"
	SeverityWarning Severity = "warning"
)

// Change is one difference between two documents.
type Change struct {
	Kind     Kind     `json:"kind"`
	Object   string   `json:"object"` // name of the pool, service, team, queue or operator, ID of the key, or field of limits
	Text     string   `json:"text"`
	Severity Severity `json:"severity"`
}

// differ collects changes.
type differ struct{ changes []Change }

// Diff returns the changes from old to new: limits, pools, services, teams, queues, operators, each by name, and the keys of a
// team or operator right after it. A nil old counts as an empty document with the default limits.
func Diff(old, new *Document) []Change {
	if old == nil {
		old = &Document{Limits: DefaultLimits(), Maintenance: DefaultMaintenance()}
	}
	d := &differ{}
	d.limits(old.Limits, new.Limits)
	d.maintenance(old.Maintenance, new.Maintenance)
	eachNamed(old.Pools, new.Pools, func(p Pool) string { return p.Name }, d.pool)
	eachNamed(old.Services, new.Services, func(s Service) string { return s.Name }, d.service)
	eachNamed(old.Teams, new.Teams, func(t Team) string { return t.Name }, d.team)
	eachNamed(old.Queues, new.Queues, func(q Queue) string { return q.Name }, d.queue)
	eachNamed(old.Operators, new.Operators, func(o Operator) string { return o.Name }, d.operator)
	return d.changes
}

// eachNamed calls visit for each name in either list, in order of the names; a side that lacks the name is nil.
func eachNamed[T any](old, new []T, name func(T) string, visit func(name string, old, new *T)) {
	olds, news := byName(old, name), byName(new, name)
	all := make([]string, 0, len(olds)+len(news))
	for n := range olds {
		all = append(all, n)
	}
	for n := range news {
		if olds[n] == nil {
			all = append(all, n)
		}
	}
	slices.Sort(all)
	for _, n := range all {
		visit(n, olds[n], news[n])
	}
}

func byName[T any](items []T, name func(T) string) map[string]*T {
	m := make(map[string]*T, len(items))
	for i := range items {
		m[name(items[i])] = &items[i]
	}
	return m
}

func (d *differ) info(kind Kind, object, format string, args ...any) {
	d.changes = append(d.changes, Change{kind, object, fmt.Sprintf(format, args...), SeverityInfo})
}

func (d *differ) warn(kind Kind, object, format string, args ...any) {
	d.changes = append(d.changes, Change{kind, object, fmt.Sprintf(format, args...), SeverityWarning})
}

// warnIf adds a warning if the condition holds, otherwise an info.
func (d *differ) warnIf(condition bool, kind Kind, object, format string, args ...any) {
	if condition {
		d.warn(kind, object, format, args...)
		return
	}
	d.info(kind, object, format, args...)
}

// limits reads the fields by reflection, so that a field added to Limits is compared too.
func (d *differ) limits(old, new Limits) {
	o, n := reflect.ValueOf(old), reflect.ValueOf(new)
	for i := range o.NumField() {
		from, to := o.Field(i).Int(), n.Field(i).Int()
		if from == to {
			continue
		}
		name := o.Type().Field(i).Tag.Get("yaml")
		d.warnIf(to < from, KindLimitChanged, name, "limit %s is %s from %d to %d", name, direction(from, to), from, to)
	}
}

func direction(from, to int64) string {
	if to < from {
		return "lowered"
	}
	return "raised"
}

func (d *differ) pool(name string, old, new *Pool) {
	switch {
	case old == nil:
		d.info(KindPoolAdded, name, "pool %s is added with %s", name, poolText(*new))
		return
	case new == nil:
		d.warn(KindPoolRemoved, name, "pool %s is removed; its instances join the pools that match them", name)
		return
	}
	if !slices.Equal(sorted(old.Members), sorted(new.Members)) {
		d.warn(KindPoolMembersChanged, name, "pool %s has members %s instead of %s", name, list(new.Members), list(old.Members))
	}
	if old.Spare != new.Spare {
		d.warn(KindPoolSpareChanged, name, "pool %s %s the spare pool", name, either(new.Spare, "becomes", "is no longer"))
	}
	if old.Size != new.Size {
		// A smaller size lowers the floor of the availability budget.
		d.warnIf(new.Size < old.Size, KindPoolSizeChanged, name, "declared size of pool %s changes from %d to %d", name, old.Size, new.Size)
	}
	from, to := old.AvailabilityBudget.MinAvailablePercent, new.AvailabilityBudget.MinAvailablePercent
	if from != to {
		d.warnIf(to < from, KindBudgetChanged, name, "pool %s must keep %d%% available instead of %d%%", name, to, from)
	}
}

func poolText(p Pool) string {
	spare := either(p.Spare, " and is the spare pool", "")
	return fmt.Sprintf("members %s, keeps %d%% available%s", list(p.Members), p.AvailabilityBudget.MinAvailablePercent, spare)
}

func (d *differ) service(name string, old, new *Service) {
	switch {
	case old == nil:
		d.info(KindServiceAdded, name, "service %s is added: %s", name, serviceText(*new))
	case new == nil:
		d.warn(KindServiceRemoved, name, "service %s is removed; its requests are refused", name)
	case *old != *new:
		cut := new.TimeoutSeconds < old.TimeoutSeconds || new.Pool != old.Pool || (old.Urgent && !new.Urgent)
		d.warnIf(cut, KindServiceChanged, name, "service %s changes: %s; before: %s", name, serviceText(*new), serviceText(*old))
	}
}

func serviceText(s Service) string {
	return fmt.Sprintf("pool %s, timeout %d s, %s", s.Pool, s.TimeoutSeconds, either(s.Urgent, "urgent allowed", "never urgent"))
}

func (d *differ) team(name string, old, new *Team) {
	owner := "team " + name
	switch {
	case old == nil:
		d.info(KindTeamAdded, name, "team %s is added with share %d and upper limit %d", name, new.Share, new.UpperLimit)
		d.keys(owner, nil, new.Keys)
		return
	case new == nil:
		d.warn(KindTeamRemoved, name, "team %s is removed; its work is refused", name)
		d.keys(owner, old.Keys, nil)
		return
	}
	if old.Share != new.Share {
		d.info(KindTeamShareChanged, name, "share of team %s changes from %d to %d", name, old.Share, new.Share)
	}
	d.upperLimit(name, old.UpperLimit, new.UpperLimit)
	if old.MayUrgent != new.MayUrgent {
		d.warnIf(!new.MayUrgent, KindTeamUrgentChanged, name, "team %s %s mark work as urgent", name, either(new.MayUrgent, "may", "may no longer"))
	}
	d.keys(owner, old.Keys, new.Keys)
}

func (d *differ) upperLimit(team string, from, to int) {
	switch {
	case to > from:
		d.info(KindTeamUpperLimitRaised, team, "upper limit of team %s is raised from %d to %d", team, from, to)
	case to == 0 && from > 0:
		d.warn(KindTeamUpperLimitCut, team, "upper limit of team %s is lowered from %d to 0; the team may run nothing", team, from)
	case to < from:
		d.warn(KindTeamUpperLimitCut, team, "upper limit of team %s is lowered from %d to %d", team, from, to)
	}
}

func (d *differ) keys(owner string, old, new []Key) {
	eachNamed(old, new, func(k Key) string { return k.ID }, func(id string, old, new *Key) {
		switch {
		case old == nil:
			d.info(KindKeyAdded, id, "key %s of %s is added", id, owner)
		case new == nil:
			d.warn(KindKeyWithdrawn, id, "key %s of %s is withdrawn", id, owner)
		case *old != *new:
			d.warn(KindKeyReplaced, id, "key %s of %s has a new secret; the old one is withdrawn", id, owner)
		}
	})
}

func (d *differ) queue(name string, old, new *Queue) {
	switch {
	case old == nil:
		d.warnIf(new.Open, KindQueueAdded, name, "queue %s is added: %s", name, queueText(*new))
	case new == nil:
		d.warn(KindQueueRemoved, name, "queue %s is removed; its jobs are refused", name)
	case *old != *new:
		d.warn(KindQueueChanged, name, "queue %s changes: %s; before: %s", name, queueText(*new), queueText(*old))
	}
}

func queueText(q Queue) string {
	if q.Open {
		return fmt.Sprintf("service %s, open, charged to team %s", q.Service, q.Team)
	}
	if q.Team != "" {
		return fmt.Sprintf("service %s, with key, team %s", q.Service, q.Team)
	}
	return fmt.Sprintf("service %s, with key", q.Service)
}

func (d *differ) operator(name string, old, new *Operator) {
	owner := "operator " + name
	switch {
	case old == nil:
		d.info(KindOperatorAdded, name, "operator %s is added with role %s", name, new.Role)
		d.keys(owner, nil, []Key{new.Key})
	case new == nil:
		d.warn(KindOperatorRemoved, name, "operator %s is removed", name)
		d.keys(owner, []Key{old.Key}, nil)
	default:
		if old.Role != new.Role {
			d.warn(KindOperatorRoleChanged, name, "role of operator %s changes from %s to %s", name, old.Role, new.Role)
		}
		d.keys(owner, []Key{old.Key}, []Key{new.Key})
	}
}

func sorted(items []string) []string { return slices.Sorted(slices.Values(items)) }

func list(items []string) string {
	if len(items) == 0 {
		return "none"
	}
	return strings.Join(items, ", ")
}

func either(condition bool, yes, no string) string {
	if condition {
		return yes
	}
	return no
}
