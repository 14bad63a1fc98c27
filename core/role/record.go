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
// The record found is the one at the epoch key. If command keeps an epoch, NextRecord returns false
// when that epoch is earlier than found or belongs to another block of terms.
func NextRecord(found cyclamendyke.ZoneScheduler, command cyclamendyke.ElectCommand, member cyclamendyke.Member) (cyclamendyke.ZoneScheduler, bool) {
	if !command.Keep.IsZero() {
		return recordForKeptEpoch(found, command.Keep, member)
	}
	next := cyclamendyke.ZoneScheduler{
		Epoch:  cyclamendyke.Epoch{Term: max(nextBlockStart(found.Epoch.Term), command.MinTerm), Owner: member.Name},
		Member: member,
		Roster: slices.Clone(command.Roster),
	}
	if !found.Established {
		next.EarlierRosters = slices.Clone(found.EarlierRosters)
	}
	if len(found.Roster) > 0 {
		next.EarlierRosters = append(next.EarlierRosters, found.Roster)
	}
	return next, true
}

// recordForKeptEpoch returns the record found with its epoch and member replaced, and false if keep
// is an earlier epoch or not of the same block.
func recordForKeptEpoch(found cyclamendyke.ZoneScheduler, keep cyclamendyke.Epoch, member cyclamendyke.Member) (cyclamendyke.ZoneScheduler, bool) {
	if found.Epoch.Compare(keep) > 0 || blockStart(found.Epoch.Term) != blockStart(keep.Term) {
		return found, false
	}
	found.Epoch = keep
	found.Member = member
	return found, true
}

// blockStart returns the term granted by the store that begins the block of term.
func blockStart(term uint64) uint64 {
	return term - term%TermBlockSize
}

func nextBlockStart(term uint64) uint64 {
	return blockStart(term) + TermBlockSize
}
