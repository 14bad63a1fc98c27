package quota

const (
	minorChangeDivisor = 32 // A change below 1/minorChangeDivisor of the limit is minor.
	wantChangeDivisor  = 4  // A shortfall must change by more than 1/wantChangeDivisor to be written.
)

// changeSize says how soon a change is to be written: a minor one waits for minorWriteInterval.
type changeSize int

const (
	noChange changeSize = iota
	minorChange
	majorChange
)

// heldChangeSize returns the size of a change of a zone's allotment.
func heldChangeSize(limit, before, after vector) changeSize {
	largest := noChange
	for i := range before {
		difference := max(after[i]-before[i], before[i]-after[i])
		switch {
		case difference*minorChangeDivisor >= limit[i] && difference > 0:
			return majorChange
		case difference > 0:
			largest = minorChange
		}
	}
	return largest
}

// wantChangeSize returns the size of the change in the zone's shortfall, by which its want exceeds its
// allotment; a shortfall where the ledger shows none is a major change, since other zones act on it.
func wantChangeSize(recorded, wanted, held vector) changeSize {
	largest := noChange
	for i := range recorded {
		recordedShortfall, shortfall := max(recorded[i]-held[i], 0), max(wanted[i]-held[i], 0)
		difference := max(recordedShortfall-shortfall, shortfall-recordedShortfall)
		switch {
		case recordedShortfall == 0 && shortfall > 0:
			return majorChange
		case difference*wantChangeDivisor > max(recordedShortfall, shortfall):
			largest = minorChange
		}
	}
	return largest
}
