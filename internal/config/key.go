package config

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base32"
	"encoding/hex"
	"errors"
	"slices"
	"strings"
)

const (
	tokenPrefix = "plk_"
	// secretBytes is the length of a secret before its encoding. 256 random bits need no slow hash.
	secretBytes = 32
)

// secretEncoding has no underscore, which separates the parts of a token.
var secretEncoding = base32.NewEncoding("abcdefghijklmnopqrstuvwxyz234567").WithPadding(base32.NoPadding)

// roles lists the roles from the least to the most powerful.
var roles = []Role{RoleView, RoleOperate, RolePublish}

func (r Role) valid() bool { return slices.Contains(roles, r) }

// Allows reports whether a holder of r may do what needs the role needed.
func (r Role) Allows(needed Role) bool {
	return r.valid() && needed.valid() && slices.Index(roles, r) >= slices.Index(roles, needed)
}

// Identity is the owner of an API key: either a team, or an operator with a role.
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

// NewKey makes an API key. The token plk_<id>_<secret> goes to the key's user and the key into the document.
func NewKey(id string) (token string, key Key, err error) {
	if !ValidName(id) {
		return "", Key{}, errors.New("new key: the ID " + nameRule)
	}
	secret := make([]byte, secretBytes)
	if _, err := rand.Read(secret); err != nil {
		return "", Key{}, errors.New("new key: no random bytes")
	}
	token = tokenPrefix + id + "_" + secretEncoding.EncodeToString(secret)
	return token, Key{ID: id, SHA256: HashKey(token)}, nil
}

// HashKey returns the SHA-256 hash of a whole token in the form of the document.
func HashKey(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// MatchesHash reports whether the token has the given hash, in constant time. It serves keys that stand outside a document.
func MatchesHash(token, hash string) bool {
	return subtle.ConstantTimeCompare([]byte(HashKey(token)), []byte(hash)) == 1
}

// Authenticate returns the owner of the token that a request carries in its Authorization header after "Bearer ". It does the
// same work for known and unknown key IDs, so that its duration doesn't tell which IDs exist.
func (d *Document) Authenticate(bearer string) (Identity, bool) {
	sum := sha256.Sum256([]byte(bearer))
	entry, known := d.keys[tokenID(bearer)]
	equal := subtle.ConstantTimeCompare(sum[:], entry.hash[:]) == 1
	if !known || !equal {
		return Identity{}, false
	}
	return entry.identity, true
}

// tokenID returns the key ID in a token, or "" (never the ID of a key) if the token is malformed.
func tokenID(token string) string {
	rest, ok := strings.CutPrefix(token, tokenPrefix)
	id, _, hasSecret := strings.Cut(rest, "_")
	if !ok || !hasSecret {
		return ""
	}
	return id
}

// buildKeyIndex needs a validated document.
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
