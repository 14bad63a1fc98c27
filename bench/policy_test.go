package bench

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
	"cyclamendyke/core/policy"
	"cyclamendyke/standin"
)

func TestFairShares(t *testing.T) {
	for _, test := range []struct {
		name    string
		weights []int
		demand  []float64
		total   float64
		want    []float64
	}{
		{"equal", []int{1, 1}, []float64{9, 9}, 1, []float64{0.5, 0.5}},
		{"weighted", []int{3, 1}, []float64{9, 9}, 1, []float64{0.75, 0.25}},
		{"one wants less", []int{1, 1, 1}, []float64{0.1, 9, 9}, 1, []float64{0.1, 0.45, 0.45}},
		{"two want less, in turn", []int{1, 1, 2}, []float64{0.1, 0.26, 9}, 1, []float64{0.1, 0.26, 0.64}},
		{"all want less", []int{1, 1}, []float64{0.1, 0.2}, 1, []float64{0.1, 0.2}},
		{"idle team", []int{1, 1}, []float64{0, 9}, 1, []float64{0, 1}},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			r := &policyRun{}
			demand := map[cyclamendyke.TeamName]float64{}
			for i, weight := range test.weights {
				r.work.teams = append(r.work.teams, teamLoad{share: weight})
				demand[teamName(i)] = test.demand[i]
			}
			fair := r.fairShares(demand, test.total)
			for i, want := range test.want {
				is.True(math.Abs(fair[teamName(i)]-want) < 1e-9)
			}
		})
	}
}

// TestZoneSimulationAnswersEveryJob checks that each task of a workload starts, each job is answered, and
// two runs with one seed are identical.
func TestZoneSimulationAnswersEveryJob(t *testing.T) {
	is := is.New(t)
	work := workload{
		name:     "small",
		topology: standin.Topology{Zones: []cyclamendyke.ZoneName{"z"}, Pools: []standin.Pool{{Name: "p", Shape: standin.Shape(16, 32, 0), Workers: 4, PerRack: 2}}},
		teams:    mixedTeams,
		streams: []jobStream{
			{kind: cyclamendyke.KindBatch, pool: "p", perTask: taskResources(4, 8, 0), tasks: 4, runTime: time.Second, offeredLoad: 0.6, urgentEvery: 5},
			{kind: cyclamendyke.KindGang, pool: "p", perTask: taskResources(4, 8, 0), tasks: 6, runTime: time.Second, offeredLoad: 0.2},
		},
	}
	run := func() (started, answered int, at time.Time) {
		z := newZoneSimulation(zoneSimulationConfig{Name: "z", VMs: work.vms(), Tables: work.tables(), Policies: policy.Standard(), MaxJobs: 10_000, RunTime: func(job cyclamendyke.Job) time.Duration { return job.RunTime }})
		z.onAnswer = func(outcome cyclamendyke.Outcome) {
			is.Equal(outcome.Verdict, cyclamendyke.VerdictRan)
			answered++
		}
		arrivals := work.arrivals(time.Minute, 7)
		tasks, stopped := 0, 0
		for _, next := range arrivals {
			for z.now.Before(next.job.AcceptedAt) {
				z.advance()
			}
			tasks += next.job.Tasks
			z.call(func() []cyclamendyke.Command { return z.scheduler.Submit(z.now, next.job) })
		}
		for answered < len(arrivals) {
			z.advance()
		}
		stopped = z.commandCounts.stops
		is.True(z.placements >= tasks)
		is.True(z.placements <= tasks+stopped) // A stopped task is placed again.
		return z.placements, answered, z.now
	}
	started, answered, at := run()
	againStarted, againAnswered, againAt := run()
	is.Equal(started, againStarted)
	is.Equal(answered, againAnswered)
	is.Equal(at, againAt)
}
