package role

import (
	"slices"
	"time"

	"cyclamendyke"
)

// workerList is the zone's list of workers.
type workerList struct {
	names  []cyclamendyke.WorkerName
	absent map[cyclamendyke.WorkerName]time.Time // Since when a worker of a roster has not been listed.
}

func (l *workerList) set(vms []cyclamendyke.VM) {
	l.names = make([]cyclamendyke.WorkerName, 0, len(vms))
	for _, vm := range vms {
		l.names = append(l.names, vm.Name)
	}
	slices.Sort(l.names)
}

// trackAbsent records since when workers of the rosters have not been listed, and drops all other entries.
func (l *workerList) trackAbsent(now time.Time, rosters [][]cyclamendyke.WorkerName) {
	before := l.absent
	l.absent = map[cyclamendyke.WorkerName]time.Time{}
	for _, name := range slices.Concat(rosters...) {
		if l.has(name) {
			continue
		}
		l.absent[name] = now
		if since, tracked := before[name]; tracked {
			l.absent[name] = since
		}
	}
}

func (l *workerList) has(name cyclamendyke.WorkerName) bool {
	_, found := slices.BinarySearch(l.names, name)
	return found
}

// absentFor returns a function that reports whether a worker has been absent for at least d.
func (l *workerList) absentFor(now time.Time, d time.Duration) func(cyclamendyke.WorkerName) bool {
	return func(name cyclamendyke.WorkerName) bool {
		since, absent := l.absent[name]
		return absent && now.Sub(since) >= d
	}
}
