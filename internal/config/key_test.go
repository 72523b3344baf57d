package config_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"pollenlead/internal/config"
	"pollenlead/internal/config/configgen"
)

// TestAuthenticate guards against a token that authenticates another owner, and against acceptance of an altered,
// unknown or malformed token.
func TestAuthenticate(t *testing.T) {
	is := is.New(t)
	g := configgen.Generate(configgen.Size{Teams: 3, KeysPerTeam: 2})
	d, problems := config.Parse(g.Text)
	is.Equal(problems, nil)
	for team, tokens := range g.TeamTokens {
		for i, token := range tokens {
			got, ok := d.Authenticate(token)
			is.True(ok)
			is.Equal(got, config.Identity{Team: team, KeyID: fmt.Sprintf("%s-key-%d", team, i)})
		}
	}
	for role, token := range g.OperatorTokens {
		got, ok := d.Authenticate(token)
		is.True(ok)
		is.Equal(got, config.Identity{Operator: string(role), Role: role, KeyID: "operator-" + string(role)})
	}
	token := g.TeamTokens[configgen.TeamName(0)][0]
	hash := config.HashKey(token)
	for _, bad := range []string{
		"", "plk_", "plk__", "plk", token[:len(token)-1], token + "0", " " + token, strings.ToUpper(token), hash,
		"plk_team-00-key-0_" + hash, "plk_unknown_" + token[len("plk_team-00-key-0_"):], strings.TrimPrefix(token, "plk_"),
	} {
		got, ok := d.Authenticate(bad)
		is.True(!ok)
		is.Equal(got, config.Identity{})
	}
	_, ok := (&config.Document{}).Authenticate(token)
	is.True(!ok) // no key is valid before the first document
}

// TestNewKey guards against keys that a document or a bootstrap operator cannot use, and against secrets that repeat or
// are part of the key in the document.
func TestNewKey(t *testing.T) {
	is := is.New(t)
	token, key, err := config.NewKey("k-1")
	is.NoErr(err)
	other, _, err := config.NewKey("k-1")
	is.NoErr(err)
	secret, found := strings.CutPrefix(token, "plk_k-1_")
	is.True(found)
	is.Equal(len(secret), 52) // 32 bytes in base32
	is.True(token != other)
	is.Equal(key, config.Key{ID: "k-1", SHA256: config.HashKey(token)})
	is.True(!strings.Contains(fmt.Sprintf("%v %+v %#v", key, key, key), secret))
	is.True(config.MatchesHash(token, key.SHA256))
	is.True(!config.MatchesHash(other, key.SHA256))
	for _, id := range []string{"", "K", "a_b", strings.Repeat("a", 64)} {
		_, _, err := config.NewKey(id)
		is.True(err != nil) // invalid ID
	}
}

// TestRoleAllows guards against a role with more permissions than intended.
func TestRoleAllows(t *testing.T) {
	is := is.New(t)
	roles := []config.Role{"", config.RoleView, config.RoleOperate, config.RolePublish}
	for i, have := range roles {
		for k, need := range roles {
			is.Equal(have.Allows(need), k > 0 && i >= k)
		}
	}
}
