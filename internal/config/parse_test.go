package config_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"pollenlead/internal/config"
	"pollenlead/internal/config/configgen"
)

var hash = strings.Repeat("0a", 32)

// valid is a document without problems. The cases of TestProblems replace parts of it.
var valid = `schema: 1
pools:
  - {name: main, members: ["w-main-"], availability_budget: {min_available_percent: 80}}
  - {name: spare, spare: true}
services:
  - {name: check, pool: main, timeout_seconds: 5}
teams:
  - {name: red, share: 3, upper_limit: 0, keys: [{id: k1, sha256: "` + hash + `"}]}
queues:
  - {name: q, service: check, open: true, team: red}
operators:
  - {name: ann, role: publish, key: {id: o1, sha256: "` + hash + `"}}
`

// TestProblems guards against a rule that is not checked and against a problem at the wrong position or path.
func TestProblems(t *testing.T) {
	cases := []struct{ replace, with, want string }{
		{"schema: 1", "schema: 2\nnews: true", "1:9 schema is 2; this version understands schema 1 only"},
		{"schema: 1", "schema: 0", "1:9 schema must be at least 1"},
		{"schema: 1\n", "", "1:1 schema is required"},
		{"schema: 1", "schema: one", "1:9 schema expected a whole number, found text"},
		{"schema: 1", "schema: 1.5", "1:9 schema expected a whole number, found a decimal number"},
		{"schema: 1", "schema: 99999999999999999999", "1:9 schema expected a whole number, found a decimal number"},
		{"schema: 1", "schema: 9223372036854775808", "1:9 schema is out of range"},
		{"schema: 1", "schema: 1\n<<: {}", "2:1 << unknown field"},
		{"schema: 1", "schema: 1\nlimits: {body_bytes: 0, queue_length: 100001}",
			"2:22 limits.body_bytes must be from 1 to 1073741824|2:39 limits.queue_length must be from 1 to 100000"},
		{"schema: 1", "schema: &a 1", "1:9 schema anchors are not allowed"},
		{"schema: 1", "schema: 1\nx: &a [1]\ny: [*a, *a]",
			"2:1 x unknown field|2:4 x anchors are not allowed|3:1 y unknown field|3:5 y[0] aliases are not allowed|" +
				"3:9 y[1] aliases are not allowed"},
		{"schema: 1", "schema: &a 0", "1:9 schema anchors are not allowed|1:9 schema must be at least 1"},
		{"schema: 1", "schema: !!int 1", "1:9 schema explicit tags are not allowed"},
		{"schema: 1", "schema: 1\nschema: 1", "2:1 schema duplicate field"},
		{"schema: 1", "schema: 1\n? [a]\n: 1", "2:3  a field name must be text, found a list"},
		{"schema: 1", "schema: [", "not valid YAML"},
		{"schema: 1",
			"schema: 1\nmaintenance: {drain_seconds: 0, window: {days: [mon, sunday, sunday], start: \"9:00\"}}",
			"2:30 maintenance.drain_seconds must be from 1 to 86400|" +
				"2:41 maintenance.window.end is required because start is given|" +
				"2:49 maintenance.window.days[0] must be monday|2:62 maintenance.window.days[2] \"sunday\" is listed twice|" +
				"maintenance.window.start must be a UTC time"},
		{"name: spare, ", "name: spare, size: -1, ", "4:25 pools[1].size must be from 0 to 10000"},
		{"name: ann", "name: ann, extra: 1", "12:17 operators[0].extra unknown field"},
		{"name: main", "name: Main", `3:12 pools[0].name must be 1 to 63|6:25 services[0].pool pool "main" is not defined`},
		{"name: main", "name: 12",
			`3:12 pools[0].name expected text, found a whole number; put it in quotes|` +
				`6:25 services[0].pool pool "main" is not defined`},
		{"name: spare, ", "name: main, ", `4:12 pools[1].name "main" is the name of an earlier entry`},
		{", spare: true", ", availability_budget: {min_available_percent: 0}",
			"3:3 pools exactly one pool must be the spare pool, found none"},
		{`["w-main-"],`, `["w-main-"], spare: true,`, "4:26 pools[1].spare pools[0] is the spare pool already"},
		{"spare: true", `spare: true, members: ["w-main-1", ""]`,
			`4:42 pools[1].members[0] overlaps with pools[0].members[0], "w-main-"|4:54 pools[1].members[1] must be 1 to 128`},
		{"percent: 80", "percent: 101", "3:85 pools[0].availability_budget.min_available_percent must be from 0 to 100"},
		{", availability_budget: {min_available_percent: 80}", "",
			"3:5 pools[0].availability_budget is required, except for the spare pool"},
		{"{min_available_percent: 80}", "{}", "3:61 pools[0].availability_budget.min_available_percent is required"},
		{"pool: main", "pool: other", `6:25 services[0].pool pool "other" is not defined`},
		{"timeout_seconds: 5", "timeout_seconds: 3601", "6:48 services[0].timeout_seconds must be from 1 to 3600"},
		{"share: 3", "share: 1001", "8:24 teams[0].share must be from 1 to 1000"},
		{"upper_limit: 0", "upper_limit: -1", "8:40 teams[0].upper_limit must be from 0 to 100000"},
		{", upper_limit: 0", "", "8:5 teams[0].upper_limit is required"},
		{"id: k1", "id: o1", `12:42 operators[0].key.id "o1" is the ID of teams[0].keys[0] already`},
		{"id: k1", "id: k_1", "8:55 teams[0].keys[0].id must be 1 to 63"},
		{`"` + hash + `"}]`, `"0A` + hash[2:] + `"}]`,
			"8:67 teams[0].keys[0].sha256 must be 64 lower-case hexadecimal digits"},
		{"service: check", "service: chek", `10:24 queues[0].service service "chek" is not defined`},
		{", team: red", "", "10:5 queues[0].team is required because the queue is open"},
		{"team: red", "team: rad", `10:49 queues[0].team team "rad" is not defined`},
		{"role: publish", "role: root", "12:23 operators[0].role must be view, operate or publish"},
		{valid, "", "1:1  the document is empty"},
		{valid, "[]", "1:1  expected a mapping, found a list"},
		{valid, valid + "---\n" + valid, "13:1  the text has more than one YAML document"},
		{valid, strings.Repeat("#", config.MaxBytes+1), "1:1  the document has 4194305 bytes, more than 4194304"},
		{valid, strings.Repeat(",", 100_001), "1:1  the document has 100001 separators of YAML entries, more than 100000"},
		{valid, "schema: 1\nteams: red\nqueues: {}",
			"1:1 pools is required|2:8 teams expected a list, found text|3:9 queues expected a list, found a mapping"},
	}
	for _, c := range cases {
		t.Run(c.with[:min(len(c.with), 40)], func(t *testing.T) {
			is := is.New(t)
			is.Equal(strings.Count(valid, c.replace), 1) // the case replaces exactly one part
			doc, problems := config.Parse([]byte(strings.Replace(valid, c.replace, c.with, 1)))
			is.True(doc == nil) // no document with problems
			var got []string
			for _, p := range problems {
				got = append(got, fmt.Sprintf("%d:%d %s %s", p.Line, p.Column, p.Path, p.Message))
			}
			want := strings.Split(c.want, "|")
			is.Equal(len(got), len(want)) // number of problems
			for i := range want {
				if !strings.Contains(got[i], want[i]) {
					t.Errorf("problem %d is %q, not %q", i, got[i], want[i])
				}
			}
		})
	}
}

