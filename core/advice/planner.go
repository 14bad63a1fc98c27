package advice

import (
	"math"
	"slices"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/retry"
)

// The rules for the members' time.
const (
	maxUrgentWait = 60 * time.Millisecond  // Longest wait for a member's other calls behind which an urgent call is sent there.
	maxOtherWait  = 100 * time.Millisecond // The same for calls that are not urgent: about the time until the next pass that could send one.
	overdueMargin = 700 * time.Millisecond // How much later than expected an answer counts as overdue.
	maxLag        = 300 * time.Millisecond // Longest lag that a member is expected to have.
	lagWeight     = 0.2                    // Weight of one answer in a member's lag.
	reservedPart  = 0.5                    // Largest part of the members that is reserved for urgent calls.
	reserveSpread = 1.0                    // Margin of the reserved members, in multiples of the square root of those that urgent calls keep busy.
	leastReserved = 8                      // One member in this many is always reserved, and at least one.
)

// pause is how long a member that failed gets no call.
var pause = retry.Backoff{Initial: 200 * time.Millisecond, Max: 4 * time.Second}

// Call is a call that a member makes.
type Call struct {
	Number int64
	Member cyclamendyke.MemberName
	Urgent bool
	Cost   time.Duration // Time that the service takes for it alone.
	due    time.Duration // When the service is expected to have handled it.
}

// member is a member with the calls that it has in flight.
type member struct {
	calls       []*Call
	busyUntil   time.Duration // When the service is expected to have handled its calls.
	lag         time.Duration // How much longer than the service its answers take.
	overdue     int           // Calls that are overdue and have not ended; the service may still have to handle them.
	failures    int           // Failed or overdue calls since its last answer in time.
	pausedUntil time.Duration // It gets no call before then.
}

// Planner plans the members' time.
type Planner struct {
	now         time.Duration
	names       []cyclamendyke.MemberName // Sorted.
	members     map[cyclamendyke.MemberName]*member
	calls       map[int64]*Call
	lastNumber  int64
	urgentLoad  Load
	hasUrgent   bool // There may be urgent calls.
	urgentWaits bool // Urgent calls wait for members.
	rankNext    bool // The next call that is not urgent goes by rank, not by age.
}

// NewPlanner returns a planner without members.
func NewPlanner() *Planner {
	return &Planner{members: map[cyclamendyke.MemberName]*member{}, calls: map[int64]*Call{}}
}

// SetMembers sets the members that can make calls.
func (p *Planner) SetMembers(members []cyclamendyke.MemberName) {
	names := slices.Sorted(slices.Values(members))
	if slices.Equal(names, p.names) {
		return
	}
	previous := p.members
	p.names, p.members = names, map[cyclamendyke.MemberName]*member{}
	for _, name := range names {
		p.members[name] = previous[name]
		if previous[name] == nil {
			p.members[name] = &member{}
		}
	}
}

// SetHasUrgent says whether there may be urgent calls.
func (p *Planner) SetHasUrgent(hasUrgent bool) {
	p.hasUrgent = hasUrgent
}

// SetUrgentWaiting says whether urgent calls wait for members, so that more members are reserved.
func (p *Planner) SetUrgentWaiting(waiting bool) {
	p.urgentWaits = waiting
}

// Advance sets the current time and returns the calls that are overdue. Their members do not count as busy,
// but get one call at a time until one is answered in time.
func (p *Planner) Advance(now time.Duration) []*Call {
	p.now = now
	var overdue []*Call
	for _, name := range p.names {
		m := p.members[name]
		if len(m.calls) == 0 || now <= m.calls[0].dueWith(m.lag) {
			continue
		}
		overdue = append(overdue, m.calls...)
		m.overdue += len(m.calls)
		m.calls, m.busyUntil = nil, 0
		m.fail(now)
	}
	for _, call := range overdue {
		delete(p.calls, call.Number)
	}
	return overdue
}

// dueWith returns after when the answer of a member with a lag counts as overdue.
func (c *Call) dueWith(lag time.Duration) time.Duration {
	return c.due + lag + overdueMargin
}

