package storepath

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/BurntSushi/toml"

	"cyclamendyke"
)

// loadFile describes VMs, the writes that arrive there, how the store fails and what callers must get.
type loadFile struct {
	VMs       int       `toml:"vms"`
	Zones     int       `toml:"zones"`
	Seconds   int       `toml:"seconds"`
	PerSecond float64   `toml:"per-second"`
	Seed      uint64    `toml:"seed"`
	Outage    []outage  `toml:"outage"`
	Burst     []burst   `toml:"burst"`
	Expect    loadCheck `toml:"expect"`
}

type outage struct {
	How   string        `toml:"how"`   // silent, refused or slow.
	Share float64       `toml:"share"` // Of the VMs.
	From  time.Duration `toml:"from"`
	Until time.Duration `toml:"until"`
}

type burst struct {
	Factor float64       `toml:"factor"`
	From   time.Duration `toml:"from"`
	Until  time.Duration `toml:"until"`
}

type loadCheck struct {
	MaxLate       float64       `toml:"max-late"`
	MaxUnknown    float64       `toml:"max-unknown"`
	MaxRefused    float64       `toml:"max-refused"`
	MedianRefusal time.Duration `toml:"median-refusal"`
	CallsPerWrite float64       `toml:"max-store-calls-per-write"`
}

// The durations of the simulation.
const (
	simStore       = 5 * time.Millisecond
	simSlow        = 240 * time.Millisecond
	simHop         = 2 * time.Millisecond
	simTimeout     = 900 * time.Millisecond
	simPeerTimeout = 700 * time.Millisecond
	simDeadline    = 2700 * time.Millisecond
	simLate        = 250 * time.Millisecond
)

// fleetSim plays a load with one Paths for each VM, or with the rule before them.
type fleetSim struct {
	load   loadFile
	rand   *rand.Rand
	now    time.Duration
	events []simEvent
	vms    []*simVM
	result simResult
}

type simEvent struct {
	at  time.Duration
	run func()
}

// simVM is one VM. The fields below paths serve the rule before them.
type simVM struct {
	member     Member
	index      int
	paths      *Paths
	failing    bool
	lastAnswer time.Duration
}

// simResult counts the writes that arrived during the outages.
type simResult struct {
	writes, late, unknown, refused, storeCalls int
	refusals                                   []time.Duration
}

func (s *fleetSim) after(d time.Duration, run func()) {
	event := simEvent{s.now + d, run}
	i, _ := slices.BinarySearchFunc(s.events, event, func(a, b simEvent) int { return cmp.Or(cmp.Compare(a.at, b.at), -1) })
	s.events = slices.Insert(s.events, i, event)
}

// callStore plays one call of a VM to the store.
func (s *fleetSim) callStore(vm *simVM, isWrite bool, done func(Outcome)) {
	call, sent := vm.paths.Begin(s.now), s.now
	end := func(after time.Duration, outcome Outcome) {
		s.after(after, func() {
			vm.paths.End(s.now, call, outcome)
			vm.failing = outcome != Answered
			if outcome == Answered {
				vm.lastAnswer = s.now
			}
			done(outcome)
		})
	}
	took := simStore/2 + time.Duration(s.rand.Int64N(int64(simStore)))
	how := s.failure(vm, sent)
	if isWrite && how != "" {
		s.result.storeCalls++
	}
	switch how {
	case "silent":
		end(simTimeout, Unknown)
	case "refused":
		end(took, Refused)
	case "slow":
		end(simSlow+took, Answered)
	default:
		end(took, Answered)
	}
}

// failure returns how the store fails a VM, or an empty text.
func (s *fleetSim) failure(vm *simVM, at time.Duration) string {
	for _, o := range s.load.Outage {
		if at >= o.From && at < o.Until && float64(vm.index) < o.Share*float64(len(s.vms)) {
			return o.How
		}
	}
	return ""
}

// checked runs proceed once a VM's path is known to work.
func (s *fleetSim) checked(vm *simVM, proceed func(), failed func(Outcome)) {
	if !vm.paths.ShouldCheck(s.now) {
		proceed()
		return
	}
	s.callStore(vm, false, func(o Outcome) {
		if o != Answered {
			failed(Refused)
			return
		}
		proceed()
	})
}

// submit plays a write by Paths.
func (s *fleetSim) submit(vm *simVM) {
	var members []Member
	for _, other := range s.vms {
		if other != vm {
			members = append(members, other.member)
		}
	}
	arrived, isOver := s.now, false
	w := vm.paths.NewWrite(cyclamendyke.WorkflowID(strconv.FormatInt(int64(s.now), 10)), s.now+simDeadline, members)
	var advance func()
	end := func(number int) func(Outcome) {
		return func(o Outcome) { w.Ended(s.now, number, o); advance() }
	}
	advance = func() {
		for !isOver {
			step := w.Next(s.now)
			switch step.Kind {
			case StepOwn:
				s.checked(vm, func() {
					if w.Proceed(step.Attempt) {
						s.callStore(vm, true, end(step.Attempt))
					}
				}, end(step.Attempt))
			case StepMember:
				s.after(simHop, func() { s.askMember(w, step, end(step.Attempt)) })
			case StepWait:
				s.after(step.Until-s.now, advance)
				return
			default:
				isOver = true
				s.count(arrived, step.Kind)
			}
		}
	}
	advance()
}

