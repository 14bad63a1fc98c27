package kv

import (
	"slices"
	"time"

	"cyclamendyke"
)

func (s *Service) grantLease(ttl time.Duration) cyclamendyke.LeaseID {
	s.lastLease++
	id := s.lastLease
	s.leases[id] = &leaseState{
		ttl:     ttl,
		expires: time.Now().Add(ttl),
		timer:   time.AfterFunc(ttl, func() { s.expireLease(id) }),
	}
	return id
}

// expireLease ends a lease whose timer has fired, unless the lease was extended in the meantime.
func (s *Service) expireLease(id cyclamendyke.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lease, ok := s.leases[id]
	if !ok || s.closed || time.Now().Before(lease.expires) {
		return
	}
	s.revokeLease(id)
}

// extendLease restarts the lease's time to live and reports whether the lease exists.
func (s *Service) extendLease(id cyclamendyke.LeaseID) bool {
	lease, ok := s.leases[id]
	if !ok {
		return false
	}
	lease.expires = time.Now().Add(lease.ttl)
	lease.timer.Reset(lease.ttl)
	return true
}

// revokeLease ends a lease, removes its keys in sorted order and reports whether the lease existed.
func (s *Service) revokeLease(id cyclamendyke.LeaseID) bool {
	lease, ok := s.leases[id]
	if !ok {
		return false
	}
	lease.timer.Stop()
	delete(s.leases, id)
	keys := []string{}
	for key, found := range s.entries {
		if found.lease == id {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	for _, key := range keys {
		s.remove(key)
	}
	return true
}
