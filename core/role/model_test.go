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
	zone          = cyclamendyke.ZoneName("z1")
	tick          = 100 * time.Millisecond
	renewInterval = 2 * time.Second // Between two renewals of each worker's session.
)

// message is a call or an answer in transit.
type message struct {
	due     time.Time
	order   int
	deliver func(now time.Time)
}

// member is one scheduler process.
type member struct {
	name                cyclamendyke.MemberName
	role                *role.Role
	generation          int
	frozen              bool
	pending             []func(now time.Time) // Answers that arrived while the process was frozen.
	storeDisconnected   bool
	disconnectedWorkers map[cyclamendyke.WorkerName]bool
	nextRenew           time.Time
}

// model simulates one zone: a store, workers and members whose messages are delayed and lost.
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
	workers          []*fakeWorker
	members          []*member
	lastWorkerNumber int
	maxEpoch         cyclamendyke.Epoch // The highest epoch that has had authority.
	changes          int
}

func newModel(members, workers int, draw func(string, int) int) *model {
	m := &model{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), draw: draw}
	for range workers {
		m.addWorker()
	}
	for i := range members {
		m.members = append(m.members, &member{name: cyclamendyke.MemberName(fmt.Sprintf("m%d", i)), disconnectedWorkers: map[cyclamendyke.WorkerName]bool{}})
		m.restart(m.members[i])
	}
	return m
}

func (m *model) addWorker() {
	m.lastWorkerNumber++
	m.workers = append(m.workers, &fakeWorker{name: cyclamendyke.WorkerName(fmt.Sprintf("w%d", m.lastWorkerNumber))})
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

// delay draws a message's time in transit; a few take seconds.
func (m *model) delay() time.Duration {
	if m.draw("slow", 40) == 0 {
		return time.Duration(m.draw("delay", 60)) * 100 * time.Millisecond
	}
	return time.Duration(1+m.draw("delay", 20)) * time.Millisecond
}

// lost draws whether a message is lost.
func (m *model) lost() bool { return m.draw("lost", 50) == 0 }

// sendAnswer delivers an answer to the process that sent the call, unless it was restarted meanwhile.
func (m *model) sendAnswer(p *member, handle func(now time.Time) []cyclamendyke.RoleCommand) {
	generation := p.generation
	if m.lost() {
		return
	}
	m.send(m.delay(), func(now time.Time) {
		handleIfAlive := func(now time.Time) {
			if p.generation == generation {
				m.execute(p, handle(now))
			}
		}
		if p.frozen {
			p.pending = append(p.pending, handleIfAlive)
			return
		}
		handleIfAlive(now)
	})
}

func (m *model) execute(p *member, commands []cyclamendyke.RoleCommand) {
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
			m.sendToStore(p, func(time.Time) {
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

// step advances the clock by one tick and checks that at most one member has authority.
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
		if err := m.checkAuthorities(); err != nil {
			return err
		}
	}
	m.now = end
	for _, p := range m.members {
		if !p.frozen {
			m.tickMember(p)
		}
	}
	return m.checkAuthorities()
}

// tickMember does what a daemon does for its role at each tick.
func (m *model) tickMember(p *member) {
	for _, handleAnswer := range p.pending {
		handleAnswer(m.now)
	}
	p.pending = nil
	m.execute(p, p.role.SetVMs(m.now, m.vms()))
	m.execute(p, p.role.Tick(m.now))
	claim, ok := p.role.Claim(m.now)
	if !ok || !p.role.Authority(m.now).Valid(m.now) || m.now.Before(p.nextRenew) {
		return
	}
	p.nextRenew = m.now.Add(renewInterval)
	for _, vm := range m.vms() {
		m.callWorker(p, vm.Name, claim)
	}
}

// checkAuthorities returns an error if two members have authority or an epoch is lower than an earlier one.
func (m *model) checkAuthorities() error {
	var holder *member
	for _, p := range m.members {
		authority := p.role.Authority(m.now)
		if !authority.Valid(m.now) {
			continue
		}
		if holder != nil {
			return fmt.Errorf("%s: %s and %s both have authority", m.now.Format(time.TimeOnly), holder.role.Authority(m.now).Epoch, authority.Epoch)
		}
		holder = p
		if authority.Epoch.Compare(m.maxEpoch) < 0 {
			return fmt.Errorf("%s has authority after %s had it", authority.Epoch, m.maxEpoch)
		}
		m.maxEpoch = authority.Epoch
	}
	return nil
}

// runUntil steps until done returns true or limit has passed, and returns the time that has passed.
func (m *model) runUntil(limit time.Duration, done func() bool) (time.Duration, error) {
	start := m.now
	for m.now.Sub(start) < limit && !done() {
		if err := m.step(); err != nil {
			return 0, err
		}
	}
	return m.now.Sub(start), nil
}

// holder returns the member that has authority and is not frozen, or nil.
func (m *model) holder() *member {
	i := slices.IndexFunc(m.members, func(p *member) bool { return !p.frozen && p.role.Authority(m.now).Valid(m.now) })
	if i < 0 {
		return nil
	}
	return m.members[i]
}
