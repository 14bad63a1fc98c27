package bench

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"cyclamendyke"
	"cyclamendyke/core/tables"
	"cyclamendyke/daemon"
	"cyclamendyke/settings"
	"cyclamendyke/standin"
	"cyclamendyke/standin/kv"
	"cyclamendyke/standin/vms"
	"cyclamendyke/standin/worker"
)

// Size of the overloaded cell and the load offered to it.
const (
	overloadZone          = "a1"
	overloadDaemons       = 2
	overloadWorkers       = 16
	overloadSlots         = 8
	overloadRunTime       = 200 * time.Millisecond
	overloadTeams         = 4
	overloadMaxQueue      = 50 // Waiting jobs per team.
	overloadPhaseDuration = 6 * time.Second
	overloadSettleTime    = 8 * time.Second                              // For the election, and again for the tables and first allotments.
	overloadCapacity      = float64(overloadWorkers*overloadSlots) / 0.2 // Tasks per second; each takes 0.2 s.
)

// overloadFactors are the phases' offered loads as multiples of capacity; the last shows recovery.
var overloadFactors = []float64{0.9, 1, 2, 5, 0.9}

// overloadCell is a zone of two in-process daemons with an in-process stand-in platform.
type overloadCell struct {
	daemons        []*daemon.Daemon
	fleet          *worker.Fleet
	store          *kv.Service
	keys           []string
	stop           context.CancelFunc
	daemonsRunning sync.WaitGroup
}

// measureOverload offers loads up to five times the workers' capacity, then one below it that shows the
// recovery.
func measureOverload(seed uint64) (*Report, error) {
	cell, err := startOverloadCell()
	if err != nil {
		return nil, err
	}
	defer cell.close()
	random := rand.New(rand.NewPCG(seed, 1))
	report := &Report{}
	for i, factor := range overloadFactors {
		phase := cell.runPhase(random, i, factor*overloadCapacity)
		phase.report(report, fmt.Sprintf("%d: %.1fx", i+1, factor))
	}
	return report, nil
}

func startOverloadCell() (*overloadCell, error) {
	ctx, stop := context.WithCancel(context.Background())
	workerVMs := overloadVMs()
	cell := &overloadCell{
		fleet: worker.New(worker.Config{VMs: workerVMs}),
		store: kv.New(kv.Config{WritesPerSecond: kv.DefaultWritesPerSecond, ReadsPerSecond: kv.DefaultReadsPerSecond}),
		stop:  stop,
	}
	list := vms.New(vms.Config{VMs: workerVMs})
	for i := range overloadDaemons {
		entry, err := cell.newDaemon(fmt.Sprintf("entry-%d", i), list)
		if err != nil {
			cell.close()
			return nil, err
		}
		cell.daemons = append(cell.daemons, entry)
		cell.daemonsRunning.Go(func() { _ = entry.Run(ctx) })
	}
	time.Sleep(overloadSettleTime)
	if err := cell.configure(ctx); err != nil {
		cell.close()
		return nil, err
	}
	time.Sleep(overloadSettleTime)
	return cell, nil
}

func overloadVMs() []cyclamendyke.VM {
	topology := standin.Topology{
		Zones: []cyclamendyke.ZoneName{overloadZone},
		Pools: []standin.Pool{{Name: "search", Shape: standin.Shape(64, 128, 0), Workers: overloadWorkers, PerRack: 4}},
	}
	return topology.VMs("")
}

func (c *overloadCell) newDaemon(name string, list *vms.List) (*daemon.Daemon, error) {
	parsed, faults := settings.Parse("bench", fmt.Sprintf(overloadSettings, name, overloadZone))
	if len(faults) > 0 {
		return nil, fmt.Errorf("settings: %s", faults[0])
	}
	parsed.Member.HTTP = "127.0.0.1:0"
	parsed.Member.Peer = "127.0.0.1:0"
	return daemon.New(daemon.Config{
		Settings: parsed,
		Platform: daemon.Platform{Store: c.store.As(name), Workers: c.fleet.As(name), VMs: list.As(name)},
		Log:      log.New(io.Discard),
	})
}

// overloadSettings is a daemon's settings file; newDaemon replaces the listen addresses by free ports.
const overloadSettings = `[member]
name = %s
zone = %s
region = r1
[listen]
peer = 127.0.0.1:1
http = 127.0.0.1:2
[platform]
store = 127.0.0.1:3
vm-list = 127.0.0.1:3
[operator]
key-hash = 06e55b633481f7bb072957eabcf110c972e86691c3cfedabe088024bffe42f23
`

