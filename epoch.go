package cyclamendyke

import (
	"cmp"
	"fmt"
)

// Epoch is the fencing token of one term of one zone scheduler, ordered by term and then by owner.
type Epoch struct {
	Term  uint64     `json:"term"`
	Owner MemberName `json:"owner"`
}

// Compare returns -1, 0 or 1 if e is less than, equal to or greater than o.
func (e Epoch) Compare(o Epoch) int {
	return cmp.Or(cmp.Compare(e.Term, o.Term), cmp.Compare(e.Owner, o.Owner))
}

// IsZero reports whether e is the zero epoch, which means that no scheduler has held a term yet.
func (e Epoch) IsZero() bool {
	return e == Epoch{}
}

// String returns the epoch as term@owner.
func (e Epoch) String() string {
	return fmt.Sprintf("%d@%s", e.Term, e.Owner)
}
