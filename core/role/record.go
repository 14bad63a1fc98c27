package role

import (
	"slices"

	"cyclamendyke"
)

// TermBlock is the distance between two terms given by the store; the terms between them are begun without it.
const TermBlock = 1 << 16

// NextRecord returns the record to write at the zone's epoch key and scheduler key for command, given the record found at the epoch key; it reports false if the epoch to keep has been overtaken.
func NextRecord(found cyclamendyke.ZoneScheduler, command cyclamendyke.ElectCommand, member cyclamendyke.Member) (cyclamendyke.ZoneScheduler, bool) {
	if !command.Keep.IsZero() {
		return keptRecord(found, command.Keep, member)
	}
	next := cyclamendyke.ZoneScheduler{
		Epoch:  cyclamendyke.Epoch{Term: max(nextBlock(found.Epoch.Term), command.MinTerm), Owner: member.Name},
		Member: member,
		Roster: slices.Clone(command.Roster),
	}
	if !found.Established {
		next.Earlier = slices.Clone(found.Earlier)
	}
	if len(found.Roster) > 0 {
		next.Earlier = append(next.Earlier, found.Roster)
	}
	return next, true
}

func keptRecord(found cyclamendyke.ZoneScheduler, keep cyclamendyke.Epoch, member cyclamendyke.Member) (cyclamendyke.ZoneScheduler, bool) {
	if found.Epoch.Compare(keep) > 0 || block(found.Epoch.Term) != block(keep.Term) {
		return found, false
	}
	found.Epoch = keep
	found.Member = member
	return found, true
}

// block returns the term given by the store that term belongs to.
func block(term uint64) uint64 {
	return term - term%TermBlock
}

func nextBlock(term uint64) uint64 {
	return block(term) + TermBlock
}
