package config

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// Kind is the kind of a change.
type Kind string

// The kinds of changes.
const (
	KindLimitChanged          Kind = "limit_changed"
	KindMaintenanceChanged    Kind = "maintenance_changed"
	KindPoolAdded             Kind = "pool_added"
	KindPoolRemoved           Kind = "pool_removed"
	KindPoolMembersChanged    Kind = "pool_members_changed"
	KindPoolSpareChanged      Kind = "pool_spare_changed"
	KindPoolSizeChanged       Kind = "pool_size_changed"
	KindBudgetChanged         Kind = "budget_changed"
	KindServiceAdded          Kind = "service_added"
	KindServiceRemoved        Kind = "service_removed"
	KindServiceChanged        Kind = "service_changed"
	KindTeamAdded             Kind = "team_added"
	KindTeamRemoved           Kind = "team_removed"
	KindTeamShareChanged      Kind = "team_share_changed"
	KindTeamUpperLimitRaised  Kind = "team_upper_limit_raised"
	KindTeamUpperLimitLowered Kind = "team_upper_limit_lowered"
	KindTeamUrgentChanged     Kind = "team_urgent_changed"
	KindKeyAdded              Kind = "key_added"
	KindKeyWithdrawn          Kind = "key_withdrawn"
	KindKeyReplaced           Kind = "key_replaced"
	KindQueueAdded            Kind = "queue_added"
	KindQueueRemoved          Kind = "queue_removed"
	KindQueueChanged          Kind = "queue_changed"
	KindOperatorAdded         Kind = "operator_added"
	KindOperatorRemoved       Kind = "operator_removed"
	KindOperatorRoleChanged   Kind = "operator_role_changed"
)

// Severity is the severity of a change. Operators review warnings more closely before they publish a document.
type Severity string

// The severities. A warning marks a change after which work may be refused that was accepted before, or maintenance or
// an operator may do more than before.
const (
	SeverityInfo    Severity = "info"
	SeverityWarning Severity = "warning"
)

// Change is one difference between two documents.
type Change struct {
	Kind     Kind     `json:"kind"`
	Object   string   `json:"object"` // name or ID of the changed object, or name of a field of limits or maintenance
	Text     string   `json:"text"`
	Severity Severity `json:"severity"`
}

// changeCollector collects the changes between two documents.
type changeCollector struct{ changes []Change }

// Diff returns the changes from old to updated, in the order limits, maintenance, pools, services, teams, queues and
// operators. Each list is ordered by name, and the keys of a team or operator follow it. A nil old is treated as an
// empty document with the default limits and maintenance.
func Diff(old, updated *Document) []Change {
	if old == nil {
		old = &Document{Limits: DefaultLimits(), Maintenance: DefaultMaintenance()}
	}
	d := &changeCollector{}
	d.limits(old.Limits, updated.Limits)
	d.maintenance(old.Maintenance, updated.Maintenance)
	forEachName(old.Pools, updated.Pools, func(p Pool) string { return p.Name }, d.pool)
	forEachName(old.Services, updated.Services, func(s Service) string { return s.Name }, d.service)
	forEachName(old.Teams, updated.Teams, func(t Team) string { return t.Name }, d.team)
	forEachName(old.Queues, updated.Queues, func(q Queue) string { return q.Name }, d.queue)
	forEachName(old.Operators, updated.Operators, func(o Operator) string { return o.Name }, d.operator)
	return d.changes
}