func (s *fleetSim) askMember(w *Write, step Step, end func(Outcome)) {
	other := s.vms[slices.IndexFunc(s.vms, func(vm *simVM) bool { return vm.member == step.Member })]
	answer := func(o Outcome) { s.after(simHop, func() { end(o) }) }
	if other.paths.State(s.now) != Good {
		answer(Refused)
		return
	}
	s.checked(other, func() {
		if w.Proceed(step.Attempt) {
			s.callStore(other, true, answer)
		}
	}, answer)
}

// submitBefore plays a write by the rule before: the own path unless it failed lately, then the scheduler and
// the first member of another zone.
func (s *fleetSim) submitBefore(vm *simVM) {
	arrived, mayTakeEffect := s.now, false
	others := []*simVM{s.vms[0], s.vms[1]}
	var try func(i int)
	ended := func(i int) func(Outcome) {
		return func(o Outcome) {
			mayTakeEffect = mayTakeEffect || o == Unknown
			switch {
			case o == Answered:
				s.count(arrived, StepStored)
			case i < len(others):
				try(i + 1)
			case mayTakeEffect:
				s.count(arrived, StepUnknown)
			default:
				s.count(arrived, StepRefused)
			}
		}
	}
	try = func(i int) {
		by, end := vm, ended(i)
		if i > 0 {
			by = others[i-1]
		}
		if by.failing && s.now-by.lastAnswer > simPeerTimeout {
			end(Refused)
			return
		}
		s.callStore(by, true, end)
	}
	try(0)
}

// count counts the answer to a caller if the write arrived during an outage.
func (s *fleetSim) count(arrived time.Duration, kind StepKind) {
	if !slices.ContainsFunc(s.load.Outage, func(o outage) bool { return arrived >= o.From && arrived < o.Until }) {
		return
	}
	s.result.writes++
	switch {
	case kind == StepUnknown:
		s.result.unknown++
	case kind == StepRefused:
		s.result.refused++
		s.result.refusals = append(s.result.refusals, s.now-arrived)
	case s.now-arrived > simLate:
		s.result.late++
	}
}

// renew plays the renewals of a VM's lease, which probe its path.
func (s *fleetSim) renew(vm *simVM) {
	s.callStore(vm, false, func(Outcome) {
		pause := 500 * time.Millisecond
		if vm.failing || vm.paths.State(s.now) != Good {
			pause = 75*time.Millisecond + time.Duration(s.rand.Int64N(int64(150*time.Millisecond)))
		}
		s.after(pause, func() { s.renew(vm) })
	})
}

// playLoad plays a load and returns what its callers got.
func playLoad(load loadFile, isBefore bool) simResult {
	s := &fleetSim{load: load, rand: rand.New(rand.NewPCG(load.Seed, 0))}
	for i := range load.VMs {
		name := cyclamendyke.MemberName("vm-" + strconv.Itoa(i))
		vm := &simVM{index: i, member: Member{Name: name, Zone: cyclamendyke.ZoneName(strconv.Itoa(i % load.Zones)), IsScheduler: i == 0}}
		vm.paths = New(Config{Self: name, Rand: s.rand})
		s.vms = append(s.vms, vm)
		s.after(time.Duration(s.rand.Int64N(int64(500*time.Millisecond))), func() { s.renew(vm) })
	}
	length := time.Duration(load.Seconds) * time.Second
	for at := time.Second; at < length; {
		rate := load.PerSecond
		for _, b := range load.Burst {
			if at >= b.From && at < b.Until {
				rate *= b.Factor
			}
		}
		vm := s.vms[s.rand.IntN(len(s.vms))]
		s.after(at, func() {
			if isBefore {
				s.submitBefore(vm)
				return
			}
			s.submit(vm)
		})
		at += time.Duration(s.rand.ExpFloat64() * float64(time.Second) / rate)
	}
	for len(s.events) > 0 && s.events[0].at < length+simDeadline {
		event := s.events[0]
		s.events = s.events[1:]
		s.now = event.at
		event.run()
	}
	return s.result
}

// TestLoads plays each load in testdata/loads and checks what callers get, beside the rule before.
func TestLoads(t *testing.T) {
	files, _ := filepath.Glob("testdata/loads/*.toml")
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			var load loadFile
			if _, err := toml.DecodeFile(file, &load); err != nil {
				t.Fatal(err)
			}
			before, after := playLoad(load, true), playLoad(load, false)
			t.Logf("before: %s", before)
			t.Logf("after:  %s", after)
			total := float64(after.writes)
			for name, check := range map[string][2]float64{
				"late":    {float64(after.late) / total, load.Expect.MaxLate},
				"unknown": {float64(after.unknown) / total, load.Expect.MaxUnknown},
				"refused": {float64(after.refused) / total, load.Expect.MaxRefused},
				"calls":   {float64(after.storeCalls) / total, cmp.Or(load.Expect.CallsPerWrite, 1e9)},
				"refusal": {after.medianRefusal().Seconds(), cmp.Or(load.Expect.MedianRefusal, time.Hour).Seconds()},
			} {
				if check[0] > check[1] {
					t.Errorf("%s: %.4f, want at most %.4f", name, check[0], check[1])
				}
			}
		})
	}
}

func (r simResult) medianRefusal() time.Duration {
	if len(r.refusals) == 0 {
		return 0
	}
	return slices.Sorted(slices.Values(r.refusals))[len(r.refusals)/2]
}

// String returns the counts and the median time of a refusal.
func (r simResult) String() string {
	return fmt.Sprintf("%d writes, %d late, %d unknown, %d refused after %s, %d sent to the store", r.writes, r.late, r.unknown, r.refused, r.medianRefusal(), r.storeCalls)
}
