package role_test

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/role"
)

const (
	zone      = cyclamendyke.ZoneName("z1")
	tick      = 100 * time.Millisecond
	renewEach = 2 * time.Second // Between two renewals of one worker.
)

// message is a call or an answer on its way.
type message struct {
	due     time.Time
	order   int
	deliver func(now time.Time)
}

// fakeWorker follows the platform's rules for sessions.
type fakeWorker struct {
	name    cyclamendyke.WorkerName
	fence   cyclamendyke.Epoch
	claim   cyclamendyke.Claim
	until   time.Time // Of the session.
	removed bool
}

// call answers a claim or renewal with a kind, empty if it was granted.
func (w *fakeWorker) call(now time.Time, claim cyclamendyke.Claim) cyclamendyke.Kind {
	live := now.Before(w.until)
	same := w.claim.Epoch == claim.Epoch
	preempts := claim.StoreLease && w.claim.Mode == cyclamendyke.SessionPreemptible
	switch {
	case claim.Epoch.Compare(w.fence) < 0:
		return cyclamendyke.KindFenced
	case live && !same && !preempts:
		return cyclamendyke.KindSessionHeld
	}
	if live && same && claim.ModeVersion < w.claim.ModeVersion {
		claim.Mode, claim.ModeVersion = w.claim.Mode, w.claim.ModeVersion
	}
	w.fence = claim.Epoch
	w.claim = claim
	w.until = now.Add(claim.SessionTTL)
	return ""
}

// member is one process with a role.
type member struct {
	name       cyclamendyke.MemberName
	role       *role.Role
	generation int
	frozen     bool
	pending    []func(now time.Time) // Answers that arrived while it was frozen.
	cutStore   bool
	cutWorkers map[cyclamendyke.WorkerName]bool
	nextRenew  time.Time
}

// model is one zone: a store, workers and members, with messages that are delayed and lost.
type model struct {
	now      time.Time
	draw     func(label string, limit int) int
	queue    []message
	sequence int
	store    struct {
		down   bool
		epoch  cyclamendyke.ZoneScheduler
		holder cyclamendyke.ZoneScheduler
		until  time.Time
	}
	workers  []*fakeWorker
	members  []*member
	spare    int
	maxEpoch cyclamendyke.Epoch // Of any authority so far.
	changes  int
}

func newModel(members, workers int, draw func(string, int) int) *model {
	m := &model{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), draw: draw}
	for range workers {
		m.addWorker()
	}
	for i := range members {
		m.members = append(m.members, &member{name: cyclamendyke.MemberName(fmt.Sprintf("m%d", i)), cutWorkers: map[cyclamendyke.WorkerName]bool{}})
		m.restart(m.members[i])
	}
	return m
}

func (m *model) addWorker() {
	m.spare++
	m.workers = append(m.workers, &fakeWorker{name: cyclamendyke.WorkerName(fmt.Sprintf("w%d", m.spare))})
}

func (m *model) vms() []cyclamendyke.VM {
	var vms []cyclamendyke.VM
	for _, w := range m.workers {
		if !w.removed {
			vms = append(vms, cyclamendyke.VM{Name: w.name, Zone: zone, State: cyclamendyke.VMLive})
		}
	}
	return vms
}

func (m *model) restart(p *member) {
	p.generation++
	p.name = cyclamendyke.MemberName(fmt.Sprintf("%.2s.%d", p.name, p.generation))
	p.role = role.New(role.Config{Member: p.name, Zone: zone, InitialVMs: m.vms()})
	p.frozen, p.pending = false, nil
}

func (m *model) send(delay time.Duration, deliver func(now time.Time)) {
	m.sequence++
	m.queue = append(m.queue, message{due: m.now.Add(delay), order: m.sequence, deliver: deliver})
}

// delay draws the time that a message takes; a few take seconds.
func (m *model) delay() time.Duration {
	if m.draw("slow", 40) == 0 {
		return time.Duration(m.draw("delay", 60)) * 100 * time.Millisecond
	}
	return time.Duration(1+m.draw("delay", 20)) * time.Millisecond
}

// lost draws whether a message is lost.
func (m *model) lost() bool { return m.draw("lost", 50) == 0 }

// answer hands an answer to the process that asked, if it still lives.
func (m *model) answer(p *member, handle func(now time.Time) []cyclamendyke.RoleCommand) {
	generation := p.generation
	if m.lost() {
		return
	}
	m.send(m.delay(), func(now time.Time) {
		take := func(now time.Time) {
			if p.generation == generation {
				m.carryOut(p, handle(now))
			}
		}
		if p.frozen {
			p.pending = append(p.pending, take)
			return
		}
		take(now)
	})
}

