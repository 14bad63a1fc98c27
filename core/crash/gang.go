package crash

import (
	"slices"
	"time"
)

// The rules for blaming a member of a gang. Chance hits one member now and another then; a deadly member is hit in each run that
// lasts long enough, and about as long after its start.
const (
	maxMemberCrashes   = 5           // A member is blamed after so many, less one if an earlier scheduler may have known of another.
	quickMemberCrashes = 3           // After so many that came right after the start.
	otherCrashes       = 3           // So many crashes under other members may come in between; each further one asks for one more.
	ageSpread          = time.Second // A deadly member crashes its targets at ages that differ by less.
)

// isOfGang reports whether crashes name members.
func isOfGang(crashes []Record) bool {
	return len(crashes) > 0 && len(crashes[len(crashes)-1].Members) > 0
}

// membersOf returns the members that crashes were under, each once.
func membersOf(crashes []Record) []int {
	var out []int
	for _, c := range crashes {
		out = append(out, c.Members...)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// under returns the crashes that a member was under.
func under(crashes []Record, member int) []Record {
	var out []Record
	for _, c := range crashes {
		if slices.Contains(c.Members, member) {
			out = append(out, c)
		}
	}
	return out
}

// haveCommonMember reports whether two crashes under the same run may be one: those under a task, or under the same member.
func haveCommonMember(a, b Record) bool {
	if len(a.Members) == 0 || len(b.Members) == 0 {
		return true
	}
	return slices.ContainsFunc(a.Members, func(member int) bool { return slices.Contains(b.Members, member) })
}

// evidenceAgainstMember returns the crashes under a member that is to blame, or none.
func (h *History) evidenceAgainstMember() []Record {
	unexplained := h.Unexplained()
	for _, member := range membersOf(unexplained) {
		known, all := under(unexplained, member), under(h.Crashes, member)
		if areWhole(all) {
			if isTaskBlamed(all) {
				return all // A gang on one target is like one task.
			}
			continue
		}
		survived := countSurvived(unexplained, known)
		needed := h.memberCrashes() + max(survived, countOthers(unexplained, known)-otherCrashes)
		if len(known) >= suspiciousCrashes && len(all) >= needed || survived == 0 && areQuick(known) {
			return all
		}
	}
	return nil
}

// areWhole reports whether a gang was on one target at each crash.
func areWhole(crashes []Record) bool {
	return !slices.ContainsFunc(crashes, func(c Record) bool { return !c.Whole })
}

// memberCrashes returns how many crashes make a member to blame that has survived no run.
func (h *History) memberCrashes() int {
	if h.MayLack {
		return maxMemberCrashes - 1
	}
	return maxMemberCrashes
}

// countOthers returns how many runs of the gang ended under other members since a member was hit first.
func countOthers(all, hits []Record) int {
	first := slices.IndexFunc(all, hits[0].IsSame)
	count := 0
	for _, c := range all[first:] {
		if !isUnder(c, hits) {
			count++
		}
	}
	return count
}

// countSurvived returns how many runs a member has worked in for longer than it does before a crash if it is to blame.
func countSurvived(all, hits []Record) int {
	usual := usualAge(hits)
	count := 0
	for _, c := range all {
		survives := usual
		if isUnder(c, hits) {
			survives += ageSpread
		}
		if c.Least() >= survives {
			count++
		}
	}
	return count
}

// usualAge returns how long a member works at most before a crash: the shortest age but one, if there are some, as one may be chance.
func usualAge(hits []Record) time.Duration {
	ages := make([]time.Duration, 0, len(hits))
	for _, c := range hits {
		ages = append(ages, c.Most())
	}
	slices.Sort(ages)
	if len(ages) > quickMemberCrashes {
		return ages[1]
	}
	return ages[0]
}

// isUnder reports whether a crash is one of a member's, or came in the same run as one of these.
func isUnder(c Record, hits []Record) bool {
	return slices.ContainsFunc(hits, func(hit Record) bool { return hit.IsSame(c) || hit.Run != 0 && hit.Run == c.Run })
}

// areQuick reports whether crashes came right after the start too often for a coincidence, the last one apart from other work.
func areQuick(crashes []Record) bool {
	certain := 0
	for _, c := range crashes {
		if c.Uncertain {
			continue
		}
		if c.Most() > QuickCrash {
			return false
		}
		certain++
	}
	return certain >= quickMemberCrashes && crashes[len(crashes)-1].Alone
}
