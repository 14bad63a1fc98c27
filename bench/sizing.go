package bench

import (
	"fmt"
	"io"
	"time"

	"cyclamendyke/core/role"
	"cyclamendyke/daemon"
)

// The budget of one node and the store.
const (
	budgetCPU     = 44.0    // Milliseconds of processor time a second, 4.4% of a core.
	budgetMemory  = 64e6    // Bytes.
	budgetTraffic = 11_000. // Bytes a second.
	budgetReads   = 2000.   // Of all processes, a second.
	budgetWrites  = 400.    // Of all processes, a second.
)

// What is assumed of the large fleet besides what is named of it.
const (
	assumedWaitingJobs = 1000 // Of one zone.
	assumedEvents      = 10_000
	assumedKeys        = 2 * largeTeams
	assumedTasksPerJob = 10
	measuredPeers      = largeEntriesPerZone - 1 // In the measured zones of processes.
	largeEntries       = largeZones * largeEntriesPerZone
	largePeers         = largeEntries - 1
	beatsPerSecond     = 2 * (measuredPeers/2.0 + (largePeers-measuredPeers)/(float64(daemon.FarHeartbeatInterval)/float64(time.Second)))
	startsPerZone      = float64(largeStartsPerSecond) / largeZones
	runningPerZone     = float64(largeRunning) / largeZones
	startsPerEntry     = float64(largeStartsPerSecond) / largeEntries
)

// sizing works figures out from measured series.
type sizing struct {
	reports map[string]*Report
	missing []string
	out     io.Writer
}

// printSizing prints what each role costs in the large fleet, from the reports in dir.
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
	s.scheduler()
	s.standby()
	s.entry()
	s.watcher()
	s.accountWriter()
	s.storeTotals()
	if len(s.missing) > 0 {
		return fmt.Errorf("no series %q", s.missing)
	}
	return printTimes(dir, out)
}

// fit returns the line of a series, which is noted as missing if it was not measured.
func (s *sizing) fit(experiment, series string) Fit {
	for _, candidate := range s.reports[experiment].Series {
		if candidate.Name == series {
			return candidate.Fit
		}
	}
	s.missing = append(s.missing, experiment+": "+series)
	return Fit{}
}

// row prints a figure against its budget, which is none if zero.
func (s *sizing) row(name, quantity string, value, budget float64, unit, from string) {
	verdict := "none"
	switch {
	case budget > 0 && value > budget:
		verdict = fmt.Sprintf("**over** %.4g by %.2g times", budget, value/budget)
	case budget > 0:
		verdict = fmt.Sprintf("%.4g, %.0f%% used", budget, 100*value/budget)
	}
	fmt.Fprintf(s.out, "| %s | %s | %.4g %s | %s | %s |\n", name, quantity, value, unit, verdict, from)
}

// farBytes returns the bytes a second of heartbeats both ways with the peers beyond those in the measured zones, of which so many are schedulers.
func (s *sizing) farBytes(own string, schedulers float64) float64 {
	const peers = largePeers - measuredPeers
	scheduler := s.fit("heartbeats", "busy scheduler's heartbeat bytes sent").Slope
	standby := s.fit("heartbeats", "standby's heartbeat bytes sent").Slope
	answer := s.fit("heartbeats", "standby's heartbeat bytes received").Slope
	sent := peers * (s.fit("heartbeats", own+" bytes sent").Slope + answer)
	return sent + schedulers*(scheduler+answer) + (peers-schedulers)*(standby+answer)
}

// farCPU returns the milliseconds a second of the heartbeats with the same peers.
func (s *sizing) farCPU() float64 {
	return s.fit("heartbeats", "busy scheduler's heartbeat processor time of both ends").Slope * (largePeers - measuredPeers)
}

func (s *sizing) scheduler() {
	const name = "zone scheduler"
	state := s.fit("state", "scheduler workers").at(largeWorkersPerZone) +
		s.fit("state", "scheduler running tasks").Slope*runningPerZone +
		s.fit("state", "scheduler waiting jobs").Slope*assumedWaitingJobs +
		s.fit("state", "role").at(largeWorkersPerZone)
	s.row(name, "state", state, budgetMemory, "bytes", "state: workers at 120, running tasks at 633, waiting jobs at 1,000, role at 120")
	memory := s.fit("load", "loaded scheduler resident memory").at(startsPerZone) +
		s.fit("state", "scheduler waiting jobs").Slope*assumedWaitingJobs +
		s.fit("state", "scheduler running tasks").Slope*runningPerZone +
		s.fit("state", "time line").Slope*assumedEvents
	s.row(name, "memory", memory, budgetMemory, "bytes", "load: resident at 73 starts/s; state: waiting jobs, running tasks, full time line")
	idle := s.fit("idle", "idle scheduler processor time").at(largeWorkersPerZone) + s.farCPU()
	s.row(name, "processor time, control", idle, budgetCPU, "ms/s", "idle: at 120 workers; heartbeats: 15 more peers")
	loaded := s.fit("load", "loaded scheduler processor time").at(startsPerZone) + s.farCPU()
	s.row(name, "processor time, control and work", loaded, budgetCPU, "ms/s", "load: at 73 starts/s; heartbeats: 15 more peers")
	control := s.fit("idle", "idle scheduler bytes both ways").at(largeWorkersPerZone) + s.farBytes("busy scheduler's heartbeat", largeZones-1)
	s.row(name, "bytes, control", control, budgetTraffic, "bytes/s", "idle: at 120 workers; heartbeats: 15 more peers")
	work := s.fit("load", "loaded scheduler bytes both ways").Slope * startsPerZone
	s.row(name, "bytes, work", work, 0, "bytes/s", "load: slope at 73 starts/s")
	messages := largeWorkersPerZone/role.DefaultHold.Seconds() + beatsPerSecond
	s.row(name, "messages, control", messages, 0, "calls/s", "a renewal a worker each 10 s; heartbeats both ways, each 2 s to 2 peers and each 6 s to 15")
	s.row(name, "messages, work", 3*startsPerZone, 0, "calls/s", "at most a start, a renewal and a part of a submission a task")
	s.storeRows(name, "scheduler", s.fit("idle", "idle scheduler store reads").at(largeWorkersPerZone), s.fit("idle", "idle scheduler store writes").at(largeWorkersPerZone))
}

