package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"cyclamendyke"
)

// The lease duration and renewal interval of a process's registration in the store.
const (
	memberTTL           = 15 * time.Second
	memberRenewInterval = 5 * time.Second
)

// membership maintains this process's entry in the store's list of members.
type membership struct {
	store  cyclamendyke.Store
	member cyclamendyke.Member
	lease  cyclamendyke.LeaseID
}

// maintain registers this process and renews the registration until ctx ends, and then removes it.
func (m *membership) maintain(ctx context.Context) {
	ticker := time.NewTicker(memberRenewInterval)
	defer ticker.Stop()
	for {
		m.renew(ctx)
		select {
		case <-ctx.Done():
			m.deregister()
			return
		case <-ticker.C:
		}
	}
}

// renew extends the lease, or registers again if the lease has expired.
func (m *membership) renew(ctx context.Context) {
	if m.lease != 0 {
		err := m.store.KeepAlive(ctx, m.lease)
		if !errors.Is(err, cyclamendyke.KindNotFound) {
			return // Extended, or the result is unknown: the next renewal tries again.
		}
		m.lease = 0
	}
	lease, err := m.store.GrantLease(ctx, memberTTL)
	if err != nil {
		return
	}
	if m.register(ctx, lease) {
		m.lease = lease
		return
	}
	_ = m.store.Revoke(ctx, lease)
}

// register writes the entry, replacing one that an earlier process of the same name left.
func (m *membership) register(ctx context.Context, lease cyclamendyke.LeaseID) bool {
	key := cyclamendyke.MembersPrefix + string(m.member.Zone) + "/" + string(m.member.Name)
	value, err := json.Marshal(m.member)
	if err != nil {
		return false
	}
	previous, err := m.store.Get(ctx, key)
	if err != nil && !errors.Is(err, cyclamendyke.KindNotFound) {
		return false
	}
	_, err = m.store.CompareAndSwap(ctx, key, value, previous.Revision, lease)
	return err == nil
}

// deregister removes the entry when the process stops.
func (m *membership) deregister() {
	if m.lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), electionTimeout)
	defer cancel()
	_ = m.store.Revoke(ctx, m.lease)
}
