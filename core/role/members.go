package role

import (
	"slices"
	"time"

	"cyclamendyke"
)

// workerList is the zone's list of workers with the time since when a former one has been absent.
type workerList struct {
	names  []cyclamendyke.WorkerName
	absent map[cyclamendyke.WorkerName]time.Time
}

func (l *workerList) set(vms []cyclamendyke.VM) {
	l.names = make([]cyclamendyke.WorkerName, 0, len(vms))
	for _, vm := range vms {
		l.names = append(l.names, vm.Name)
	}
	slices.Sort(l.names)
}

// track keeps the clocks of those members of rosters that are not listed.
func (l *workerList) track(now time.Time, rosters [][]cyclamendyke.WorkerName) {
	before := l.absent
	l.absent = map[cyclamendyke.WorkerName]time.Time{}
	for _, name := range slices.Concat(rosters...) {
		if l.has(name) {
			continue
		}
		l.absent[name] = now
		if since, known := before[name]; known {
			l.absent[name] = since
		}
	}
}

func (l *workerList) has(name cyclamendyke.WorkerName) bool {
	_, found := slices.BinarySearch(l.names, name)
	return found
}

// goneFor returns a test for workers that have been absent for at least d.
func (l *workerList) goneFor(now time.Time, d time.Duration) func(cyclamendyke.WorkerName) bool {
	return func(name cyclamendyke.WorkerName) bool {
		since, absent := l.absent[name]
		return absent && now.Sub(since) >= d
	}
}
