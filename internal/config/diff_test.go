package config_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"pollenlead/internal/config"
)

func mustParse(t *testing.T, text string) *config.Document {
	t.Helper()
	d, problems := config.Parse([]byte(text))
	if problems != nil {
		t.Fatal(problems)
	}
	return d
}

// TestDiff guards against a change that is missing from the list that operators review before they publish, and against
// a change with the wrong severity.
func TestDiff(t *testing.T) {
	old := mustParse(t, valid)
	key := `{id: k2, sha256: "` + hash + `"}`
	cases := []struct{ replace, with, want string }{
		{"schema: 1", "schema: 1\nlimits: {queue_length: 10, queue_seconds: 20}",
			"limit_changed queue_length warning|limit_changed queue_seconds info"},
		{"schema: 1", "schema: 1\nmaintenance: {probe_seconds: 9, window: {days: [sunday]}}",
			"maintenance_changed window warning|maintenance_changed probe_seconds warning"},
		{"{name: spare, ", "{name: spare, size: 3, ", "pool_size_changed spare info"},
		{"percent: 80", "percent: 70", "budget_changed main warning"},
		{"percent: 80", "percent: 90", "budget_changed main info"},
		{`["w-main-"]`, `["w-main-", "x-"]`, "pool_members_changed main warning"},
		{"  - {name: spare, ",
			"  - {name: extra, spare: false, availability_budget: {min_available_percent: 1}}\n  - {name: spare, ",
			"pool_added extra info"},
		{"{name: spare, ", "{name: rest, ", "pool_added rest info|pool_removed spare warning"},
		{"pool: main", "pool: spare", "service_changed check warning"},
		{"timeout_seconds: 5", "timeout_seconds: 6", "service_changed check info"},
		{"share: 3", "share: 4", "team_share_changed red info"},
		{"upper_limit: 0", "upper_limit: 7", "team_upper_limit_raised red info"},
		{"share: 3", "may_urgent: true, share: 3", "team_urgent_changed red info"},
		{"id: k1", "id: k2", "key_withdrawn k1 warning|key_added k2 info"},
		{"keys: [", "keys: [" + key + ", ", "key_added k2 info"},
		{`"` + hash + `"}]`, `"ff` + hash[2:] + `"}]`, "key_replaced k1 warning"},
		{"open: true", "open: false", "queue_changed q warning"},
		{"name: q", "name: r", "queue_removed q warning|queue_added r warning"},
		{"role: publish", "role: view", "operator_role_changed ann warning"},
		{"name: ann", "name: bea",
			"operator_removed ann warning|key_withdrawn o1 warning|operator_added bea info|key_added o1 info"},
	}
	for _, c := range cases {
		t.Run(c.with, func(t *testing.T) {
			is := is.New(t)
			changed := mustParse(t, strings.Replace(valid, c.replace, c.with, 1))
			is.Equal(summary(config.Diff(old, changed)), c.want)
		})
	}
	is := is.New(t)
	is.Equal(len(config.Diff(old, old)), 0)
	is.Equal(summary(config.Diff(nil, old)), "pool_added main info|pool_added spare info|service_added check info|"+
		"team_added red info|key_added k1 info|queue_added q warning|operator_added ann info|key_added o1 info")
	bare := mustParse(t, "schema: 1\npools: [{name: spare, spare: true}]")
	is.Equal(summary(config.Diff(old, bare)), "pool_removed main warning|service_removed check warning|"+
		"team_removed red warning|key_withdrawn k1 warning|queue_removed q warning|"+
		"operator_removed ann warning|key_withdrawn o1 warning")
	lowered := config.Diff(mustParse(t, strings.Replace(valid, "upper_limit: 0", "upper_limit: 9", 1)), old)
	is.Equal(summary(lowered), "team_upper_limit_lowered red warning")
	is.Equal(lowered[0].Text, "upper limit of team red is lowered from 9 to 0; the team may run nothing")
}

func summary(changes []config.Change) string {
	var parts []string
	for _, c := range changes {
		parts = append(parts, fmt.Sprint(c.Kind, " ", c.Object, " ", c.Severity))
	}
	return strings.Join(parts, "|")
}