func (s *sizing) storeRows(name, measured string, reads, writes float64) {
	from := "idle: " + measured + " at 120 workers"
	s.row(name, "store reads", reads, 0, "calls/s", from)
	s.row(name, "store writes", writes, 0, "calls/s", from)
}

func (s *sizing) standby() {
	const name = "standby"
	memory := s.fit("idle", "idle standby resident memory").at(largeWorkersPerZone) + s.fit("state", "time line").Slope*assumedEvents
	s.row(name, "memory", memory, budgetMemory, "bytes", "idle: resident at 120 workers; state: full time line")
	s.row(name, "processor time", s.fit("idle", "idle standby processor time").at(largeWorkersPerZone)+s.farCPU(), budgetCPU, "ms/s", "idle: at 120 workers; heartbeats: 15 more peers")
	control := s.fit("idle", "idle standby bytes both ways").at(largeWorkersPerZone) + s.farBytes("standby's heartbeat", largeZones-1)
	s.row(name, "bytes", control, budgetTraffic, "bytes/s", "idle: at 120 workers; heartbeats: 15 more peers")
	s.row(name, "messages", beatsPerSecond+0.5, 0, "calls/s", "heartbeats both ways, list of VMs each 2 s")
	s.storeRows(name, "standby", s.fit("idle", "idle standby store reads").at(largeWorkersPerZone), s.fit("idle", "idle standby store writes").at(largeWorkersPerZone))
}

func (s *sizing) entry() {
	const name = "entry"
	cpu := s.fit("load", "loaded entry processor time").at(startsPerEntry) + s.farCPU()
	s.row(name, "processor time, control and work", cpu, budgetCPU, "ms/s", "load: at 24.4 starts/s; heartbeats: 15 more peers")
	s.row(name, "bytes, work", s.fit("load", "loaded entry bytes both ways").Slope*startsPerEntry, 0, "bytes/s", "load: slope at 24.4 starts/s")
	s.row(name, "messages, work", 2*startsPerEntry/assumedTasksPerJob, 0, "calls/s", "a call in and one out a job of 10 tasks")
	memory := s.fit("load", "loaded entry resident memory").at(startsPerEntry) + s.fit("state", "time line").Slope*assumedEvents
	s.row(name, "memory", memory, budgetMemory, "bytes", "load: resident at 24.4 starts/s; state: full time line")
}

func (s *sizing) watcher() {
	const name, secondsPerDay = "table watcher", 86_400.0
	tables := s.fit("state", "tables value in the store").at(largeTeams)
	state := s.fit("state", "tables").at(largeTeams) + s.fit("state", "keys").at(assumedKeys) + s.fit("state", "peer states").at(largePeers) + tables
	s.row(name, "state", state, budgetMemory, "bytes", "state: tables at 59 teams and routes, keys at 118, peer states at 17, the text")
	s.row(name, "bytes for changes of the tables", tables*4/3*largeChangesPerDay/secondsPerDay, budgetTraffic, "bytes/s", "state: tables value at 59, in base64, 520 times a day")
	s.row(name, "store reads", s.fit("watch", "configuration watch calls").Slope, 0, "calls/s", "watch: slope a process")
}

func (s *sizing) accountWriter() {
	const name = "account writer"
	const flushSeconds = 5
	records := startsPerZone / assumedTasksPerJob * flushSeconds
	bytes := s.fit("records", "account bytes a flush, rewriting included").at(records) * 4 / 3 / flushSeconds
	s.row(name, "bytes", bytes, budgetTraffic, "bytes/s", "records: bytes a flush at 37 records each 5 s, in base64")
	s.row(name, "store writes", 0.2, 0, "calls/s", "one flush each 5 s while there are records")
}

// storeTotals sums the store's calls over all processes.
func (s *sizing) storeTotals() {
	const name = "store, all processes"
	schedulers, others := float64(largeZones), float64(largeEntries-largeZones)
	reads := schedulers*s.fit("idle", "idle scheduler store reads").at(largeWorkersPerZone) + others*s.fit("idle", "idle standby store reads").at(largeWorkersPerZone)
	s.row(name, "reads, waiting watches counted", reads, budgetReads, "calls/s", "idle: 6 schedulers and 12 standbys")
	writes := schedulers*s.fit("idle", "idle scheduler store writes").at(largeWorkersPerZone) + others*s.fit("idle", "idle standby store writes").at(largeWorkersPerZone)
	s.row(name, "writes without work", writes, budgetWrites, "calls/s", "idle: 6 schedulers and 12 standbys")
	working := schedulers*s.fit("load", "loaded scheduler store writes").at(startsPerZone) + others*s.fit("load", "loaded entry store writes").at(startsPerZone)
	s.row(name, "writes with attached work", working, budgetWrites, "calls/s", "load: at 73 starts/s in each zone")
	const journalWrites, quotaWrites = 20.0, 8.0
	s.row(name, "writes at their bounds", working+schedulers*(journalWrites+quotaWrites)+others*0.2, budgetWrites, "calls/s", "journal at 20 a zone, quota moves at 8 a zone")
}
