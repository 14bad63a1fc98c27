package dispatch

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"cyclamendyke"
)

// TestTaskIsBlamedOnWeakEvidence checks which crashes make a task be given up.
func TestTaskIsBlamedOnWeakEvidence(t *testing.T) {
	quick := crash{MostMillis: 20, Alone: true}
	slow := crash{MostMillis: 900, Alone: true}
	beside := crash{MostMillis: 20}
	neverBegan := crash{MostMillis: 20, Alone: true, Uncertain: true}
	explained := crash{MostMillis: 20, Explained: true}
	for _, test := range []struct {
		name    string
		crashes []crash
		blamed  bool
	}{
		{"one", []crash{quick}, false},
		{"two quick ones", []crash{beside, quick}, true},
		{"the last beside other work", []crash{quick, beside}, false},
		{"two slow ones", []crash{slow, slow}, false},
		{"three slow ones", []crash{slow, slow, slow}, true},
		{"three beside other work", []crash{beside, beside, beside}, false},
		{"a start that never began", []crash{neverBegan, quick}, false},
		{"starts that never began", []crash{neverBegan, neverBegan, neverBegan}, false},
		{"the last attempt, whether it began or not", []crash{neverBegan, neverBegan, neverBegan, neverBegan}, true},
		{"the last attempt, beside other work", []crash{beside, beside, beside, beside}, true},
		{"all explained by others", []crash{explained, explained, explained, explained, explained}, false},
		{"one not explained", []crash{explained, explained, quick}, false},
		{"two not explained", []crash{explained, slow, slow}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			history := crashHistory{}
			for i, c := range test.crashes {
				c.Target = cyclamendyke.TargetID(fmt.Sprint("i-", i))
				is.True(history.add(c))
			}
			is.Equal(history.blamed(), test.blamed)
		})
	}
}
