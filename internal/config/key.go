package config

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base32"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"strings"
)

const (
	tokenPrefix = "plk_"
	// secretBytes is the length of a secret before its encoding. A secret with 256 random bits cannot be guessed, so a
	// fast hash is sufficient.
	secretBytes = 32
)

// secretEncoding uses an alphabet without the underscore, which separates the parts of a token.
var secretEncoding = base32.NewEncoding("abcdefghijklmnopqrstuvwxyz234567").WithPadding(base32.NoPadding)

// rolesByRank contains the roles from the fewest to the most permissions.
var rolesByRank = []Role{RoleView, RoleOperate, RolePublish}

func (r Role) valid() bool { return slices.Contains(rolesByRank, r) }

// Allows reports whether an operator with role r may do what requires the role needed.
func (r Role) Allows(needed Role) bool {
	return r.valid() && needed.valid() && slices.Index(rolesByRank, r) >= slices.Index(rolesByRank, needed)
}

// Identity is the owner of an API key, which is either a team or an operator with a role.
type Identity struct {
	Team     string
	Operator string
	Role     Role
	KeyID    string
}

type keyEntry struct {
	identity Identity
	hash     [sha256.Size]byte
}

// NewKey generates an API key. The token, plk_<id>_<secret>, is given to the user of the key, and the key is added to
// the document.
func NewKey(id string) (token string, key Key, err error) {
	if !ValidName(id) {
		return "", Key{}, errors.New("new key: the ID " + nameRule)
	}
	secret := make([]byte, secretBytes)
	if _, err := rand.Read(secret); err != nil {
		return "", Key{}, fmt.Errorf("new key: read %d random bytes: %w", secretBytes, err)
	}
	token = tokenPrefix + id + "_" + secretEncoding.EncodeToString(secret)
	return token, Key{ID: id, SHA256: HashKey(token)}, nil
}

// HashKey returns the SHA-256 hash of a complete token as it is written in the document.
func HashKey(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// MatchesHash reports whether the token has the given hash, in constant time. It is meant for keys outside the
// document.
func MatchesHash(token, hash string) bool {
	return subtle.ConstantTimeCompare([]byte(HashKey(token)), []byte(hash)) == 1
}

// Authenticate returns the owner of the bearer token from the Authorization header of a request. It does the same work
// for known and unknown key IDs, so that its duration does not disclose which IDs exist.
func (d *Document) Authenticate(bearer string) (Identity, bool) {
	sum := sha256.Sum256([]byte(bearer))
	entry, known := d.keys[tokenID(bearer)]
	equal := subtle.ConstantTimeCompare(sum[:], entry.hash[:]) == 1
	if !known || !equal {
		return Identity{}, false
	}
	return entry.identity, true
}

// tokenID returns the key ID in a token, or "", which is never the ID of a key, if the token is malformed.
func tokenID(token string) string {
	rest, ok := strings.CutPrefix(token, tokenPrefix)
	id, _, hasSecret := strings.Cut(rest, "_")
	if !ok || !hasSecret {
		return ""
	}
	return id
}

// buildKeyIndex builds the index of API keys. The document must have been validated.
func (d *Document) buildKeyIndex() {
	d.keys = map[string]keyEntry{}
	for _, team := range d.Teams {
		for _, key := range team.Keys {
			d.addKey(key, Identity{Team: team.Name, KeyID: key.ID})
		}
	}
	for _, operator := range d.Operators {
		d.addKey(operator.Key, Identity{Operator: operator.Name, Role: operator.Role, KeyID: operator.Key.ID})
	}
}

func (d *Document) addKey(key Key, identity Identity) {
	entry := keyEntry{identity: identity}
	_, _ = hex.Decode(entry.hash[:], []byte(key.SHA256))
	d.keys[key.ID] = entry
}
