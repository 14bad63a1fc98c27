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

// Limits of one call of Read or Prune.
const (
	DefaultLimit      = 10_000
	maxQueryDays      = 366
	pruneLookbackDays = 31 // Days before the given day whose segments Prune deletes.
)

// Query selects accounting records; empty Request and Team fields match every record.
type Query struct {
	Zones   []cyclamendyke.ZoneName // Zones of the writers; a refusal is written by the process that refused.
	Request cyclamendyke.RequestID
	Team    cyclamendyke.TeamName
	From    time.Time // First day whose segments are read; the day of To if zero.
	To      time.Time // Last day whose segments are read.
	Limit   int       // Maximum number of records, of which the latest are kept; DefaultLimit if zero.
}

// Result is the result of a query.
type Result struct {
	Records   []cyclamendyke.AccountRecord // Oldest first.
	Truncated bool                         // Older records were omitted because of the limit.
}

// ReaderConfig configures a Reader.
type ReaderConfig struct {
	Store       cyclamendyke.Store
	CallTimeout time.Duration // Time limit of listing the segments of one day and zone, and of pruning them.
}

// Reader reads the accounting records of all processes; it is safe for concurrent use.
type Reader struct {
	config ReaderConfig
}

// NewReader returns a Reader with the given configuration.
func NewReader(config ReaderConfig) *Reader {
	config.CallTimeout = cmp.Or(config.CallTimeout, cas.DefaultCallTimeout)
	return &Reader{config: config}
}

// Read returns the records that match the query.
//
// The error is KindInvalid if the query spans too many days or a segment cannot be
// decoded, and KindUnavailable if the store fails.
func (r *Reader) Read(ctx context.Context, query Query) (Result, error) {
	query.Limit = cmp.Or(query.Limit, DefaultLimit)
	query.From = cmp.Or(query.From, query.To)
	if query.To.Sub(query.From) > maxQueryDays*day {
		return Result{}, newError("read", cyclamendyke.KindInvalid, nil)
	}
	var found []cyclamendyke.AccountRecord
	firstDay := query.From.UTC().Truncate(day)
	for date := query.To.UTC().Truncate(day); !date.Before(firstDay) && len(found) <= query.Limit; date = date.Add(-day) {
		for _, zone := range query.Zones {
			records, err := r.readDay(ctx, dayPrefix(zone, date.Format(dayFormat)), query)
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
			if query.matches(record) {
				found = append(found, record)
			}
		}
	}
	return found, nil
}

func (q Query) matches(record cyclamendyke.AccountRecord) bool {
	return (q.Request == "" || q.Request == record.Request) && (q.Team == "" || q.Team == record.Team)
}

// Prune deletes the zone's segments of the pruneLookbackDays days before the given day.
// It returns the number of deleted segments.
func (r *Reader) Prune(ctx context.Context, zone cyclamendyke.ZoneName, before time.Time) (int, error) {
	deleted := 0
	for daysBack := 1; daysBack <= pruneLookbackDays; daysBack++ {
		date := before.UTC().Truncate(day).Add(-time.Duration(daysBack) * day)
		count, err := r.pruneDay(ctx, dayPrefix(zone, date.Format(dayFormat)))
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
