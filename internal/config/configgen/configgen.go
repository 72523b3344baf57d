// Package configgen generates valid documents of a given size for measurements and tests.
package configgen

import (
	"fmt"
	"strings"

	"pollenlead/internal/config"
)

// Size contains the numbers of objects in a generated document. A spare pool and one operator per role are added to
// them.
type Size struct {
	Pools       int
	Services    int // assigned to the pools round-robin; requires at least one pool if not 0
	Teams       int
	KeysPerTeam int
}

// TargetSize is the size that the design must support in two years.
var TargetSize = Size{Pools: 38, Services: 38, Teams: 26, KeysPerTeam: 4}

// Generated contains the text of a document and the tokens of its keys.
type Generated struct {
	Text []byte
	// TeamTokens contains the tokens by team name, and OperatorTokens the token of the operator with each role.
	TeamTokens     map[string][]string
	OperatorTokens map[config.Role]string
}

// PoolName returns the name of the pool with index i, from 0.
func PoolName(i int) string { return fmt.Sprintf("pool-%02d", i) }

// ServiceName returns the name of the service with index i, from 0.
func ServiceName(i int) string { return fmt.Sprintf("service-%02d", i) }

// TeamName returns the name of the team with index i, from 0.
func TeamName(i int) string { return fmt.Sprintf("team-%02d", i) }

// InstancePrefix returns the only member prefix of the pool with index i.
func InstancePrefix(i int) string { return "w-" + PoolName(i) + "-" }

// Generate returns a document of the given size. The tokens are derived from the key IDs, so that equal sizes result in
// equal texts. They are not secret and must be used only in measurements and tests.
func Generate(size Size) Generated {
	g := Generated{TeamTokens: map[string][]string{}, OperatorTokens: map[config.Role]string{}}
	var b strings.Builder
	fmt.Fprintf(&b, "schema: %d\npools:\n  - {name: spare, spare: true}\n", config.DocumentSchema)
	for i := range size.Pools {
		fmt.Fprintf(&b, "  - {name: %s, members: [%q], availability_budget: {min_available_percent: 80}}\n",
			PoolName(i), InstancePrefix(i))
	}
	beginList(&b, "", "services", size.Services)
	for i := range size.Services {
		fmt.Fprintf(&b, "  - {name: %s, pool: %s, timeout_seconds: %d, urgent: %t}\n",
			ServiceName(i), PoolName(i%size.Pools), 5+i%60, i%2 == 0)
	}
	beginList(&b, "", "teams", size.Teams)
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
	beginList(b, "    ", "keys", keys)
	for k := range keys {
		id := fmt.Sprintf("%s-key-%d", name, k)
		g.TeamTokens[name] = append(g.TeamTokens[name], token(id))
		fmt.Fprintf(b, "      - {id: %s, sha256: %q}\n", id, config.HashKey(token(id)))
	}
}

// beginList writes the YAML key of a list of n entries. An empty list is written as [], because a key without a value
// is null.
func beginList(b *strings.Builder, indent, name string, n int) {
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
