package daemon

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"

	"cyclamendyke"
	"cyclamendyke/core/account"
)

// Settings for reading and keeping accounting records.
const (
	accountDefaultRange  = 24 * time.Hour      // Time range of a query that names no request.
	accountRetention     = 90 * 24 * time.Hour // Older records are deleted.
	accountPruneInterval = 6 * time.Hour       // Time between deletions of old records.
)

// pruneAccount periodically deletes old accounting records of this zone while this process is its
// scheduler, until ctx ends.
func (d *Daemon) pruneAccount(ctx context.Context) {
	ticker := time.NewTicker(accountPruneInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if _, isScheduler := d.controller.currentEpoch(); !isScheduler {
			continue
		}
		if deleted, err := d.accountReader.Prune(ctx, d.member.Zone, time.Now().Add(-accountRetention)); err == nil && deleted > 0 {
			d.log.Info("deleted old accounting records", "segments", deleted)
		}
	}
}

// Account returns the accounting records that have reached the store; those of the last seconds may
// still be buffered.
func (d *Daemon) Account(ctx context.Context, request cyclamendyke.RequestID, team cyclamendyke.TeamName, zone cyclamendyke.ZoneName) ([]cyclamendyke.AccountRecord, bool, error) {
	now := time.Now()
	query := account.Query{
		Request: request,
		Team:    team,
		From:    accountStart(request, now),
		To:      now,
	}
	query.Zones = []cyclamendyke.ZoneName{zone}
	if zone == "" {
		query.Zones = d.zones()
	}
	result, err := d.accountReader.Read(ctx, query)
	return result.Records, result.Truncated, err
}

// zones returns every zone that has a pool or a daemon, sorted by name.
func (d *Daemon) zones() []cyclamendyke.ZoneName {
	zones := []cyclamendyke.ZoneName{d.member.Zone}
	for _, member := range d.knownMembers.list() {
		zones = append(zones, member.Zone)
	}
	if tables := d.tables.Load(); tables != nil {
		for _, pool := range tables.Pools {
			zones = append(zones, pool.Zones...)
		}
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

// accountStart returns the start of a query: the time encoded in the request's ULID, or a default
// range before now.
func accountStart(request cyclamendyke.RequestID, now time.Time) time.Time {
	suffix := string(request)[strings.LastIndexByte(string(request), '-')+1:]
	id, err := ulid.ParseStrict(suffix)
	if err != nil {
		return now.Add(-accountDefaultRange)
	}
	return ulid.Time(id.Time())
}
