package node

import (
	"slices"
	"sync"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"cyclamendyke"
)

// evacuations is a local copy of the operators' requests to evacuate availability zones. What was read at an
// older revision never undoes what was read at a newer one, whichever way it arrives.
type evacuations struct {
	codec   cyclamendyke.FleetCodec
	log     *log.Logger
	metrics *Metrics

	mu       sync.Mutex
	zones    map[cyclamendyke.ZoneName]evacuation
	listedAt cyclamendyke.Revision // Store revision of the newest full listing; zero before the first.
}

// evacuation is the last known state of the request for one zone.
type evacuation struct {
	requested bool
	revision  cyclamendyke.Revision // When it last changed.
}

// replace applies a full listing of the requests as they were at a store revision.
func (e *evacuations) replace(entries []cyclamendyke.Entry, at cyclamendyke.Revision) {
	e.mu.Lock()
	defer e.mu.Unlock()
	listed := map[cyclamendyke.ZoneName]bool{}
	for _, entry := range entries {
		listed[e.applyEntry(entry)] = true
	}
	for zone, known := range e.zones {
		if known.requested && known.revision <= at && !listed[zone] {
			e.set(zone, evacuation{revision: at})
		}
	}
	e.listedAt = max(e.listedAt, at)
}

// apply applies changed requests.
func (e *evacuations) apply(entries []cyclamendyke.Entry) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, entry := range entries {
		e.applyEntry(entry)
	}
}

// applyEntry applies one request, unless a newer state of it is known, and returns its zone.
func (e *evacuations) applyEntry(entry cyclamendyke.Entry) cyclamendyke.ZoneName {
	zone, err := e.codec.EvacuatedZone(entry)
	if zone == "" {
		e.log.Warn("evacuation request names no zone", "key", entry.Key, "revision", entry.Revision)
		return zone
	}
	if entry.Revision <= max(e.zones[zone].revision, e.listedAt) {
		return zone
	}
	if err != nil {
		e.log.Warn("cannot decode evacuation request, it counts all the same", "zone", zone, "revision", entry.Revision, "err", err)
	}
	e.set(zone, evacuation{requested: !entry.Deleted, revision: entry.Revision})
	return zone
}

// set records a zone's state, and logs it if it has changed.
func (e *evacuations) set(zone cyclamendyke.ZoneName, now evacuation) {
	before := e.zones[zone]
	if e.zones == nil {
		e.zones = map[cyclamendyke.ZoneName]evacuation{}
	}
	e.zones[zone] = now
	switch {
	case now.requested == before.requested:
	case now.requested:
		e.log.Info("zone evacuated", "zone", zone, "revision", now.revision)
		e.metrics.EvacuatedZones.WithLabelValues(string(zone)).Set(1)
	default:
		e.log.Info("zone taken back", "zone", zone, "revision", now.revision)
		e.metrics.EvacuatedZones.Delete(prometheus.Labels{"zone": string(zone)})
	}
}

// has reports whether a zone is evacuated.
func (e *evacuations) has(zone cyclamendyke.ZoneName) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.zones[zone].requested
}

// all returns the evacuated zones.
func (e *evacuations) all() []cyclamendyke.ZoneName {
	e.mu.Lock()
	defer e.mu.Unlock()
	var zones []cyclamendyke.ZoneName
	for zone, known := range e.zones {
		if known.requested {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}
