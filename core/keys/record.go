package keys

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"cyclamendyke"
)

// Limits of the list of keys, which keeps withdrawn records so that operators can list them.
const (
	WithdrawnRetention = 30 * 24 * time.Hour // How long a withdrawn record is kept.
	MaxWithdrawn       = 1000                // Number of withdrawn records kept; the oldest are dropped first.
	// MaxEncodedBytes is the size from which on grants are refused; withdrawals are not, and add at most
	// the times of MaxWithdrawn records.
	MaxEncodedBytes = 900_000
)

// document is the stored value of the list of keys.
type document struct {
	Keys []cyclamendyke.KeyRecord `json:"keys"`
}

// Decode returns the records in a stored value; an empty value holds none.
func Decode(value []byte) ([]cyclamendyke.KeyRecord, error) {
	var doc document
	if len(value) == 0 {
		return nil, nil
	}
	if err := json.Unmarshal(value, &doc); err != nil {
		return nil, newError("decode", cyclamendyke.KindInvalid, err)
	}
	return doc.Keys, nil
}

// Encode returns the value to store, with the records sorted by identifier.
func Encode(records []cyclamendyke.KeyRecord) ([]byte, error) {
	sorted := slices.Clone(records)
	slices.SortFunc(sorted, func(a, b cyclamendyke.KeyRecord) int { return cmp.Compare(a.ID, b.ID) })
	value, err := json.Marshal(document{Keys: sorted})
	if err != nil {
		return nil, newError("encode", cyclamendyke.KindInvalid, err)
	}
	return value, nil
}

// prune drops withdrawn records older than WithdrawnRetention, and the oldest of the
// others beyond MaxWithdrawn.
func prune(records []cyclamendyke.KeyRecord, now time.Time) []cyclamendyke.KeyRecord {
	active := make([]cyclamendyke.KeyRecord, 0, len(records))
	var withdrawn []cyclamendyke.KeyRecord
	for _, record := range records {
		switch {
		case record.WithdrawnAt.IsZero():
			active = append(active, record)
		case now.Sub(record.WithdrawnAt) < WithdrawnRetention:
			withdrawn = append(withdrawn, record)
		}
	}
	slices.SortFunc(withdrawn, func(a, b cyclamendyke.KeyRecord) int {
		return cmp.Or(b.WithdrawnAt.Compare(a.WithdrawnAt), cmp.Compare(a.ID, b.ID))
	})
	return append(active, withdrawn[:min(len(withdrawn), MaxWithdrawn)]...)
}