// TestValid guards against valid documents that are rejected and against limits without their defaults.
func TestValid(t *testing.T) {
	is := is.New(t)
	d, problems := config.Parse([]byte(strings.Replace(valid, "schema: 1", "schema: 1\nlimits: {queue_seconds: 7}", 1)))
	is.Equal(problems, nil)
	want := config.DefaultLimits()
	want.QueueSeconds = 7
	is.Equal(d.Limits, want)
	is.Equal(d.Pools[0].AvailabilityBudget.MinAvailablePercent, 80)
	for _, name := range []string{"coulee", "vestfjord"} {
		text, err := os.ReadFile("../../examples/" + name + ".yaml")
		is.NoErr(err)
		d, problems := config.Parse(text)
		is.Equal(problems, nil) // the example documents are valid
		is.Equal([]int{len(d.Services), len(d.Pools), len(d.Teams)}, []int{5, 6, 6})
	}
	for _, size := range []configgen.Size{{}, {Pools: 1, Services: 3, Teams: 1}, configgen.TargetSize} {
		_, problems := config.Parse(configgen.Generate(size).Text)
		is.Equal(problems, nil) // generated documents are valid
	}
}

// TestManyProblems guards against a list of problems without a bound and against a truncated list that is not marked as
// such.
func TestManyProblems(t *testing.T) {
	is := is.New(t)
	text := "schema: 1\npools: [{name: s, spare: true}]\nteams: [" + strings.Repeat("1,", 1500) + "]"
	_, problems := config.Parse([]byte(text))
	is.Equal(len(problems), 1001)
	is.Equal(problems[1000].Message, "500 more problems are not listed")
}

// TestProblemsHideSecrets guards against messages that repeat a secret that was pasted into the document by mistake.
func TestProblemsHideSecrets(t *testing.T) {
	is := is.New(t)
	token, _, err := config.NewKey("k1")
	is.NoErr(err)
	fields := []string{"id: k1", `sha256: "` + hash + `"}]`, "role: publish", "timeout_seconds: 5", "team: red"}
	for _, old := range fields {
		field, rest, _ := strings.Cut(old, ":")
		tail := rest[len(strings.TrimRight(rest, "}]")):]
		_, problems := config.Parse([]byte(strings.Replace(valid, old, field+": "+token+tail, 1)))
		is.Equal(len(problems), 1)
		is.True(!strings.Contains(fmt.Sprint(problems), token[len("plk_k1_"):]))
	}
}

// FuzzParse guards against panics and against results that differ between two calls, which would let the states of
// entry instances diverge.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("a: &a [*a]\n"))
	f.Add([]byte("--- !!map {? {} : 1}\n...\n---\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		d, problems := config.Parse(text)
		again, repeated := config.Parse(text)
		if (d == nil) != (len(problems) > 0) || (again == nil) != (d == nil) || fmt.Sprint(problems) != fmt.Sprint(repeated) {
			t.Fatal("the result is inconsistent")
		}
		for _, p := range problems {
			if p.Line < 1 || p.Column < 1 || p.Message == "" {
				t.Fatalf("problem without position or message: %+v", p)
			}
		}
		if d != nil && (len(config.Diff(d, again)) > 0 || config.Diff(nil, d) == nil) {
			t.Fatal("a document differs from itself, or does not differ from none")
		}
	})
}

func BenchmarkParseTargetSize(b *testing.B) {
	text := configgen.Generate(configgen.TargetSize).Text
	b.SetBytes(int64(len(text)))
	b.ReportAllocs()
	for b.Loop() {
		if _, problems := config.Parse(text); problems != nil {
			b.Fatal(problems)
		}
	}
}