func (m *model) carryOut(p *member, commands []cyclamendyke.RoleCommand) {
	for _, command := range commands {
		switch command := command.(type) {
		case cyclamendyke.ElectCommand:
			m.callStore(p, func(now time.Time) (cyclamendyke.ElectionResult, cyclamendyke.ZoneScheduler) {
				return m.elect(p, now, command)
			})
		case cyclamendyke.RenewElectionCommand:
			m.callStore(p, func(now time.Time) (cyclamendyke.ElectionResult, cyclamendyke.ZoneScheduler) {
				return m.renew(now, command.Epoch)
			})
		case cyclamendyke.EstablishCommand:
			m.toStore(p, func(time.Time) {
				if m.store.epoch.Epoch == command.Epoch {
					m.store.epoch.Established = true
				}
			})
		case cyclamendyke.ClaimAllCommand:
			for _, worker := range command.Workers {
				m.callWorker(p, worker, command.Claim)
			}
		case cyclamendyke.ReleaseCommand:
			m.release(p, command.Epoch)
		case cyclamendyke.RoleChangedCommand:
			m.changes++
		}
	}
}

func (m *model) toStore(p *member, arrive func(now time.Time)) {
	if m.lost() {
		return
	}
	m.send(m.delay(), func(now time.Time) {
		if !p.cutStore && !m.store.down {
			arrive(now)
		}
	})
}

func (m *model) callStore(p *member, call func(now time.Time) (cyclamendyke.ElectionResult, cyclamendyke.ZoneScheduler)) {
	sent := m.now
	m.toStore(p, func(now time.Time) {
		result, found := call(now)
		m.answer(p, func(now time.Time) []cyclamendyke.RoleCommand { return p.role.StoreElected(now, sent, result, found) })
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
		if worker.removed || p.cutWorkers[name] {
			return
		}
		kind := worker.call(now, claim)
		fence := worker.fence
		m.answer(p, func(now time.Time) []cyclamendyke.RoleCommand {
			if kind == "" {
				return p.role.SessionGranted(now, sent, name, claim)
			}
			return p.role.SessionRefused(now, name, kind, fence)
		})
	})
}

func (m *model) release(p *member, epoch cyclamendyke.Epoch) {
	m.toStore(p, func(time.Time) {
		if m.store.holder.Epoch == epoch {
			m.store.until = time.Time{}
		}
	})
	for _, worker := range m.workers {
		if m.lost() {
			continue
		}
		m.send(m.delay(), func(time.Time) {
			if worker.claim.Epoch == epoch && !p.cutWorkers[worker.name] {
				worker.until = time.Time{}
			}
		})
	}
}

// step moves the clock by one tick and checks that no two members may act.
func (m *model) step() error {
	end := m.now.Add(tick)
	for {
		slices.SortFunc(m.queue, func(a, b message) int { return cmp.Or(a.due.Compare(b.due), cmp.Compare(a.order, b.order)) })
		if len(m.queue) == 0 || m.queue[0].due.After(end) {
			break
		}
		next := m.queue[0]
		m.queue = m.queue[1:]
		m.now = next.due
		next.deliver(m.now)
		if err := m.check(); err != nil {
			return err
		}
	}
	m.now = end
	for _, p := range m.members {
		if !p.frozen {
			m.drive(p)
		}
	}
	return m.check()
}

// drive is what a daemon does for its role at each tick.
func (m *model) drive(p *member) {
	for _, take := range p.pending {
		take(m.now)
	}
	p.pending = nil
	m.carryOut(p, p.role.SetVMs(m.now, m.vms()))
	m.carryOut(p, p.role.Tick(m.now))
	claim, ok := p.role.Claim(m.now)
	if !ok || !p.role.Authority(m.now).Valid(m.now) || m.now.Before(p.nextRenew) {
		return
	}
	p.nextRenew = m.now.Add(renewEach)
	for _, vm := range m.vms() {
		m.callWorker(p, vm.Name, claim)
	}
}

// check finds two members that may act, and an authority below an earlier one.
func (m *model) check() error {
	var holder *member
	for _, p := range m.members {
		authority := p.role.Authority(m.now)
		if !authority.Valid(m.now) {
			continue
		}
		if holder != nil {
			return fmt.Errorf("%s: %s and %s both may act", m.now.Format(time.TimeOnly), holder.role.Authority(m.now).Epoch, authority.Epoch)
		}
		holder = p
		if authority.Epoch.Compare(m.maxEpoch) < 0 {
			return fmt.Errorf("%s acts after %s", authority.Epoch, m.maxEpoch)
		}
		m.maxEpoch = authority.Epoch
	}
	return nil
}

// run steps until done holds or limit is over, and returns how long that took.
func (m *model) run(limit time.Duration, done func() bool) (time.Duration, error) {
	start := m.now
	for m.now.Sub(start) < limit && !done() {
		if err := m.step(); err != nil {
			return 0, err
		}
	}
	return m.now.Sub(start), nil
}

// holder returns the member that may act, or nil.
func (m *model) holder() *member {
	i := slices.IndexFunc(m.members, func(p *member) bool { return !p.frozen && p.role.Authority(m.now).Valid(m.now) })
	if i < 0 {
		return nil
	}
	return m.members[i]
}
