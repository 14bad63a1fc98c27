package daemon

import (
	"context"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"

	"cyclamendyke"
	"cyclamendyke/core/account"
)

// accountSpan is how far back the account is read for a query without a request.
const accountSpan = 24 * time.Hour

// Account returns the records kept in the store; those of the last seconds may still be on their way to it.
func (d *Daemon) Account(ctx context.Context, request cyclamendyke.RequestID, team cyclamendyke.TeamName, zone cyclamendyke.ZoneName) ([]cyclamendyke.AccountRecord, error) {
	now := time.Now()
	query := account.Query{
		Request: request,
		Team:    team,
		From:    accountStart(request, now),
		To:      now,
	}
	if zone != "" {
		query.Zones = []cyclamendyke.ZoneName{zone}
	}
	result, err := d.reader.Read(ctx, query)
	return result.Records, err
}

// accountStart returns the first day to read: that of the request, which its identifier tells.
func accountStart(request cyclamendyke.RequestID, now time.Time) time.Time {
	suffix := string(request)[strings.LastIndexByte(string(request), '-')+1:]
	id, err := ulid.ParseStrict(suffix)
	if err != nil {
		return now.Add(-accountSpan)
	}
	return ulid.Time(id.Time())
}
