package once

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cyclamendyke"
)

// The rules of keeping records.
const (
	Slots           = 256
	KeptAfterEnd    = 7 * 24 * time.Hour  // How long a record is kept after its outcome.
	KeptWithoutEnd  = 30 * 24 * time.Hour // How long a record is kept whose outcome never came.
	maxSlotBytes    = 900_000             // A reservation beyond this is refused.
	maxOutcomeBytes = 4_000               // A larger outcome is kept without what its tasks wrote, then without results.
	keyHashBytes    = 16
)

// record is one idempotency key of a team.
type record struct {
	Key      string                 `json:"key"` // Hash of team and idempotency key.
	Request  cyclamendyke.RequestID `json:"request"`
	Token    string                 `json:"token"` // Of the latest reservation; only that one can give the key back.
	Reserved time.Time              `json:"reserved"`
	Ended    time.Time              `json:"ended,omitzero"`
	Outcome  cyclamendyke.Outcome   `json:"outcome,omitzero"`
}

// slot is the value of one slot, in order of reservation.
type slot struct {
	Records []record `json:"records"`
}

// keyHash returns the hash that stands for a team's idempotency key.
func keyHash(team cyclamendyke.TeamName, key string) string {
	sum := sha256.Sum256([]byte(string(team) + "\x00" + key))
	return hex.EncodeToString(sum[:keyHashBytes])
}

func slotOf(hash string) int {
	return int(xxhash.Sum64String(hash) % Slots)
}

func slotKey(number int) string {
	return fmt.Sprintf("%s%03d", cyclamendyke.OncePrefix, number)
}

func decodeSlot(value []byte) (slot, error) {
	var s slot
	if len(value) == 0 {
		return s, nil
	}
	if err := json.Unmarshal(value, &s); err != nil {
		return s, newError("decode", cyclamendyke.KindInvalid, err)
	}
	return s, nil
}

func (s *slot) find(hash string) int {
	return slices.IndexFunc(s.Records, func(r record) bool { return r.Key == hash })
}

// prune drops the records whose time is over.
func (s *slot) prune(now time.Time) {
	s.Records = slices.DeleteFunc(s.Records, func(r record) bool {
		if r.Ended.IsZero() {
			return now.Sub(r.Reserved) > KeptWithoutEnd
		}
		return now.Sub(r.Ended) > KeptAfterEnd
	})
}

// bounded returns the outcome without what does not fit a record, and says so in its detail.
func bounded(outcome cyclamendyke.Outcome) cyclamendyke.Outcome {
	if outcomeBytes(outcome) <= maxOutcomeBytes {
		return outcome
	}
	results := slices.Clone(outcome.Results)
	for i := range results {
		results[i].Output = ""
	}
	outcome.Results = results
	outcome.Detail = "The output was given with the first answer and is not kept."
	if outcomeBytes(outcome) > maxOutcomeBytes {
		outcome.Results = nil
		outcome.Detail = "The results were given with the first answer and are not kept."
	}
	return outcome
}

func outcomeBytes(outcome cyclamendyke.Outcome) int {
	data, err := json.Marshal(outcome)
	if err != nil {
		return 0
	}
	return len(data)
}
