package advice

import (
	"cmp"
	"slices"
	"time"
)

// agingTime is how long a want waits until it takes turns with wants of higher rank.
const agingTime = 2 * time.Second

// Want is a waiting step that wants advice on targets that have room for it.
type Want struct {
	Urgent bool
	Again  bool          // Tasks that must always run have stopped.
	Since  time.Duration // When it began to wait.
	Served float64       // Time that its team's calls have taken, relative to the team's weight.
}

// Order returns the indexes of wants, which are given by rank, in the order in which they get calls.
//
// Urgent wants come first, by rank. The others take turns: the next by rank, then the next of those that
// have waited for agingTime, so that no kind of work starves while what ranks higher keeps all members
// busy. Of the latter, tasks that must run again come first, then the teams that had the least time.
func (p *Planner) Order(wants []Want) []int {
	var urgent, byRank, byAge []int
	for i, w := range wants {
		switch {
		case w.Urgent:
			urgent = append(urgent, i)
		default:
			byRank = append(byRank, i)
			if p.now-w.Since >= agingTime {
				byAge = append(byAge, i)
			}
		}
	}
	slices.SortStableFunc(byAge, func(a, b int) int {
		x, y := wants[a], wants[b]
		return cmp.Or(compareBool(y.Again, x.Again), cmp.Compare(x.Served, y.Served), cmp.Compare(x.Since, y.Since))
	})
	if p.rankNext {
		return append(urgent, alternate(byRank, byAge, len(wants))...)
	}
	return append(urgent, alternate(byAge, byRank, len(wants))...)
}

// alternate merges two lists of indexes below count, each index once, taking turns.
func alternate(first, second []int, count int) []int {
	out := make([]int, 0, count)
	taken := make([]bool, count)
	for len(first) > 0 || len(second) > 0 {
		for _, list := range []*[]int{&first, &second} {
			for len(*list) > 0 && taken[(*list)[0]] {
				*list = (*list)[1:]
			}
			if len(*list) > 0 {
				taken[(*list)[0]] = true
				out = append(out, (*list)[0])
			}
		}
	}
	return out
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}
