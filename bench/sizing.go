package bench

import (
	"fmt"
	"io"
	"time"

	"cyclamendyke/core/role"
	"cyclamendyke/daemon"
)

// Budgets of one daemon and of the store.
const (
	budgetCPU     = 44.0    // Milliseconds of processor time per second, 4.4% of a core.
	budgetMemory  = 64e6    // Bytes.
	budgetTraffic = 11_000. // Bytes per second.
	budgetReads   = 2000.   // Per second, of all processes.
	budgetWrites  = 400.    // Per second, of all processes.
)

// Assumptions about the large fleet, and rates derived from its size.
const (
	assumedWaitingJobsPerZone = 1000
	assumedTimelineEvents     = 10_000
	assumedKeys               = 2 * largeTeams
	assumedTasksPerJob        = 10
	sameZonePeers             = largeEntriesPerZone - 1 // The idle and load experiments include heartbeats with these peers.
	largeEntries              = largeZones * largeEntriesPerZone
	largePeers                = largeEntries - 1
	// heartbeatsPerSecond counts sent and received heartbeats; same-zone peers send each other one every 2 s.
	heartbeatsPerSecond = 2 * (sameZonePeers/2.0 + (largePeers-sameZonePeers)/(float64(daemon.CrossZoneHeartbeatInterval)/float64(time.Second)))
	startsPerZone       = float64(largeStartsPerSecond) / largeZones
	runningPerZone      = float64(largeRunningTasks) / largeZones
	startsPerEntry      = float64(largeStartsPerSecond) / largeEntries
)

// sizing extrapolates measured series to the large fleet.
type sizing struct {
	reports       map[string]*Report
	missingSeries []string
	out           io.Writer
}

// printSizing prints the usage of each role in the large fleet, extrapolated from the reports in dir.
func printSizing(dir string, out io.Writer) error {
	s := &sizing{reports: map[string]*Report{}, out: out}
	for _, name := range []string{"calls", "state", "heartbeats", "idle", "load", "records", "watch"} {
		report, err := readReport(dir, name)
		if err != nil {
			return err
		}
		s.reports[name] = report
	}
	fmt.Fprintln(out, "| role | quantity | at the large size | budget | worked out from |")
	fmt.Fprintln(out, "|---|---|---|---|---|")
	s.printScheduler()
	s.printStandby()
	s.printEntry()
	s.printWatcher()
	s.printAccountWriter()
	s.printStoreTotals()
	if len(s.missingSeries) > 0 {
		return fmt.Errorf("reports lack the series %q", s.missingSeries)
	}
	return printTimeTables(dir, out)
}

// seriesFit returns the fitted line of a series; if there is none, it records the series as missing.
func (s *sizing) seriesFit(experiment, series string) Fit {
	for _, candidate := range s.reports[experiment].Series {
		if candidate.Name == series {
			return candidate.Fit
		}
	}
	s.missingSeries = append(s.missingSeries, experiment+": "+series)
	return Fit{}
}

// printRow prints a value and its budget; a budget of zero means that there is none.
func (s *sizing) printRow(name, quantity string, value, budget float64, unit, source string) {
	budgetText := "none"
	switch {
	case budget > 0 && value > budget:
		budgetText = fmt.Sprintf("**over** %.4g by %.2g times", budget, value/budget)
	case budget > 0:
		budgetText = fmt.Sprintf("%.4g, %.0f%% used", budget, 100*value/budget)
	}
	fmt.Fprintf(s.out, "| %s | %s | %.4g %s | %s | %s |\n", name, quantity, value, unit, budgetText, source)
}

// crossZoneHeartbeatBytes returns the bytes per second, sent and received, of one daemon's heartbeats with
// peers in other zones; ownSeries names its own heartbeats, and schedulers is the number of peers that
// are schedulers.
func (s *sizing) crossZoneHeartbeatBytes(ownSeries string, schedulers float64) float64 {
	const peers = largePeers - sameZonePeers
	schedulerBytes := s.seriesFit("heartbeats", "busy scheduler's heartbeat bytes sent").Slope
	standbyBytes := s.seriesFit("heartbeats", "standby's heartbeat bytes sent").Slope
	replyBytes := s.seriesFit("heartbeats", "standby's heartbeat bytes received").Slope
	outgoing := peers * (s.seriesFit("heartbeats", ownSeries+" bytes sent").Slope + replyBytes)
	return outgoing + schedulers*(schedulerBytes+replyBytes) + (peers-schedulers)*(standbyBytes+replyBytes)
}

