package scheduler

import (
	"cmp"
	"time"

	"github.com/google/btree"
)

const treeDegree = 16

// timers calls functions at or after their set time, ordered by that time and then by the order
// of the calls to set.
type timers struct {
	tree    *btree.BTreeG[timer]
	lastSeq uint64
}

type timer struct {
	at   time.Time
	seq  uint64
	fire func(now time.Time)
}

func newTimers() *timers {
	return &timers{tree: btree.NewG(treeDegree, timerLess)}
}

func (t *timers) set(at time.Time, fire func(now time.Time)) {
	t.lastSeq++
	t.tree.ReplaceOrInsert(timer{at, t.lastSeq, fire})
}

// fireDue calls the functions that are due at now.
func (t *timers) fireDue(now time.Time) {
	for {
		first, found := t.tree.Min()
		if !found || first.at.After(now) {
			return
		}
		t.tree.DeleteMin()
		first.fire(now)
	}
}

func timerLess(a, b timer) bool {
	return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.seq, b.seq)) < 0
}
