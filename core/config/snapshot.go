package config

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"cyclamendyke"
)

// Copy holds all entries under the watched prefix at one revision of the store, sorted
// by key. Entries with a higher revision were written later and merged in.
type Copy struct {
	Revision cyclamendyke.Revision `json:"revision"`
	Entries  []cyclamendyke.Entry  `json:"entries"`
}

// Snapshot is the immutable state of a view at one moment.
type Snapshot struct {
	Copy
	Confirmed time.Time // When the store last confirmed that it held nothing newer; zero if it never did.
}

// Entry returns the entry of a key and whether there is one.
func (c Copy) Entry(key string) (cyclamendyke.Entry, bool) {
	index, found := slices.BinarySearchFunc(c.Entries, key, compareKey)
	if !found {
		return cyclamendyke.Entry{}, false
	}
	return c.Entries[index], true
}

// WithPrefix returns the entries whose keys start with prefix, sorted by key.
func (c Copy) WithPrefix(prefix string) []cyclamendyke.Entry {
	start, _ := slices.BinarySearchFunc(c.Entries, prefix, compareKey)
	end := start
	for end < len(c.Entries) && strings.HasPrefix(c.Entries[end].Key, prefix) {
		end++
	}
	return c.Entries[start:end:end]
}

// Tables returns the text of both tables and its revision, which is zero if no tables are stored.
func (c Copy) Tables() (cyclamendyke.TablesText, cyclamendyke.Revision, error) {
	var text cyclamendyke.TablesText
	entry, found := c.Entry(cyclamendyke.TablesKey)
	if !found {
		return text, 0, nil
	}
	if err := json.Unmarshal(entry.Value, &text); err != nil {
		return text, entry.Revision, newError("tables", cyclamendyke.KindInvalid, 0, err)
	}
	return text, entry.Revision, nil
}

// Members returns the registered members sorted by key, without values that cannot be decoded.
func (c Copy) Members() []cyclamendyke.Member {
	return decode[cyclamendyke.Member](c.WithPrefix(cyclamendyke.MembersPrefix))
}

// Schedulers returns the holders of the scheduler roles sorted by zone, without values
// that cannot be decoded.
func (c Copy) Schedulers() []cyclamendyke.ZoneScheduler {
	return decode[cyclamendyke.ZoneScheduler](c.WithPrefix(cyclamendyke.SchedulerPrefix))
}

func decode[T any](entries []cyclamendyke.Entry) []T {
	values := make([]T, 0, len(entries))
	for _, entry := range entries {
		var value T
		if json.Unmarshal(entry.Value, &value) == nil {
			values = append(values, value)
		}
	}
	return values
}

func compareKey(entry cyclamendyke.Entry, key string) int {
	return strings.Compare(entry.Key, key)
}