// crossZoneHeartbeatCPU returns the processor time of heartbeats with peers in other zones, in
// milliseconds per second.
func (s *sizing) crossZoneHeartbeatCPU() float64 {
	return s.seriesFit("heartbeats", "busy scheduler's heartbeat processor time of both ends").Slope * (largePeers - sameZonePeers)
}

func (s *sizing) printScheduler() {
	const name = "zone scheduler"
	state := s.seriesFit("state", "scheduler workers").valueAt(largeWorkersPerZone) +
		s.seriesFit("state", "scheduler running tasks").Slope*runningPerZone +
		s.seriesFit("state", "scheduler waiting jobs").Slope*assumedWaitingJobsPerZone +
		s.seriesFit("state", "role").valueAt(largeWorkersPerZone)
	s.printRow(name, "state", state, budgetMemory, "bytes", "state: workers at 120, running tasks at 633, waiting jobs at 1,000, role at 120")
	memory := s.seriesFit("load", "loaded scheduler resident memory").valueAt(startsPerZone) +
		s.seriesFit("state", "scheduler waiting jobs").Slope*assumedWaitingJobsPerZone +
		s.seriesFit("state", "scheduler running tasks").Slope*runningPerZone +
		s.seriesFit("state", "time line").Slope*assumedTimelineEvents
	s.printRow(name, "memory", memory, budgetMemory, "bytes", "load: resident at 73 starts/s; state: waiting jobs, running tasks, full time line")
	idle := s.seriesFit("idle", "idle scheduler processor time").valueAt(largeWorkersPerZone) + s.crossZoneHeartbeatCPU()
	s.printRow(name, "processor time, control", idle, budgetCPU, "ms/s", "idle: at 120 workers; heartbeats: 15 more peers")
	loaded := s.seriesFit("load", "loaded scheduler processor time").valueAt(startsPerZone) + s.crossZoneHeartbeatCPU()
	s.printRow(name, "processor time, control and work", loaded, budgetCPU, "ms/s", "load: at 73 starts/s; heartbeats: 15 more peers")
	control := s.seriesFit("idle", "idle scheduler bytes both ways").valueAt(largeWorkersPerZone) + s.crossZoneHeartbeatBytes("busy scheduler's heartbeat", largeZones-1)
	s.printRow(name, "bytes, control", control, budgetTraffic, "bytes/s", "idle: at 120 workers; heartbeats: 15 more peers")
	work := s.seriesFit("load", "loaded scheduler bytes both ways").Slope * startsPerZone
	s.printRow(name, "bytes, work", work, 0, "bytes/s", "load: slope at 73 starts/s")
	messages := largeWorkersPerZone/role.DefaultHold.Seconds() + heartbeatsPerSecond
	s.printRow(name, "messages, control", messages, 0, "calls/s", "a renewal a worker each 10 s; heartbeats both ways, each 2 s to 2 peers and each 6 s to 15")
	s.printRow(name, "messages, work", 3*startsPerZone, 0, "calls/s", "at most a start, a renewal and a part of a submission a task")
	s.printStoreCalls(name, "scheduler", s.seriesFit("idle", "idle scheduler store reads").valueAt(largeWorkersPerZone), s.seriesFit("idle", "idle scheduler store writes").valueAt(largeWorkersPerZone))
}

func (s *sizing) printStoreCalls(name, idleRole string, reads, writes float64) {
	source := "idle: " + idleRole + " at 120 workers"
	s.printRow(name, "store reads", reads, 0, "calls/s", source)
	s.printRow(name, "store writes", writes, 0, "calls/s", source)
}

func (s *sizing) printStandby() {
	const name = "standby"
	memory := s.seriesFit("idle", "idle standby resident memory").valueAt(largeWorkersPerZone) + s.seriesFit("state", "time line").Slope*assumedTimelineEvents
	s.printRow(name, "memory", memory, budgetMemory, "bytes", "idle: resident at 120 workers; state: full time line")
	s.printRow(name, "processor time", s.seriesFit("idle", "idle standby processor time").valueAt(largeWorkersPerZone)+s.crossZoneHeartbeatCPU(), budgetCPU, "ms/s", "idle: at 120 workers; heartbeats: 15 more peers")
	control := s.seriesFit("idle", "idle standby bytes both ways").valueAt(largeWorkersPerZone) + s.crossZoneHeartbeatBytes("standby's heartbeat", largeZones-1)
	s.printRow(name, "bytes", control, budgetTraffic, "bytes/s", "idle: at 120 workers; heartbeats: 15 more peers")
	s.printRow(name, "messages", heartbeatsPerSecond+0.5, 0, "calls/s", "heartbeats both ways, list of VMs each 2 s")
	s.printStoreCalls(name, "standby", s.seriesFit("idle", "idle standby store reads").valueAt(largeWorkersPerZone), s.seriesFit("idle", "idle standby store writes").valueAt(largeWorkersPerZone))
}