// configure writes the tables and grants each team an API key.
func (c *overloadCell) configure(ctx context.Context) error {
	text := cyclamendyke.TablesText{
		Pools:  "[pool \"search\"]\ncores = 64\nmemory = 128GiB\nslots = 8\nconnections = 64\nzones = a1\nkinds = batch\n",
		Routes: fmt.Sprintf("[route \"load\"]\nkind = batch\npools = search\nteams = %s\nmax-queue = %d\n", overloadTeamNames(", "), overloadMaxQueue),
	}
	for team := range overloadTeams {
		text.Routes += fmt.Sprintf("[team \"team-%d\"]\nshare = 1\n", team)
	}
	if _, faults := tables.Parse(text, 1); len(faults) > 0 {
		return fmt.Errorf("tables: %s", faults[0])
	}
	if _, err := c.daemons[0].EditTables(ctx, text, 0); err != nil {
		return err
	}
	for team := range overloadTeams {
		granted, err := c.daemons[0].GrantKey(ctx, cyclamendyke.TeamName(fmt.Sprintf("team-%d", team)))
		if err != nil {
			return err
		}
		c.keys = append(c.keys, granted.Key)
	}
	return nil
}

func overloadTeamNames(separator string) string {
	names := ""
	for team := range overloadTeams {
		if team > 0 {
			names += separator
		}
		names += fmt.Sprintf("team-%d", team)
	}
	return names
}

func (c *overloadCell) close() {
	c.stop()
	c.daemonsRunning.Wait()
	c.fleet.Close()
	c.store.Close()
}

// overloadResult counts the requests of one phase by outcome and records the times of the answers.
type overloadResult struct {
	mu                sync.Mutex
	offered           int
	ran               int
	refused           int
	unknown           int
	withoutRetryAfter int // Refusals without a retry-after time.
	answerTimes       histogram
	refusalTimes      histogram
	workerStarts      int           // Task starts counted by the workers.
	elapsed           time.Duration // Time during which requests were sent.
}

// runPhase sends requests as a Poisson process for one phase and waits for every answer.
func (c *overloadCell) runPhase(random *rand.Rand, phase int, rate float64) *overloadResult {
	result := &overloadResult{answerTimes: newHistogram(), refusalTimes: newHistogram()}
	payload := fmt.Sprintf("sleep=%s output=phase-%d", overloadRunTime, phase)
	var callers sync.WaitGroup
	start := time.Now()
	nextSend := start
	for time.Since(start) < overloadPhaseDuration {
		nextSend = nextSend.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		time.Sleep(time.Until(nextSend))
		entry := c.daemons[random.IntN(len(c.daemons))]
		key := c.keys[random.IntN(len(c.keys))]
		result.offered++
		callers.Go(func() { result.submit(entry, key, payload) })
	}
	result.elapsed = time.Since(start)
	callers.Wait()
	result.workerStarts = c.fleet.StartCount(payload)
	return result
}

// submit sends one request and records its outcome.
func (r *overloadResult) submit(entry *daemon.Daemon, key, payload string) {
	start := time.Now()
	outcome := entry.Submit(context.Background(), key, cyclamendyke.Submission{
		Route:   "load",
		Tasks:   1,
		PerTask: cyclamendyke.Resources{Cores: 1000, Memory: 1024},
		Payload: payload,
	})
	elapsed := time.Since(start)
	r.mu.Lock()
	defer r.mu.Unlock()
	switch outcome.Verdict {
	case cyclamendyke.VerdictRan:
		r.ran++
		r.answerTimes.record(elapsed)
	case cyclamendyke.VerdictNotRun:
		r.refused++
		r.refusalTimes.record(elapsed)
		if outcome.RetryAfter <= 0 {
			r.withoutRetryAfter++
		}
	default:
		r.unknown++
	}
}

// report adds the phase's values and distributions to the report.
func (r *overloadResult) report(report *Report, name string) {
	seconds := r.elapsed.Seconds()
	report.addValue(name+" offered", float64(r.offered)/seconds, "requests/s")
	report.addValue(name+" ran", float64(r.ran)/seconds, "requests/s")
	report.addValue(name+" refused", float64(r.refused)/seconds, "requests/s")
	report.addValue(name+" in doubt", float64(r.unknown), "requests")
	report.addValue(name+" refused without a time to come back", float64(r.withoutRetryAfter), "requests")
	report.addValue(name+" starts at the workers beyond answers", float64(r.workerStarts-r.ran), "tasks")
	report.Distributions = append(report.Distributions,
		r.answerTimes.distribution(name+" time to the answer"),
		r.refusalTimes.distribution(name+" time to the refusal"),
	)
}
