package account

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/cas"
)

// The bounds of one query.
const (
	DefaultLimit = 10_000
	maxDays      = 366
	pruneDays    = 31 // Days that one call of Prune looks back.
)

// Query selects records of the account; empty fields select everything.
type Query struct {
	Zones   []cyclamendyke.ZoneName // Whose writers' records are read; a refusal is with the process that refused.
	Request cyclamendyke.RequestID
	Team    cyclamendyke.TeamName
	From    time.Time // First day of writing that is read; the day of To if zero.
	To      time.Time // Last day of writing that is read.
	Limit   int       // Records returned at most, the latest first; DefaultLimit if zero.
}

// Result is the answer to a query.
type Result struct {
	Records   []cyclamendyke.AccountRecord // In order of time.
	Truncated bool                         // Earlier records were left out.
}

// ReaderConfig sets up a Reader.
type ReaderConfig struct {
	Store       cyclamendyke.Store
	CallTimeout time.Duration // Of one call to the store.
}

// Reader reads the account of all processes; it is safe for concurrent use.
type Reader struct {
	config ReaderConfig
}

// NewReader returns a reader of the store.
func NewReader(config ReaderConfig) *Reader {
	config.CallTimeout = cmp.Or(config.CallTimeout, cas.DefaultCallTimeout)
	return &Reader{config: config}
}

// Read returns the selected records, KindInvalid if the query spans too many days or the account cannot be read, or KindUnavailable.
func (r *Reader) Read(ctx context.Context, query Query) (Result, error) {
	query.Limit = cmp.Or(query.Limit, DefaultLimit)
	query.From = cmp.Or(query.From, query.To)
	if query.To.Sub(query.From) > maxDays*day {
		return Result{}, newError("read", cyclamendyke.KindInvalid, nil)
	}
	var found []cyclamendyke.AccountRecord
	first := query.From.UTC().Truncate(day)
	for at := query.To.UTC().Truncate(day); !at.Before(first) && len(found) <= query.Limit; at = at.Add(-day) {
		for _, zone := range query.Zones {
			records, err := r.readDay(ctx, dayPrefix(zone, at.Format(dayFormat)), query)
			if err != nil {
				return Result{}, err
			}
			found = append(found, records...)
		}
	}
	slices.SortStableFunc(found, compareRecords)
	skip := max(len(found)-query.Limit, 0)
	return Result{Records: found[skip:], Truncated: skip > 0}, nil
}

func (r *Reader) readDay(ctx context.Context, prefix string, query Query) ([]cyclamendyke.AccountRecord, error) {
	ctx, cancel := context.WithTimeout(ctx, r.config.CallTimeout)
	defer cancel()
	entries, _, err := r.config.Store.List(ctx, prefix)
	if err != nil {
		return nil, newError("read", cyclamendyke.KindUnavailable, err)
	}
	var found []cyclamendyke.AccountRecord
	for _, entry := range entries {
		var content struct {
			Records []cyclamendyke.AccountRecord `json:"records"`
		}
		if err := json.Unmarshal(entry.Value, &content); err != nil {
			return nil, newError("read", cyclamendyke.KindInvalid, err)
		}
		for _, record := range content.Records {
			if query.selects(record) {
				found = append(found, record)
			}
		}
	}
	return found, nil
}

func (q Query) selects(record cyclamendyke.AccountRecord) bool {
	return (q.Request == "" || q.Request == record.Request) && (q.Team == "" || q.Team == record.Team)
}

// Prune deletes the segments of a zone written in the pruneDays days before the day of before, and returns how many went.
func (r *Reader) Prune(ctx context.Context, zone cyclamendyke.ZoneName, before time.Time) (int, error) {
	deleted := 0
	for back := 1; back <= pruneDays; back++ {
		written := before.UTC().Truncate(day).Add(-time.Duration(back) * day)
		count, err := r.pruneDay(ctx, dayPrefix(zone, written.Format(dayFormat)))
		deleted += count
		if err != nil {
			return deleted, err
		}
	}
	return deleted, nil
}

func (r *Reader) pruneDay(ctx context.Context, prefix string) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, r.config.CallTimeout)
	defer cancel()
	entries, _, err := r.config.Store.List(ctx, prefix)
	if err != nil {
		return 0, newError("prune", cyclamendyke.KindUnavailable, err)
	}
	for i, entry := range entries {
		err := r.config.Store.Delete(ctx, entry.Key, entry.Revision)
		if err != nil && !errors.Is(err, cyclamendyke.KindNotFound) {
			return i, newError("prune", cyclamendyke.KindUnavailable, err)
		}
	}
	return len(entries), nil
}
