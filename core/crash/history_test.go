package crash

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"cyclamendyke"
)

// TestTaskIsBlamedOnWeakEvidence checks which crashes make a task be given up.
func TestTaskIsBlamedOnWeakEvidence(t *testing.T) {
	quick := Record{MostMillis: 20, Alone: true}
	slow := Record{MostMillis: 900, Alone: true}
	beside := Record{MostMillis: 20}
	neverBegan := Record{MostMillis: 20, Alone: true, Uncertain: true}
	explained := Record{MostMillis: 20, Explained: true}
	for _, test := range []struct {
		name    string
		crashes []Record
		blamed  bool
	}{
		{"one", []Record{quick}, false},
		{"two quick ones", []Record{beside, quick}, true},
		{"the last beside other work", []Record{quick, beside}, false},
		{"two slow ones", []Record{slow, slow}, false},
		{"three slow ones", []Record{slow, slow, slow}, true},
		{"three beside other work", []Record{beside, beside, beside}, false},
		{"a start that never began", []Record{neverBegan, quick}, false},
		{"starts that never began", []Record{neverBegan, neverBegan, neverBegan}, false},
		{"the last attempt, whether it began or not", []Record{neverBegan, neverBegan, neverBegan, neverBegan}, true},
		{"the last attempt, beside other work", []Record{beside, beside, beside, beside}, true},
		{"all explained by others", []Record{explained, explained, explained, explained, explained}, false},
		{"one not explained", []Record{explained, explained, quick}, false},
		{"two not explained", []Record{explained, slow, slow}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			history := History{}
			for i, c := range test.crashes {
				c.Target = cyclamendyke.TargetID(fmt.Sprint("i-", i))
				is.True(history.Add(c))
			}
			is.Equal(history.Blamed(), test.blamed)
		})
	}
}
