package keys

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"cyclamendyke"
)

// Ring is the immutable set of keys at one revision.
type Ring struct {
	Revision cyclamendyke.Revision
	keys     map[string]ringKey
}

type ringKey struct {
	team      cyclamendyke.TeamName
	hash      [sha256.Size]byte
	withdrawn bool
}

// NewRing returns the keys in a store entry; the zero entry holds none.
func NewRing(entry cyclamendyke.Entry) (*Ring, error) {
	records, err := Decode(entry.Value)
	if err != nil {
		return nil, err
	}
	ring := &Ring{Revision: entry.Revision, keys: make(map[string]ringKey, len(records))}
	for _, record := range records {
		key := ringKey{team: record.Team, withdrawn: !record.WithdrawnAt.IsZero()}
		hash, err := hex.DecodeString(record.Hash)
		if err != nil || len(hash) != sha256.Size {
			return nil, newError("ring", cyclamendyke.KindInvalid, err)
		}
		copy(key.hash[:], hash)
		ring.keys[record.ID] = key
	}
	return ring, nil
}

// Authenticate returns the team of a key, KindNotFound if the key is unknown or withdrawn, or
// KindInvalid if its text is malformed.
func (r *Ring) Authenticate(text string) (cyclamendyke.TeamName, error) {
	id, secret, err := parseKey(text)
	if err != nil {
		return "", err
	}
	key, found := r.keys[id]
	hash := sha256.Sum256([]byte(secret))
	equal := subtle.ConstantTimeCompare(hash[:], key.hash[:]) == 1
	if !found || !equal || key.withdrawn {
		return "", newError("check", cyclamendyke.KindNotFound, nil)
	}
	return key.team, nil
}

// KeyID returns the identifier in a key's text, or KindInvalid if the text is malformed.
func KeyID(text string) (string, error) {
	id, _, err := parseKey(text)
	return id, err
}

const (
	keyPrefix    = "cyk"
	keySeparator = "-"
	maxKeyBytes  = 128
)

// parseKey returns the parts of a key's text; the identifier has no separator, the secret may.
func parseKey(text string) (id, secret string, err error) {
	parts := strings.SplitN(text, keySeparator, 3)
	if len(text) > maxKeyBytes || len(parts) != 3 || parts[0] != keyPrefix || parts[1] == "" || parts[2] == "" {
		return "", "", newError("check", cyclamendyke.KindInvalid, nil)
	}
	return parts[1], parts[2], nil
}

func formatKey(id, secret string) string {
	return strings.Join([]string{keyPrefix, id, secret}, keySeparator)
}
