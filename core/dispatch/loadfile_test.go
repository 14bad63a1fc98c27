package dispatch

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/BurntSushi/toml"
)

// loadFile describes a fleet, the work that arrives there and what its callers must get.
type loadFile struct {
	Seconds int         `toml:"seconds"` // How long work arrives.
	Tail    int         `toml:"tail"`    // For how many seconds the load is played after that.
	Seed    uint64      `toml:"seed"`
	Fleet   loadFleet   `toml:"fleet"`
	Pools   []loadPool  `toml:"pool"`
	Queues  []loadQueue `toml:"queue"`
	Teams   []loadTeam  `toml:"team"`
	Bursts  []loadBurst `toml:"burst"`
	Outages []loadOff   `toml:"unreachable"`
	Expect  []loadCheck `toml:"expect"`
}

type loadFleet struct {
	Members      int           `toml:"members"`
	StopTime     time.Duration `toml:"stop-time"`
	Checkpoint   time.Duration `toml:"checkpoint-every"`
	Restore      time.Duration `toml:"restore"`
	MaxLease     time.Duration `toml:"max-lease"`
	RemoteFactor float64       `toml:"remote-factor"` // Factor of the run time away from the rack of the data.
}

type loadPool struct {
	Service      string    `toml:"service"`
	Targets      int       `toml:"targets"`
	Cores        float64   `toml:"cores"`
	Memory       int64     `toml:"memory"` // In mebibytes.
	Accelerators int64     `toml:"accelerators"`
	RackSize     int       `toml:"rack-size"`
	RunTimes     []float64 `toml:"run-time-factors"` // Drawn for each target.
}

type loadQueue struct {
	Name         string        `toml:"name"`
	Service      string        `toml:"service"`
	Priority     int           `toml:"priority"`
	Factor       float64       `toml:"critical-path-factor"`
	Base         time.Duration `toml:"base-target"`
	Attempts     int           `toml:"attempts"`
	AdviceBase   time.Duration `toml:"advice-base"`
	AdviceTarget time.Duration `toml:"advice-per-target"`
	AdviceValid  time.Duration `toml:"advice-valid"`
	Allowed      float64       `toml:"allowed"` // Part of the targets that a step may use.

	PerSecond     float64    `toml:"per-second"`
	Steps         loadSpread `toml:"steps"`
	Tasks         loadSpread `toml:"tasks"`
	Seconds       loadSpread `toml:"run-seconds"`
	Cores         loadSpread `toml:"cores"`
	Memory        loadSpread `toml:"memory"`
	Accelerators  []int64    `toml:"accelerators"` // Drawn for each workflow.
	Uneven        float64    `toml:"uneven"`       // Spread of the run times of a step's tasks.
	EstimateError float64    `toml:"estimate-error"`
	Gang          float64    `toml:"gang"`        // Part of the workflows.
	Checkpoints   float64    `toml:"checkpoints"` // Part of the workflows.
	Apart         float64    `toml:"apart"`       // Part of the workflows with one task a target at most.
	Failing       float64    `toml:"failing"`     // Part of the runs.
	Speculative   float64    `toml:"speculative"` // Part of the workflows.
	NearData      float64    `toml:"near-data"`   // Part of the workflows with data on one rack.
}

// loadSpread is a log-normal distribution with a mean, the spread of the logarithm and a maximum.
type loadSpread struct {
	Mean   float64 `toml:"mean"`
	Spread float64 `toml:"spread"`
	Max    float64 `toml:"max"`
}

type loadTeam struct {
	Name   string  `toml:"name"`
	Part   float64 `toml:"part"`   // Part of all work.
	Weight float64 `toml:"weight"` // Workflows a second.
	Cores  float64 `toml:"cores"`  // Limit; zero for none.
}

type loadBurst struct {
	Queue  string        `toml:"queue"` // Empty for all.
	Team   string        `toml:"team"`  // Empty for all.
	At     time.Duration `toml:"at"`
	For    time.Duration `toml:"for"`
	Factor float64       `toml:"factor"`
}

// loadOff makes a part of the targets unreachable for some time.
type loadOff struct {
	At   time.Duration `toml:"at"`
	For  time.Duration `toml:"for"`
	Part float64       `toml:"part"`
}

// loadCheck is a bound on what the callers of one queue, or of all, get.
type loadCheck struct {
	Queue  string  `toml:"queue"`
	Team   string  `toml:"team"`
	OnTime float64 `toml:"on-time"` // Least part that completes by its target time.
	Served float64 `toml:"served"`  // Least part that completes while it is of use.
	Worth  float64 `toml:"worth"`   // Least part by work, late answers counted with lateWorth.
}

// includes reports whether the check is about a workflow.
func (c loadCheck) includes(a *askedWorkflow) bool {
	return (c.Queue == "" || c.Queue == a.queue) && (c.Team == "" || c.Team == string(a.spec.Team))
}

// violation returns what of a result is below the bounds, or an empty text.
func (c loadCheck) violation(r loadResult) string {
	switch served := r.part(r.onTime + r.late); {
	case r.part(r.onTime) < c.OnTime:
		return fmt.Sprintf("%.3f of %s %s on time, not %.3f", r.part(r.onTime), c.Queue, c.Team, c.OnTime)
	case served < c.Served:
		return fmt.Sprintf("%.3f of %s %s served, not %.3f", served, c.Queue, c.Team, c.Served)
	case r.worth < c.Worth:
		return fmt.Sprintf("worth of %s %s %.3f, not %.3f", c.Queue, c.Team, r.worth, c.Worth)
	}
	return ""
}

func readLoad(t testing.TB, path string) *loadFile {
	var load loadFile
	meta, err := toml.DecodeFile(path, &load)
	if err != nil {
		t.Fatal(err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		t.Fatalf("%s: unknown keys %v", path, unknown)
	}
	return &load
}

func loadNames(t testing.TB) []string {
	paths, err := filepath.Glob("testdata/loads/*.toml")
	if err != nil {
		t.Fatal(err)
	}
	for i, path := range paths {
		paths[i] = strings.TrimSuffix(filepath.Base(path), ".toml")
	}
	return paths
}

func loadPath(name string) string {
	return filepath.Join("testdata", "loads", name+".toml")
}