// isReady reports whether a member may get a call at all. One that has failed, or whose calls were overdue, gets
// one at a time, with pauses between them: the service goes on with what the member has given up, so that
// further calls would only queue up behind.
func (m *member) isReady(now time.Duration) bool {
	return now >= m.pausedUntil && (m.failures == 0 || len(m.calls)+m.overdue == 0)
}

// fail pauses a member that did not answer or answered with an error.
func (m *member) fail(now time.Duration) {
	m.failures++
	m.pausedUntil = now + pause.Delay(m.failures)
}

// Take plans a call and returns it, or nil if no member can make it soon.
func (p *Planner) Take(urgent bool, cost time.Duration) *Call {
	name := p.best(urgent)
	if name == "" {
		return nil
	}
	m := p.members[name]
	m.busyUntil = max(m.busyUntil, p.now) + cost
	p.lastNumber++
	call := &Call{Number: p.lastNumber, Member: name, Urgent: urgent, Cost: cost, due: m.busyUntil}
	m.calls = append(m.calls, call)
	p.calls[call.Number] = call
	if urgent {
		p.urgentLoad.Add(p.now, cost)
	} else {
		p.rankNext = !p.rankNext
	}
	return call
}

// CanTake reports whether a member can make a call soon.
func (p *Planner) CanTake(urgent bool) bool {
	return p.best(urgent) != ""
}

// best returns the member that is expected to answer a call first, or an empty name.
func (p *Planner) best(urgent bool) cyclamendyke.MemberName {
	limit := maxUrgentWait
	if !urgent {
		limit = maxOtherWait
	}
	best, available := cyclamendyke.MemberName(""), 0
	var bestWait time.Duration
	for _, name := range p.names {
		m := p.members[name]
		if !m.isReady(p.now) {
			continue
		}
		wait := max(0, m.busyUntil-p.now)
		if urgent || wait <= maxUrgentWait || !m.hasOtherCall() {
			available++
		}
		if wait <= limit && (best == "" || wait+m.lag < bestWait) {
			best, bestWait = name, wait+m.lag
		}
	}
	if !urgent && available <= p.reserved() {
		return ""
	}
	return best
}

// hasOtherCall reports whether a member has a call in flight that is not urgent.
func (m *member) hasOtherCall() bool {
	return slices.ContainsFunc(m.calls, func(c *Call) bool { return !c.Urgent })
}

// reserved returns how many members must be without a call that is not urgent: as many as the urgent
// calls have kept busy lately, and a margin for their chance arrival.
//
// Calls that are not urgent may take far longer than urgent ones, which arrive in bursts: without reserved
// members, a burst would wait until such calls end.
func (p *Planner) reserved() int {
	most := int(reservedPart * float64(len(p.names)))
	if !p.hasUrgent {
		return 0
	}
	if p.urgentWaits {
		return most
	}
	busy := p.urgentLoad.Mean(p.now)
	wanted := int(math.Ceil(busy + reserveSpread*math.Sqrt(busy)))
	least := (len(p.names) + leastReserved - 1) / leastReserved
	return min(max(wanted, least), most)
}

// Answered ends a member's call at a time; ok is false if it failed.
func (p *Planner) Answered(number int64, name cyclamendyke.MemberName, at time.Duration, ok bool) {
	m, call := p.members[name], p.calls[number]
	delete(p.calls, number)
	switch {
	case m == nil:
	case call == nil:
		m.overdue = max(0, m.overdue-1)
	default:
		m.calls = slices.DeleteFunc(m.calls, func(c *Call) bool { return c == call })
		m.answered(call, at, ok)
	}
}

// answered handles the end of a call that is not overdue.
func (m *member) answered(call *Call, at time.Duration, ok bool) {
	if ok {
		m.failures, m.pausedUntil = 0, 0
		m.lag += time.Duration(lagWeight * float64(min(maxLag, max(0, at-call.due))-m.lag))
	} else {
		m.fail(at)
	}
	m.expectNext(at - m.lag)
}

// expectNext expects the member's calls to be handled one after the other from a time on.
func (m *member) expectNext(from time.Duration) {
	m.busyUntil = from
	for _, call := range m.calls {
		m.busyUntil += call.Cost
		call.due = m.busyUntil
	}
}
