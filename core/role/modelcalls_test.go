package role_test

import (
	"slices"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/role"
)

func (m *model) sendToStore(p *member, arrive func(now time.Time)) {
	if m.lost() {
		return
	}
	m.send(m.delay(), func(now time.Time) {
		if !p.storeDisconnected && !m.store.down {
			arrive(now)
		}
	})
}

func (m *model) callStore(p *member, call func(now time.Time) (cyclamendyke.ElectionResult, cyclamendyke.ZoneScheduler)) {
	sent := m.now
	m.sendToStore(p, func(now time.Time) {
		result, current := call(now)
		m.sendAnswer(p, func(now time.Time) []cyclamendyke.RoleCommand { return p.role.StoreElected(now, sent, result, current) })
	})
}

func (m *model) elect(p *member, now time.Time, command cyclamendyke.ElectCommand) (cyclamendyke.ElectionResult, cyclamendyke.ZoneScheduler) {
	if now.Before(m.store.until) && m.store.holder.Epoch.Owner != p.name {
		return cyclamendyke.ElectionLost, m.store.holder
	}
	next, ok := role.NextRecord(m.store.epoch, command, cyclamendyke.Member{Name: p.name, Zone: zone})
	if !ok {
		return cyclamendyke.ElectionLost, m.store.epoch
	}
	m.store.epoch = next
	m.store.holder = next
	m.store.until = now.Add(command.TTL)
	return cyclamendyke.ElectionWon, next
}

func (m *model) renew(now time.Time, epoch cyclamendyke.Epoch) (cyclamendyke.ElectionResult, cyclamendyke.ZoneScheduler) {
	switch {
	case !now.Before(m.store.until):
		return cyclamendyke.ElectionLost, cyclamendyke.ZoneScheduler{}
	case m.store.holder.Epoch != epoch:
		return cyclamendyke.ElectionLost, m.store.holder
	}
	m.store.until = now.Add(role.DefaultStoreLeaseTTL)
	return cyclamendyke.ElectionWon, m.store.holder
}

func (m *model) callWorker(p *member, name cyclamendyke.WorkerName, claim cyclamendyke.Claim) {
	i := slices.IndexFunc(m.workers, func(w *fakeWorker) bool { return w.name == name })
	if i < 0 || m.lost() {
		return
	}
	worker, sent := m.workers[i], m.now
	m.send(m.delay(), func(now time.Time) {
		if worker.removed || p.disconnectedWorkers[name] {
			return
		}
		kind := worker.handleClaim(now, claim)
		fence := worker.fence
		m.sendAnswer(p, func(now time.Time) []cyclamendyke.RoleCommand {
			if kind == "" {
				return p.role.SessionGranted(now, sent, name, claim)
			}
			return p.role.SessionRefused(now, name, kind, fence)
		})
	})
}

func (m *model) release(p *member, epoch cyclamendyke.Epoch) {
	m.sendToStore(p, func(time.Time) {
		if m.store.holder.Epoch == epoch {
			m.store.until = time.Time{}
		}
	})
	for _, worker := range m.workers {
		if m.lost() {
			continue
		}
		m.send(m.delay(), func(time.Time) {
			if worker.claim.Epoch == epoch && !p.disconnectedWorkers[worker.name] {
				worker.until = time.Time{}
			}
		})
	}
}