// forEachName calls visit for each name in either list, in order of the names. The item is nil for a list without that
// name.
func forEachName[T any](old, updated []T, name func(T) string, visit func(name string, old, updated *T)) {
	olds, news := byName(old, name), byName(updated, name)
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

func (d *changeCollector) info(kind Kind, object, format string, args ...any) {
	d.changes = append(d.changes, Change{kind, object, fmt.Sprintf(format, args...), SeverityInfo})
}

func (d *changeCollector) warn(kind Kind, object, format string, args ...any) {
	d.changes = append(d.changes, Change{kind, object, fmt.Sprintf(format, args...), SeverityWarning})
}

// warnIf adds a warning if the condition is true, otherwise an info.
func (d *changeCollector) warnIf(condition bool, kind Kind, object, format string, args ...any) {
	if condition {
		d.warn(kind, object, format, args...)
		return
	}
	d.info(kind, object, format, args...)
}

// limits compares all fields of Limits by reflection, so that new fields are included.
func (d *changeCollector) limits(old, updated Limits) {
	o, n := reflect.ValueOf(old), reflect.ValueOf(updated)
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

func (d *changeCollector) pool(name string, old, updated *Pool) {
	switch {
	case old == nil:
		d.info(KindPoolAdded, name, "pool %s is added with %s", name, poolText(*updated))
		return
	case updated == nil:
		d.warn(KindPoolRemoved, name, "pool %s is removed; its instances join the pools that match them", name)
		return
	}
	if !slices.Equal(sorted(old.Members), sorted(updated.Members)) {
		d.warn(KindPoolMembersChanged, name, "pool %s has members %s instead of %s",
			name, joinOrNone(updated.Members), joinOrNone(old.Members))
	}
	if old.Spare != updated.Spare {
		d.warn(KindPoolSpareChanged, name, "pool %s %s the spare pool",
			name, choose(updated.Spare, "becomes", "is no longer"))
	}
	if old.Size != updated.Size {
		// A smaller size lowers the floor of the availability budget.
		d.warnIf(updated.Size < old.Size, KindPoolSizeChanged, name, "declared size of pool %s changes from %d to %d",
			name, old.Size, updated.Size)
	}
	from, to := old.AvailabilityBudget.MinAvailablePercent, updated.AvailabilityBudget.MinAvailablePercent
	if from != to {
		d.warnIf(to < from, KindBudgetChanged, name, "pool %s must keep %d%% available instead of %d%%", name, to, from)
	}
}

func poolText(p Pool) string {
	spare := choose(p.Spare, " and is the spare pool", "")
	return fmt.Sprintf("members %s, keeps %d%% available%s",
		joinOrNone(p.Members), p.AvailabilityBudget.MinAvailablePercent, spare)
}

func (d *changeCollector) service(name string, old, updated *Service) {
	switch {
	case old == nil:
		d.info(KindServiceAdded, name, "service %s is added: %s", name, serviceText(*updated))
	case updated == nil:
		d.warn(KindServiceRemoved, name, "service %s is removed; its requests are refused", name)
	case *old != *updated:
		cut := updated.TimeoutSeconds < old.TimeoutSeconds || updated.Pool != old.Pool || (old.Urgent && !updated.Urgent)
		d.warnIf(cut, KindServiceChanged, name, "service %s changes: %s; before: %s",
			name, serviceText(*updated), serviceText(*old))
	}
}

func serviceText(s Service) string {
	return fmt.Sprintf("pool %s, timeout %d s, %s",
		s.Pool, s.TimeoutSeconds, choose(s.Urgent, "urgent allowed", "never urgent"))
}

func (d *changeCollector) team(name string, old, updated *Team) {
	owner := "team " + name
	switch {
	case old == nil:
		d.info(KindTeamAdded, name, "team %s is added with share %d and upper limit %d",
			name, updated.Share, updated.UpperLimit)
		d.keys(owner, nil, updated.Keys)
		return
	case updated == nil:
		d.warn(KindTeamRemoved, name, "team %s is removed; its work is refused", name)
		d.keys(owner, old.Keys, nil)
		return
	}
	if old.Share != updated.Share {
		d.info(KindTeamShareChanged, name, "share of team %s changes from %d to %d", name, old.Share, updated.Share)
	}
	d.upperLimit(name, old.UpperLimit, updated.UpperLimit)
	if old.MayUrgent != updated.MayUrgent {
		d.warnIf(!updated.MayUrgent, KindTeamUrgentChanged, name, "team %s %s mark work as urgent",
			name, choose(updated.MayUrgent, "may", "may no longer"))
	}
	d.keys(owner, old.Keys, updated.Keys)
}

func (d *changeCollector) upperLimit(team string, from, to int) {
	switch {
	case to > from:
		d.info(KindTeamUpperLimitRaised, team, "upper limit of team %s is raised from %d to %d", team, from, to)
	case to == 0 && from > 0:
		d.warn(KindTeamUpperLimitLowered, team, "upper limit of team %s is lowered from %d to 0; the team may run nothing",
			team, from)
	case to < from:
		d.warn(KindTeamUpperLimitLowered, team, "upper limit of team %s is lowered from %d to %d", team, from, to)
	}
}

func (d *changeCollector) keys(owner string, old, updated []Key) {
	forEachName(old, updated, func(k Key) string { return k.ID }, func(id string, old, updated *Key) {
		switch {
		case old == nil:
			d.info(KindKeyAdded, id, "key %s of %s is added", id, owner)
		case updated == nil:
			d.warn(KindKeyWithdrawn, id, "key %s of %s is withdrawn", id, owner)
		case *old != *updated:
			d.warn(KindKeyReplaced, id, "key %s of %s has a new secret; the old one is withdrawn", id, owner)
		}
	})
}

func (d *changeCollector) queue(name string, old, updated *Queue) {
	switch {
	case old == nil:
		d.warnIf(updated.Open, KindQueueAdded, name, "queue %s is added: %s", name, queueText(*updated))
	case updated == nil:
		d.warn(KindQueueRemoved, name, "queue %s is removed; its jobs are refused", name)
	case *old != *updated:
		d.warn(KindQueueChanged, name, "queue %s changes: %s; before: %s", name, queueText(*updated), queueText(*old))
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

func (d *changeCollector) operator(name string, old, updated *Operator) {
	owner := "operator " + name
	switch {
	case old == nil:
		d.info(KindOperatorAdded, name, "operator %s is added with role %s", name, updated.Role)
		d.keys(owner, nil, []Key{updated.Key})
	case updated == nil:
		d.warn(KindOperatorRemoved, name, "operator %s is removed", name)
		d.keys(owner, []Key{old.Key}, nil)
	default:
		if old.Role != updated.Role {
			d.warn(KindOperatorRoleChanged, name, "role of operator %s changes from %s to %s", name, old.Role, updated.Role)
		}
		d.keys(owner, []Key{old.Key}, []Key{updated.Key})
	}
}

func sorted(items []string) []string { return slices.Sorted(slices.Values(items)) }

func joinOrNone(items []string) string {
	if len(items) == 0 {
		return "none"
	}
	return strings.Join(items, ", ")
}

func choose(condition bool, yes, no string) string {
	if condition {
		return yes
	}
	return no
}
