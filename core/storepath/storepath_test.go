package storepath

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/matryer/is"
)

// outcomeNames are the names of outcomes in testdata.
var outcomeNames = map[string]Outcome{"answered": Answered, "refused": Refused, "unknown": Unknown, "abandoned": Abandoned}

type breakerCall struct {
	Sent  time.Duration `toml:"sent"`
	Ended time.Duration `toml:"ended"`
	How   string        `toml:"how"`
}

// TestBreaker checks the state of the own path after the calls in testdata/breaker.toml.
func TestBreaker(t *testing.T) {
	var file struct {
		Case []struct {
			Name  string        `toml:"name"`
			At    time.Duration `toml:"at"`
			Calls []breakerCall `toml:"calls"`
			Want  State         `toml:"want"`
		} `toml:"case"`
	}
	if _, err := toml.DecodeFile("testdata/breaker.toml", &file); err != nil {
		t.Fatal(err)
	}
	for _, c := range file.Case {
		t.Run(c.Name, func(t *testing.T) {
			p, ids := newTestPaths(), map[time.Duration]CallID{}
			slices.SortFunc(c.Calls, func(a, b breakerCall) int { return cmp.Compare(a.Sent, b.Sent) })
			for _, call := range c.Calls {
				ids[call.Sent] = p.Begin(call.Sent)
			}
			slices.SortFunc(c.Calls, func(a, b breakerCall) int { return cmp.Compare(a.Ended, b.Ended) })
			for _, call := range c.Calls {
				if call.Ended > 0 {
					p.End(call.Ended, ids[call.Sent], outcomeNames[call.How])
				}
			}
			is.New(t).Equal(p.State(c.At), c.Want)
		})
	}
}

func newTestPaths() *Paths {
	return New(Config{Self: "self", Zone: "z1", Rand: rand.New(rand.NewPCG(1, 2))})
}

// breakOwn makes the own path broken.
func breakOwn(p *Paths) {
	for range brokenFailures {
		p.End(2, p.Begin(1), Refused)
	}
}

const testDeadline = 2 * time.Second

var testMembers = []Member{{Name: "a", Zone: "z1", IsScheduler: true}, {Name: "b", Zone: "z2"}, {Name: "c", Zone: "z3"}}

// TestUnknownThenRefusedIsUnknown checks that a write without an answer is not refused afterwards, neither by
// the same request nor by a later one.
func TestUnknownThenRefusedIsUnknown(t *testing.T) {
	is, p := is.New(t), newTestPaths()
	w := p.NewWrite("w", testDeadline, testMembers[:1])
	is.Equal(w.Next(1).Kind, StepOwn)
	is.True(w.Proceed(0))
	w.Ended(2, 0, Unknown)
	breakOwn(p)
	step := w.Next(3)
	is.Equal(step.Kind, StepMember)
	w.Ended(4, step.Attempt, Refused)
	is.Equal(w.Next(5).Kind, StepUnknown)
	is.Equal(p.NewWrite("w", testDeadline, nil).Next(6).Kind, StepUnknown)
	is.Equal(p.NewWrite("v", testDeadline, nil).Next(6).Kind, StepRefused)
	is.Equal(p.NewWrite("w", testDeadline, nil).Next(doubtFor+time.Second).Kind, StepRefused)
}

// TestRejectedWriteIsNotTriedElsewhere checks that a write that the store does not take is refused without asking
// another member, and says nothing against the member that tried.
func TestRejectedWriteIsNotTriedElsewhere(t *testing.T) {
	is, p := is.New(t), newTestPaths()
	breakOwn(p)
	w := p.NewWrite("w", testDeadline, testMembers)
	step := w.Next(3)
	is.True(w.Proceed(step.Attempt))
	w.Ended(4, step.Attempt, Rejected)
	is.Equal(w.Next(5).Reason, ReasonRejected)
	is.Equal(p.NewWrite("v", testDeadline, testMembers).Next(6).Member, step.Member)
}

