package config

import (
	"fmt"
	"regexp"
	"slices"
	"strings"

	"pollenlead/internal/yamldoc"
)

const nameRule = "must be 1 to 63 lower-case letters, digits and hyphens"

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9-]{1,63}$`)
	hashPattern   = regexp.MustCompile(`^[0-9a-f]{64}$`)
	prefixPattern = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)
)

// ValidName reports whether name is valid as the name of an object in the document or as the ID of a key.
func ValidName(name string) bool { return namePattern.MatchString(name) }

// ValidHash reports whether text is a SHA-256 hash as 64 lower-case hexadecimal digits.
func ValidHash(text string) bool { return hashPattern.MatchString(text) }

// validator checks the rules that cannot be expressed as the type and range of a single field.
type validator struct {
	*yamldoc.Checker
	doc      *Document
	pools    map[string]bool
	services map[string]bool
	teams    map[string]bool
	keyIDs   map[string]string // path of each key by its ID
}

func (v *validator) validate() {
	v.pools = collectNames(v, "pools", v.doc.Pools, func(p Pool) string { return p.Name })
	v.services = collectNames(v, "services", v.doc.Services, func(s Service) string { return s.Name })
	v.teams = collectNames(v, "teams", v.doc.Teams, func(t Team) string { return t.Name })
	collectNames(v, "queues", v.doc.Queues, func(q Queue) string { return q.Name })
	collectNames(v, "operators", v.doc.Operators, func(o Operator) string { return o.Name })
	v.keyIDs = map[string]string{}
	v.checkSpare()
	v.checkBudgets()
	v.checkMembers()
	v.checkWindow()
	v.checkServices()
	v.checkTeams()
	v.checkQueues()
	v.checkOperators()
}

// collectNames checks the form and uniqueness of the names in a list and returns them as a set.
func collectNames[T any](v *validator, list string, items []T, name func(T) string) map[string]bool {
	set := make(map[string]bool, len(items))
	for i, item := range items {
		path := fmt.Sprintf("%s[%d].name", list, i)
		if v.checkName(path, name(item)) && set[name(item)] {
			v.Reportf(path, "%q is the name of an earlier entry", name(item))
		}
		set[name(item)] = true
	}
	return set
}

// checkName reports whether name is well-formed, and adds a problem if it is not.
func (v *validator) checkName(path, name string) bool {
	if !ValidName(name) {
		v.Reportf(path, nameRule)
		return false
	}
	return true
}

func (v *validator) checkReference(path, name, kind string, defined map[string]bool) {
	if v.checkName(path, name) && !defined[name] {
		v.Reportf(path, "%s %q is not defined", kind, name)
	}
}

func (v *validator) checkSpare() {
	first := -1
	for i, pool := range v.doc.Pools {
		switch {
		case !pool.Spare:
		case first < 0:
			first = i
		default:
			v.Reportf(fmt.Sprintf("pools[%d].spare", i), "pools[%d] is the spare pool already", first)
		}
	}
	if first < 0 {
		v.Reportf("pools", "exactly one pool must be the spare pool, found none")
	}
}

// checkBudgets requires a budget for every pool except the spare pool. Without a budget maintenance could take down all
// instances of a pool.
func (v *validator) checkBudgets() {
	for i, pool := range v.doc.Pools {
		path := fmt.Sprintf("pools[%d].availability_budget", i)
		if !pool.Spare && !v.Has(path) {
			v.Reportf(path, "is required, except for the spare pool")
		}
	}
}

// memberPrefix is one member prefix of a pool. The field foreign is the longest shorter prefix of it that belongs to
// another pool.
type memberPrefix struct {
	prefix      string
	pool, index int
	foreign     *memberPrefix
}

// checkMembers reports prefixes that overlap between pools. It processes the prefixes in sorted order with a stack that
// contains all prefixes of the current one, so the check costs a sort instead of a comparison of all pairs.
func (v *validator) checkMembers() {
	var stack []*memberPrefix
	for _, m := range v.sortedMembers() {
		for len(stack) > 0 && !strings.HasPrefix(m.prefix, stack[len(stack)-1].prefix) {
			stack = stack[:len(stack)-1]
		}
		if len(stack) > 0 {
			m.foreign = stack[len(stack)-1]
			if m.foreign.pool == m.pool {
				m.foreign = m.foreign.foreign
			}
		}
		if m.foreign != nil {
			v.reportOverlap(m, m.foreign)
		}
		stack = append(stack, m)
	}
}

func (v *validator) sortedMembers() []*memberPrefix {
	var all []*memberPrefix
	for p, pool := range v.doc.Pools {
		for i, prefix := range pool.Members {
			if !prefixPattern.MatchString(prefix) {
				v.Reportf(memberPath(p, i), "must be 1 to 128 letters, digits and . _ : -")
				continue
			}
			all = append(all, &memberPrefix{prefix: prefix, pool: p, index: i})
		}
	}
	slices.SortStableFunc(all, func(a, b *memberPrefix) int { return strings.Compare(a.prefix, b.prefix) })
	return all
}

func memberPath(pool, index int) string { return fmt.Sprintf("pools[%d].members[%d]", pool, index) }

// reportOverlap reports the overlap at the prefix that is later in the document.
func (v *validator) reportOverlap(a, b *memberPrefix) {
	if a.pool < b.pool {
		a, b = b, a
	}
	v.Reportf(memberPath(a.pool, a.index), "overlaps with %s, %q", memberPath(b.pool, b.index), b.prefix)
}

func (v *validator) checkServices() {
	for i, service := range v.doc.Services {
		v.checkReference(fmt.Sprintf("services[%d].pool", i), service.Pool, "pool", v.pools)
	}
}

func (v *validator) checkTeams() {
	for i, team := range v.doc.Teams {
		for k, key := range team.Keys {
			v.checkKey(fmt.Sprintf("teams[%d].keys[%d]", i, k), key)
		}
	}
}

func (v *validator) checkKey(path string, key Key) {
	if !ValidName(key.ID) {
		v.Reportf(path+".id", nameRule)
	} else if other, ok := v.keyIDs[key.ID]; ok {
		v.Reportf(path+".id", "%q is the ID of %s already", key.ID, other)
	} else {
		v.keyIDs[key.ID] = path
	}
	if !ValidHash(key.SHA256) {
		v.Reportf(path+".sha256", "must be 64 lower-case hexadecimal digits")
	}
}

func (v *validator) checkQueues() {
	for i, queue := range v.doc.Queues {
		path := fmt.Sprintf("queues[%d]", i)
		v.checkReference(path+".service", queue.Service, "service", v.services)
		switch {
		case v.Has(path + ".team"):
			v.checkReference(path+".team", queue.Team, "team", v.teams)
		case queue.Open:
			v.Reportf(path+".team", "is required because the queue is open: its jobs are charged to this team")
		}
	}
}

func (v *validator) checkOperators() {
	for i, operator := range v.doc.Operators {
		path := fmt.Sprintf("operators[%d]", i)
		if !operator.Role.valid() {
			v.Reportf(path+".role", "must be view, operate or publish")
		}
		if v.Has(path + ".key") {
			v.checkKey(path+".key", operator.Key)
		}
	}
}
