package role

import (
	"slices"

	"cyclamendyke"
)

// TermBlockSize is the distance between two terms granted by the store.
//
// The terms between them are for candidates, which begin a term while the store is unreachable.
const TermBlockSize = 1 << 16

// NextRecord returns the record to write at the zone's epoch key and scheduler key for command.
//
// The parameter current is the record at the epoch key. If command keeps an epoch, NextRecord returns
// false when that epoch is earlier than the current one or belongs to another block of terms.
func NextRecord(current cyclamendyke.ZoneScheduler, command cyclamendyke.ElectCommand, member cyclamendyke.Member) (cyclamendyke.ZoneScheduler, bool) {
	if !command.Keep.IsZero() {
		return recordForKeptEpoch(current, command.Keep, member)
	}
	next := cyclamendyke.ZoneScheduler{
		Epoch:  cyclamendyke.Epoch{Term: max(nextBlockStart(current.Epoch.Term), command.MinTerm), Owner: member.Name},
		Member: member,
		Roster: slices.Clone(command.Roster),
	}
	if !current.Established {
		next.EarlierRosters = slices.Clone(current.EarlierRosters)
	}
	if len(current.Roster) > 0 {
		next.EarlierRosters = append(next.EarlierRosters, current.Roster)
	}
	return next, true
}

// recordForKeptEpoch returns the current record with its epoch and member replaced, and false if keep
// is an earlier epoch or not of the same block.
func recordForKeptEpoch(current cyclamendyke.ZoneScheduler, keep cyclamendyke.Epoch, member cyclamendyke.Member) (cyclamendyke.ZoneScheduler, bool) {
	if current.Epoch.Compare(keep) > 0 || blockStart(current.Epoch.Term) != blockStart(keep.Term) {
		return current, false
	}
	current.Epoch = keep
	current.Member = member
	return current, true
}

// blockStart returns the first term of the block that contains term; the store grants only such terms.
func blockStart(term uint64) uint64 {
	return term - term%TermBlockSize
}

func nextBlockStart(term uint64) uint64 {
	return blockStart(term) + TermBlockSize
}
