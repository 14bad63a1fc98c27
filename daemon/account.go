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

// The times of the account.
const (
	accountDefaultRange  = 24 * time.Hour      // How far back it is read for a query without a request.
	accountRetention     = 90 * 24 * time.Hour // How long it is kept.
	accountPruneInterval = 6 * time.Hour       // Between two deletions of what is older.
)

// pruneAccount deletes the zone's old account while this process is its scheduler, until ctx ends.
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
			d.log.Info("old account deleted", "segments", deleted)
		}
	}
}

// Account returns the records kept in the store; those of the last seconds may still be on their way to it.
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

// zones returns every zone with a pool or a process, in order of name.
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

// accountStart returns the first day to read: that of the request, which its identifier tells.
func accountStart(request cyclamendyke.RequestID, now time.Time) time.Time {
	suffix := string(request)[strings.LastIndexByte(string(request), '-')+1:]
	id, err := ulid.ParseStrict(suffix)
	if err != nil {
		return now.Add(-accountDefaultRange)
	}
	return ulid.Time(id.Time())
}
