// Package configgen generates valid documents of a given size, for measurements and tests.
package configgen

import (
	"fmt"
	"strings"

	"pollenlead/internal/config"
)

// Size is the number of objects in a generated document. A spare pool and one operator per role come on top.
type Size struct {
	Pools       int
	Services    int // spread over the pools in turn; at least one pool if any
	Teams       int
	KeysPerTeam int
}

// TargetSize is the size for which the design must hold in two years.
var TargetSize = Size{Pools: 38, Services: 38, Teams: 26, KeysPerTeam: 4}

// Generated is a document's text and the tokens of its keys.
type Generated struct {
	Text []byte
	// TeamTokens holds the tokens of each team by team name, OperatorTokens the token of the operator with each role.
	TeamTokens     map[string][]string
	OperatorTokens map[config.Role]string
}

// PoolName is the name of the pool with index i, from 0.
func PoolName(i int) string { return fmt.Sprintf("pool-%02d", i) }

// ServiceName is the name of the service with index i, from 0.
func ServiceName(i int) string { return fmt.Sprintf("service-%02d", i) }

// TeamName is the name of the team with index i, from 0.
func TeamName(i int) string { return fmt.Sprintf("team-%02d", i) }

// InstancePrefix is the only member prefix of the pool with index i.
func InstancePrefix(i int) string { return "w-" + PoolName(i) + "-" }

// Generate returns a document of the given size. The tokens derive from the key IDs, so that equal sizes give equal text; they
// are not secret and serve only measurements and tests.
func Generate(size Size) Generated {
	g := Generated{TeamTokens: map[string][]string{}, OperatorTokens: map[config.Role]string{}}
	var b strings.Builder
	fmt.Fprintf(&b, "schema: %d\npools:\n  - {name: spare, spare: true}\n", config.DocumentSchema)
	for i := range size.Pools {
		fmt.Fprintf(&b, "  - {name: %s, members: [%q], availability_budget: {min_available_percent: 80}}\n", PoolName(i), InstancePrefix(i))
	}
	writeKey(&b, "", "services", size.Services)
	for i := range size.Services {
		fmt.Fprintf(&b, "  - {name: %s, pool: %s, timeout_seconds: %d, urgent: %t}\n", ServiceName(i), PoolName(i%size.Pools), 5+i%60, i%2 == 0)
	}
	writeKey(&b, "", "teams", size.Teams)
	for i := range size.Teams {
		g.writeTeam(&b, i, size.KeysPerTeam)
	}
	b.WriteString("operators:\n")
	for _, role := range []config.Role{config.RoleView, config.RoleOperate, config.RolePublish} {
		id := "operator-" + string(role)
		g.OperatorTokens[role] = token(id)
		fmt.Fprintf(&b, "  - {name: %s, role: %s, key: {id: %s, sha256: %q}}\n", role, role, id, config.HashKey(token(id)))
	}
	g.Text = []byte(b.String())
	return g
}

func (g Generated) writeTeam(b *strings.Builder, i, keys int) {
	name := TeamName(i)
	fmt.Fprintf(b, "  - name: %s\n    share: %d\n    upper_limit: %d\n    may_urgent: %t\n", name, 1+i%5, 40+i, i%2 == 0)
	writeKey(b, "    ", "keys", keys)
	for k := range keys {
		id := fmt.Sprintf("%s-key-%d", name, k)
		g.TeamTokens[name] = append(g.TeamTokens[name], token(id))
		fmt.Fprintf(b, "      - {id: %s, sha256: %q}\n", id, config.HashKey(token(id)))
	}
}

// writeKey starts a list of n entries. A key without entries below it would be null and not a list.
func writeKey(b *strings.Builder, indent, name string, n int) {
	if n == 0 {
		fmt.Fprintf(b, "%s%s: []\n", indent, name)
		return
	}
	fmt.Fprintf(b, "%s%s:\n", indent, name)
}

// token returns a well-formed token whose secret is the hash of the ID.
func token(id string) string {
	return "plk_" + id + "_" + config.HashKey(id)
}
