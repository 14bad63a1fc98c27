package config

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"cyclamendyke"
)

// Copy is everything below the watched prefix as the store held it at one
// revision, in order of key; entries of a higher revision were written since.
type Copy struct {
	Revision cyclamendyke.Revision `json:"revision"`
	Entries  []cyclamendyke.Entry  `json:"entries"`
}

// Snapshot is the view of one process at one moment; it is never changed.
type Snapshot struct {
	Copy
	Confirmed time.Time // When the store was last known to hold nothing newer; zero if it never answered.
}

// Entry returns one key.
func (c Copy) Entry(key string) (cyclamendyke.Entry, bool) {
	at, found := slices.BinarySearchFunc(c.Entries, key, compareKey)
	if !found {
		return cyclamendyke.Entry{}, false
	}
	return c.Entries[at], true
}

// Below returns the keys below prefix in order.
func (c Copy) Below(prefix string) []cyclamendyke.Entry {
	from, _ := slices.BinarySearchFunc(c.Entries, prefix, compareKey)
	to := from
	for to < len(c.Entries) && strings.HasPrefix(c.Entries[to].Key, prefix) {
		to++
	}
	return c.Entries[from:to:to]
}

// Tables returns the text of both tables and its revision, which is zero if there are none yet.
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

// Members returns the registered members in order of key, without those that cannot be read.
func (c Copy) Members() []cyclamendyke.Member {
	return decode[cyclamendyke.Member](c.Below(cyclamendyke.MembersPrefix))
}

// Schedulers returns the holders of the scheduler roles in order of zone, without those that cannot be read.
func (c Copy) Schedulers() []cyclamendyke.ZoneScheduler {
	return decode[cyclamendyke.ZoneScheduler](c.Below(cyclamendyke.SchedulerPrefix))
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
