package account

import (
	"cmp"
	"slices"
	"time"

	"cyclamendyke"
)

// aggregateKey holds the fields that the records of one aggregate share; empty fields cover all values.
type aggregateKey struct {
	start   time.Time
	period  time.Duration
	team    cyclamendyke.TeamName
	route   cyclamendyke.RouteName
	verdict cyclamendyke.Verdict
	reason  cyclamendyke.Reason
}

// aggregates sums up records per key, in bounded memory and without loss from the totals.
type aggregates struct {
	byKey map[aggregateKey]cyclamendyke.AccountRecord
}

func newAggregates() aggregates {
	return aggregates{byKey: map[aggregateKey]cyclamendyke.AccountRecord{}}
}

const day = 24 * time.Hour

// add adds a record to its aggregate: per minute or, the more aggregates there are, with less detail.
func (a *aggregates) add(record cyclamendyke.AccountRecord) {
	key := aggregateKey{
		team:    record.Team,
		route:   record.Route,
		verdict: record.Verdict,
		reason:  record.Reason,
	}
	coarsenings := []func(){
		func() { key.period = time.Minute },
		func() { key.period = time.Hour },
		func() { key.period, key.route = day, "" },
		func() { key.team = "" },
	}
	for i, coarsen := range coarsenings {
		coarsen()
		key.start = record.At.UTC().Truncate(key.period)
		_, found := a.byKey[key]
		if found || len(a.byKey) < maxAggregates*(i+1) {
			break
		}
	}
	aggregate := a.byKey[key]
	aggregate.At = key.start
	aggregate.Zone = record.Zone
	aggregate.Team = key.team
	aggregate.Route = key.route
	aggregate.Verdict = key.verdict
	aggregate.Reason = key.reason
	aggregate.Tasks += record.Tasks
	aggregate.Count += record.Count
	aggregate.CoreSeconds += record.CoreSeconds
	a.byKey[key] = aggregate
}

// takeEnded removes and returns, in order, the aggregates whose period has ended, or all of them.
func (a *aggregates) takeEnded(now time.Time, all bool) []cyclamendyke.AccountRecord {
	var taken []cyclamendyke.AccountRecord
	for key, aggregate := range a.byKey {
		if all || !now.Before(key.start.Add(key.period)) {
			taken = append(taken, aggregate)
			delete(a.byKey, key)
		}
	}
	slices.SortFunc(taken, compareRecords)
	return taken
}

func (a *aggregates) len() int {
	return len(a.byKey)
}

// compareRecords orders records by time and then by their other fields.
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