func (s *sizing) printEntry() {
	const name = "entry"
	cpu := s.seriesFit("load", "loaded entry processor time").valueAt(startsPerEntry) + s.crossZoneHeartbeatCPU()
	s.printRow(name, "processor time, control and work", cpu, budgetCPU, "ms/s", "load: at 24.4 starts/s; heartbeats: 15 more peers")
	s.printRow(name, "bytes, work", s.seriesFit("load", "loaded entry bytes both ways").Slope*startsPerEntry, 0, "bytes/s", "load: slope at 24.4 starts/s")
	s.printRow(name, "messages, work", 2*startsPerEntry/assumedTasksPerJob, 0, "calls/s", "a call in and one out a job of 10 tasks")
	memory := s.seriesFit("load", "loaded entry resident memory").valueAt(startsPerEntry) + s.seriesFit("state", "time line").Slope*assumedTimelineEvents
	s.printRow(name, "memory", memory, budgetMemory, "bytes", "load: resident at 24.4 starts/s; state: full time line")
}

func (s *sizing) printWatcher() {
	const name, secondsPerDay = "table watcher", 86_400.0
	tables := s.seriesFit("state", "tables value in the store").valueAt(largeTeams)
	state := s.seriesFit("state", "tables").valueAt(largeTeams) + s.seriesFit("state", "keys").valueAt(assumedKeys) + s.seriesFit("state", "peer states").valueAt(largePeers) + tables
	s.printRow(name, "state", state, budgetMemory, "bytes", "state: tables at 59 teams and routes, keys at 118, peer states at 17, the text")
	s.printRow(name, "bytes for changes of the tables", tables*4/3*largeTableChangesPerDay/secondsPerDay, budgetTraffic, "bytes/s", "state: tables value at 59, in base64, 520 times a day")
	s.printRow(name, "store reads", s.seriesFit("watch", "configuration watch calls").Slope, 0, "calls/s", "watch: slope a process")
}

func (s *sizing) printAccountWriter() {
	const name = "account writer"
	const flushSeconds = 5
	records := startsPerZone / assumedTasksPerJob * flushSeconds
	bytes := s.seriesFit("records", "account bytes a flush, rewriting included").valueAt(records) * 4 / 3 / flushSeconds
	s.printRow(name, "bytes", bytes, budgetTraffic, "bytes/s", "records: bytes a flush at 37 records each 5 s, in base64")
	s.printRow(name, "store writes", 0.2, 0, "calls/s", "one flush each 5 s while there are records")
}

// printStoreTotals prints the store's calls per second, summed over all processes.
func (s *sizing) printStoreTotals() {
	const name = "store, all processes"
	schedulers, others := float64(largeZones), float64(largeEntries-largeZones)
	reads := schedulers*s.seriesFit("idle", "idle scheduler store reads").valueAt(largeWorkersPerZone) + others*s.seriesFit("idle", "idle standby store reads").valueAt(largeWorkersPerZone)
	s.printRow(name, "reads, waiting watches counted", reads, budgetReads, "calls/s", "idle: 6 schedulers and 12 standbys")
	writes := schedulers*s.seriesFit("idle", "idle scheduler store writes").valueAt(largeWorkersPerZone) + others*s.seriesFit("idle", "idle standby store writes").valueAt(largeWorkersPerZone)
	s.printRow(name, "writes without work", writes, budgetWrites, "calls/s", "idle: 6 schedulers and 12 standbys")
	loadedWrites := schedulers*s.seriesFit("load", "loaded scheduler store writes").valueAt(startsPerZone) + others*s.seriesFit("load", "loaded entry store writes").valueAt(startsPerZone)
	s.printRow(name, "writes with attached work", loadedWrites, budgetWrites, "calls/s", "load: at 73 starts/s in each zone")
	const journalWrites, quotaWrites = 20.0, 8.0
	s.printRow(name, "writes at their bounds", loadedWrites+schedulers*(journalWrites+quotaWrites)+others*0.2, budgetWrites, "calls/s", "journal at 20 a zone, quota moves at 8 a zone")
}
