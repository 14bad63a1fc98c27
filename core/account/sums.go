package account

import (
	"cmp"
	"slices"
	"time"

	"cyclamendyke"
)

// sumKey is what the records of one sum have in common.
type sumKey struct {
	from    time.Time
	span    time.Duration
	team    cyclamendyke.TeamName
	route   cyclamendyke.RouteName
	verdict cyclamendyke.Verdict
	reason  cyclamendyke.Reason
}

// sums adds records up; what it holds is bounded and nothing added is lost from the totals.
type sums struct {
	byKey map[sumKey]cyclamendyke.AccountRecord
}

func newSums() sums {
	return sums{byKey: map[sumKey]cyclamendyke.AccountRecord{}}
}

const day = 24 * time.Hour

// add takes a record in: per minute, and with less detail the more sums there are.
func (s *sums) add(record cyclamendyke.AccountRecord) {
	key := sumKey{
		team:    record.Team,
		route:   record.Route,
		verdict: record.Verdict,
		reason:  record.Reason,
	}
	steps := []func(){
		func() { key.span = time.Minute },
		func() { key.span = time.Hour },
		func() { key.span, key.route = day, "" },
		func() { key.team = "" },
	}
	for i, step := range steps {
		step()
		key.from = record.At.UTC().Truncate(key.span)
		_, found := s.byKey[key]
		if found || len(s.byKey) < maxSums*(i+1) {
			break
		}
	}
	sum := s.byKey[key]
	sum.At = key.from
	sum.Zone = record.Zone
	sum.Team = key.team
	sum.Route = key.route
	sum.Verdict = key.verdict
	sum.Reason = key.reason
	sum.Tasks += record.Tasks
	sum.Count += record.Count
	sum.CoreSeconds += record.CoreSeconds
	s.byKey[key] = sum
}

// take removes and returns, in order, the sums whose time is over at now, or all of them.
func (s *sums) take(now time.Time, all bool) []cyclamendyke.AccountRecord {
	var taken []cyclamendyke.AccountRecord
	for key, sum := range s.byKey {
		if all || !now.Before(key.from.Add(key.span)) {
			taken = append(taken, sum)
			delete(s.byKey, key)
		}
	}
	slices.SortFunc(taken, compareRecords)
	return taken
}

func (s *sums) len() int {
	return len(s.byKey)
}

// compareRecords orders by time and then by what tells records apart.
func compareRecords(a, b cyclamendyke.AccountRecord) int {
	return cmp.Or(
		a.At.Compare(b.At),
		cmp.Compare(a.Zone, b.Zone),
		cmp.Compare(a.Request, b.Request),
		cmp.Compare(a.Team, b.Team),
		cmp.Compare(a.Route, b.Route),
		cmp.Compare(a.Verdict, b.Verdict),
		cmp.Compare(a.Reason, b.Reason),
		cmp.Compare(a.Count, b.Count),
	)
}
