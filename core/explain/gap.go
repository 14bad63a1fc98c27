package explain

// GapKind names what is missing from the logs.
type GapKind string

// The kinds of gaps.
const (
	GapLinesDropped GapKind = "lines-dropped" // The limit of a process's log left out lines.
	GapCutLines     GapKind = "cut-lines"
	GapScheduler    GapKind = "no-scheduler-lines"
	GapEpoch        GapKind = "epoch-without-lines"
	GapLogBegins    GapKind = "log-begins-late"
	GapStart        GapKind = "start-not-logged"
	GapEnd          GapKind = "end-not-logged"
	GapAcceptance   GapKind = "acceptance-not-logged"
	GapPlacement    GapKind = "placement-not-known"
	GapNotKept      GapKind = "not-kept"
	GapNeverLogged  GapKind = "never-logged"
)

// Gap is something that the logs do not tell.
type Gap struct {
	Kind GapKind `json:"kind"`
	Text string  `json:"text"`
}

// weakens reports whether a gap of this kind makes findings uncertain.
func (k GapKind) weakens() bool {
	return k != GapNeverLogged && k != GapEnd && k != GapLogBegins
}
