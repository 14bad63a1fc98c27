package worker

import (
	"cmp"
	"time"

	"cyclamendyke"
)

type task struct {
	cyclamendyke.RunningTask
	program       program
	timer         *time.Timer
	reportedUsage cyclamendyke.Resources // Usage in the last report.
}

func compareTasks(a, b cyclamendyke.TaskID) int {
	return cmp.Or(cmp.Compare(a.Request, b.Request), cmp.Compare(a.Index, b.Index))
}

// usage returns the resources that the task uses; throttling limits its cores to the reserved ones.
func (t *task) usage() cyclamendyke.Resources {
	used := t.program.used
	if t.Throttled {
		used.Cores = min(used.Cores, t.Reserved.Cores)
	}
	return used
}
