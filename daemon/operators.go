package daemon

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/config"
	"cyclamendyke/core/tables"
	"cyclamendyke/io/caller"
)

// refreshTimeout limits how long an edit waits for this process to apply its own write.
const refreshTimeout = 3 * time.Second

// IsOperator reports whether the key is the operators' key.
func (d *Daemon) IsOperator(key string) bool {
	sum := sha256.Sum256([]byte(key))
	given := hex.EncodeToString(sum[:])
	return subtle.ConstantTimeCompare([]byte(given), []byte(d.cfg.Settings.OperatorKeyHash)) == 1
}

// Tables returns the latest tables in this process's view.
func (d *Daemon) Tables(context.Context) (cyclamendyke.TablesText, cyclamendyke.Revision, error) {
	text, revision, err := d.configView.Snapshot().Tables()
	if err != nil {
		return text, revision, newError("tables", cyclamendyke.KindInvalid, err)
	}
	return text, revision, nil
}

// CheckTables returns every fault in the tables.
func (d *Daemon) CheckTables(text cyclamendyke.TablesText) []cyclamendyke.Fault {
	_, faults := tables.Parse(text, 0)
	return faults
}

// EditTables replaces the tables if their revision in the store is the expected one.
func (d *Daemon) EditTables(ctx context.Context, text cyclamendyke.TablesText, expected cyclamendyke.Revision) (caller.EditResult, error) {
	if faults := d.CheckTables(text); len(faults) > 0 {
		return caller.EditResult{Faults: faults}, nil
	}
	revision, err := d.tablesEditor.Edit(ctx, text, expected)
	var conflict *config.Error
	switch {
	case errors.Is(err, cyclamendyke.KindConflict) && errors.As(err, &conflict):
		return caller.EditResult{Revision: conflict.Current, Conflict: true}, nil
	case err != nil:
		return caller.EditResult{}, err
	}
	d.refreshView(ctx)
	return caller.EditResult{Revision: revision}, nil
}

// refreshView applies this process's own write at once. Errors are ignored because the watch also
// delivers the write.
func (d *Daemon) refreshView(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	if d.configView.Refresh(ctx) == nil {
		d.applyTablesAndKeys(d.configView.Snapshot())
	}
}

// Members returns the state of every process and the processes that did not answer.
func (d *Daemon) Members(context.Context) ([]cyclamendyke.MemberState, []cyclamendyke.Member) {
	d.directory.update(d.state(), time.Now())
	states := d.directory.fresh(time.Now())
	unreachable := make([]cyclamendyke.Member, 0)
	for _, member := range d.knownMembers.list() {
		answered := slices.ContainsFunc(states, func(s cyclamendyke.MemberState) bool { return s.Member.Name == member.Name })
		if !answered {
			unreachable = append(unreachable, member)
		}
	}
	return states, unreachable
}

// GrantKey creates a key for a team in the table of routes.
func (d *Daemon) GrantKey(ctx context.Context, team cyclamendyke.TeamName) (caller.GrantedKey, error) {
	current := d.tables.Load()
	if current == nil {
		return caller.GrantedKey{}, newError("grant key", cyclamendyke.KindUnavailable, errors.New("no tables are in force here yet"))
	}
	if _, ok := current.Teams[team]; !ok {
		return caller.GrantedKey{}, newError("grant key", cyclamendyke.KindInvalid, fmt.Errorf("the table of routes has no team %q", team))
	}
	granted, err := d.keyRegistry.Grant(ctx, team)
	if err != nil {
		return caller.GrantedKey{}, err
	}
	d.refreshView(ctx)
	return caller.GrantedKey{ID: granted.ID, Key: granted.Key}, nil
}

// Keys lists the keys without their secrets.
func (d *Daemon) Keys(ctx context.Context) ([]cyclamendyke.KeyRecord, error) {
	records, _, err := d.keyRegistry.List(ctx)
	return records, err
}

// WithdrawKey withdraws a key; this process refuses it at once, the others after the next watch
// event or heartbeat.
func (d *Daemon) WithdrawKey(ctx context.Context, id string) (cyclamendyke.Revision, error) {
	revision, err := d.keyRegistry.Withdraw(ctx, id)
	if err != nil {
		return 0, err
	}
	d.addEvent(cyclamendyke.TimelineEvent{Kind: cyclamendyke.EventKeyWithdrawn, Detail: id})
	d.refreshView(ctx)
	return revision, nil
}

// Workers returns the workers of a zone, read from its scheduler.
func (d *Daemon) Workers(ctx context.Context, zone cyclamendyke.ZoneName) (cyclamendyke.ZoneName, []cyclamendyke.WorkerState, error) {
	if zone == "" {
		zone = d.member.Zone
	}
	if _, isScheduler := d.controller.currentEpoch(); isScheduler && zone == d.member.Zone {
		return zone, d.controller.workers(), nil
	}
	holder, ok := d.directory.scheduler(zone, time.Now())
	if !ok {
		return zone, nil, newError("workers", cyclamendyke.KindUnavailable, fmt.Errorf("zone %q has no scheduler at present", zone))
	}
	ctx, cancel := context.WithTimeout(ctx, d.cfg.Settings.Limits.PeerTimeout)
	defer cancel()
	workers, err := d.peers.Workers(ctx, holder.Member.Name)
	return zone, workers, err
}

// Timeline returns this process's timeline events that match the filter.
func (d *Daemon) Timeline(filter cyclamendyke.TimelineFilter) (cyclamendyke.MemberName, []cyclamendyke.TimelineEvent) {
	return d.member.Name, d.timelineRing.Events(filter)
}