// TestAttemptWithoutWriteIsRefused checks that an attempt that only checked its path leaves nothing unknown and
// does not write after the caller has been answered.
func TestAttemptWithoutWriteIsRefused(t *testing.T) {
	is, p := is.New(t), newTestPaths()
	w := p.NewWrite("w", testDeadline, nil)
	is.Equal(w.Next(1).Kind, StepOwn)
	is.Equal(w.Next(testDeadline).Kind, StepRefused)
	is.True(!w.Proceed(0))
}

// TestMembersAreAskedBestFirst checks that members that stored something come first, that those that failed are
// left alone, and that the second is asked without waiting long for the first, in another zone.
func TestMembersAreAskedBestFirst(t *testing.T) {
	is, p := is.New(t), newTestPaths()
	breakOwn(p)
	p.recordMember(5, testMembers[1], Answered)
	p.recordMember(5, testMembers[2], Refused)
	w := p.NewWrite("w", testDeadline, testMembers)
	first := w.Next(10)
	is.Equal(first.Member.Name, testMembers[1].Name)
	wait := w.Next(10)
	is.Equal(wait.Kind, StepWait)
	is.True(wait.Until <= 10+maxHedgeDelay)
	is.Equal(w.Next(wait.Until).Member.Name, testMembers[0].Name)
	w.Proceed(first.Attempt)
	w.Ended(wait.Until, first.Attempt, Answered)
	is.Equal(w.Next(wait.Until).Kind, StepStored)
}

// TestNoMemberIsAskedByEachCaller checks that after a write that no member stored the next ones are refused at
// once, until one of them tries again.
func TestNoMemberIsAskedByEachCaller(t *testing.T) {
	is, p := is.New(t), newTestPaths()
	breakOwn(p)
	for w := p.NewWrite("w", testDeadline, testMembers); ; {
		step := w.Next(10)
		if step.Kind == StepRefused {
			is.True(step.RetryAfter >= minRetryAfter/2)
			break
		}
		w.Ended(10, step.Attempt, Refused)
	}
	is.Equal(p.NewWrite("v", testDeadline, testMembers).Next(20).Reason, ReasonNoPath)
	later := 10 + memberFailureFor + 2*noMemberFor
	is.Equal(p.NewWrite("u", testDeadline+later, testMembers).Next(later).Kind, StepMember)
	is.Equal(p.NewWrite("t", testDeadline+later, testMembers).Next(later).Kind, StepRefused)
}

// TestRefusedByThisVMAloneComesBackSoon checks that the time to come back is short while others reach the store,
// and differs between callers.
func TestRefusedByThisVMAloneComesBackSoon(t *testing.T) {
	is, p := is.New(t), newTestPaths()
	breakOwn(p)
	first, second := p.RetryAfter(10), p.RetryAfter(10)
	is.True(first >= minRetryAfter/2 && second >= minRetryAfter/2 && first != second)
	p.recordMember(10, testMembers[1], Answered)
	is.True(p.RetryAfter(20) < 2*retryElsewhere)
}

// TestCutOffZoneHasNoPath breaks the paths to the store and to the members of other zones. Callers must be sent
// elsewhere from then on, until the path works again or a member outside answers, whatever one inside says.
func TestCutOffZoneHasNoPath(t *testing.T) {
	is, p := is.New(t), newTestPaths()
	p.recordMember(1, testMembers[2], Refused)
	is.True(!p.HasNoPath(1))
	breakOwn(p)
	is.True(!p.HasNoPath(2))
	p.recordMember(3, testMembers[0], Refused)
	is.True(!p.HasNoPath(3))
	p.recordMember(4, testMembers[1], Unreachable)
	is.True(p.HasNoPath(time.Second))
	p.recordMember(time.Second, testMembers[2], Refused) // The store is away for other zones, too.
	is.True(!p.HasNoPath(time.Second))
	p.recordMember(2*time.Second, testMembers[2], Unreachable)
	p.End(3*time.Second, p.Begin(2*time.Second), Answered)
	is.True(!p.HasNoPath(3 * time.Second))
}
