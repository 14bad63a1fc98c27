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

// Number of slots, retention times and size limits.
const (
	SlotCount           = 256
	CompletedRetention  = 7 * 24 * time.Hour  // How long a record with an outcome is kept after the outcome.
	IncompleteRetention = 30 * 24 * time.Hour // How long a record without an outcome is kept after its reservation.
	maxSlotBytes        = 900_000             // Reservations that would make the slot larger are refused.
	maxOutcomeBytes     = 4_000               // A larger outcome is stored without task output or without results.
	keyHashBytes        = 16
)

// record is the stored state of one idempotency key of a team.
type record struct {
	Key      string                 `json:"key"` // Hash of the team and the idempotency key.
	Request  cyclamendyke.RequestID `json:"request"`
	Token    string                 `json:"token"` // Identifies the latest reservation, the only one that can release the key.
	Reserved time.Time              `json:"reserved"`
	Ended    time.Time              `json:"ended,omitzero"`
	Outcome  cyclamendyke.Outcome   `json:"outcome,omitzero"`
}

// slot is the stored value of one slot; its records are in order of reservation.
type slot struct {
	Records []record `json:"records"`
}

// keyHash returns the hash under which a team's idempotency key is stored.
func keyHash(team cyclamendyke.TeamName, key string) string {
	sum := sha256.Sum256([]byte(string(team) + "\x00" + key))
	return hex.EncodeToString(sum[:keyHashBytes])
}

func slotIndexOf(hash string) int {
	return int(xxhash.Sum64String(hash) % SlotCount)
}

func slotKey(slotIndex int) string {
	return fmt.Sprintf("%s%03d", cyclamendyke.OncePrefix, slotIndex)
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

func (s *slot) indexOf(hash string) int {
	return slices.IndexFunc(s.Records, func(r record) bool { return r.Key == hash })
}

// removeExpired drops the records that are past their retention.
func (s *slot) removeExpired(now time.Time) {
	s.Records = slices.DeleteFunc(s.Records, func(r record) bool {
		if r.Ended.IsZero() {
			return now.Sub(r.Reserved) > IncompleteRetention
		}
		return now.Sub(r.Ended) > CompletedRetention
	})
}

// limitOutcomeSize removes the output, and if needed the results, from an outcome too large for a record.
// The outcome's detail then says what was removed.
func limitOutcomeSize(outcome cyclamendyke.Outcome) cyclamendyke.Outcome {
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
