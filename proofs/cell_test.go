package proofs_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
	"cyclamendyke/proofs"
	"cyclamendyke/standin"
	"cyclamendyke/standin/kv"
	"cyclamendyke/standin/worker"
)

var (
	seedCount = flag.Int("proofs.seeds", 3, "number of seeds that TestRandomFaults runs")
	firstSeed = flag.Uint64("proofs.first", 1, "first seed that TestRandomFaults runs")
	stepCount = flag.Int("proofs.steps", 25, "number of faults that TestRandomFaults injects for each seed")
)

const limitMilliCores = 5000 // The limit-cores of the team "open" in tablesText.

var tablesText = cyclamendyke.TablesText{
	Routes: `[route "batch"]
kind = batch
pools = p
open = true
max-queue = 200

[route "gang"]
kind = gang
pools = p
open = true
max-queue = 50

[team "open"]
share = 1
limit-cores = 5
`,
	Pools: `[pool "p"]
cores = 4
memory = 8GiB
slots = 8
connections = 64
zones = z0, z1
kinds = service, batch, gang
`,
}

var teamLimits = map[cyclamendyke.TeamName]cyclamendyke.Resources{cyclamendyke.OpenTeam: {Cores: limitMilliCores}}

// newCell starts a cell of two zones with two daemons each and waits until both zones have a scheduler.
func newCell(t *testing.T, seed uint64) *proofs.Cell {
	t.Helper()
	is := is.New(t)
	cell, err := proofs.NewCell(proofs.CellConfig{
		Zones:          2,
		Daemons:        2,
		Workers:        3,
		WorkerCapacity: cyclamendyke.Resources{Cores: 4000, Memory: 8192, Slots: 8, Connections: 64},
		Tables:         tablesText,
		Seed:           seed,
	})
	is.NoErr(err)
	for range 300 {
		if cell.Scheduler("z0") != nil && cell.Scheduler("z1") != nil {
			return cell
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Fatal("a zone has no scheduler")
	return nil
}

// simulation submits random requests to a cell and injects random faults.
type simulation struct {
	t            *testing.T
	cell         *proofs.Cell
	history      *proofs.History
	random       *rand.Rand
	requestCount int

	tablesRevisions map[cyclamendyke.MemberName]cyclamendyke.Revision // The last revision that each member had in force.
}

// submitRandom submits a random request to a random node.
func (s *simulation) submitRandom() {
	node := s.randomNode()
	if node.Daemon == nil {
		return
	}
	s.requestCount++
	submission := cyclamendyke.Submission{
		Route:   "batch",
		Tasks:   1 + s.random.IntN(3),
		PerTask: cyclamendyke.Resources{Cores: cyclamendyke.MilliCores(500 + 500*s.random.IntN(3)), Memory: 256},
		Payload: fmt.Sprintf("output=r%d sleep=%ds use-cores=%d", s.requestCount, s.random.IntN(20), 100*s.random.IntN(30)),
	}
	switch s.random.IntN(5) {
	case 0:
		submission.Tasks = 1
		submission.NotRepeatable = true
	case 1:
		submission.Route = "gang"
	case 2:
		submission.Detach = true
	}
	request := s.history.Add(submission)
	daemon := node.Daemon
	go func() { s.history.SetOutcome(request, daemon.Submit(s.t.Context(), "", submission)) }()
}

func (s *simulation) randomNode() *proofs.Node { return s.cell.Nodes[s.random.IntN(len(s.cell.Nodes))] }

// injectFault injects a random fault, in addition to those still active, and returns its description.
func (s *simulation) injectFault() string {
	node := s.randomNode()
	if scheduler := s.cell.Scheduler(node.Member.Zone); scheduler != nil && s.random.IntN(3) > 0 {
		node = scheduler
	}
	names := s.cell.Fleet.Names()
	workerName := names[s.random.IntN(len(names))]
	injectors := []*proofs.FaultInjector{node.StoreFaults, node.WorkerFaults, node.PeerFaults}
	networkFaults := []proofs.Fault{proofs.FaultDropRequests, proofs.FaultDropResponses, proofs.FaultDelayRequests}
	switch kind := s.random.IntN(14); kind {
	case 12:
		s.disconnectWorkers(node)
		return "half of the workers unreachable from " + string(node.Member.Name)
	case 13:
		s.disconnectWorkers(node)
		s.cell.Store.SetFaults(kv.Faults{Silent: true})
		return "store silent, half of the workers unreachable from " + string(node.Member.Name)
	case 0:
		if err := s.cell.Restart(node); err != nil {
			s.t.Error(err)
		}
		return "killed and restarted a daemon of zone " + string(node.Member.Zone)
	case 1, 2:
		for _, injector := range injectors {
			injector.Set(proofs.FaultFrozen)
		}
		return "frozen " + string(node.Member.Name)
	case 3, 4:
		networkFault := networkFaults[s.random.IntN(len(networkFaults))]
		injectors[s.random.IntN(len(injectors))].Set(networkFault)
		return string(networkFault) + " " + string(node.Member.Name)
	case 5:
		s.cell.Store.SetFaults(kv.Faults{Down: true})
		return "store down"
	case 6:
		s.cell.Store.SetFaults(kv.Faults{Delay: standin.Duration(time.Duration(s.random.IntN(3000)) * time.Millisecond)})
		return "store slow"
	case 7:
		s.cell.Store.SetFaults(kv.Faults{LoseAnswers: 1 + s.random.IntN(20), LateWrites: s.random.IntN(3), LateBy: standin.Duration(3 * time.Second)})
		return "store loses answers"
	case 8:
		s.cell.Fleet.SetFaults(workerName, worker.Faults{Silent: true})
		return "silent " + string(workerName)
	case 9:
		s.cell.Fleet.SetFaults(workerName, worker.Faults{Dead: true})
		return "dead " + string(workerName)
	case 10:
		s.cell.Fleet.SetFaults(workerName, worker.Faults{FailAll: true, LoseAnswers: s.random.IntN(5)})
		return "failing " + string(workerName)
	default:
		s.cell.ClearFaults()
		return "all faults cleared"
	}
}

// cancelPending cancels, concurrently and through one random node, every request that was answered as
// pending.
func (s *simulation) cancelPending() {
	daemon := s.randomNode().Daemon
	for _, request := range s.history.Requests() {
		if request.Outcome.Verdict == cyclamendyke.VerdictPending {
			go func() { _, _ = daemon.Cancel(s.t.Context(), "", request.Outcome.Request) }()
		}
	}
}

// editTablesConcurrently edits the tables through every node at the same time. All edits expect the same
// revision, so at most one of them should succeed.
func (s *simulation) editTablesConcurrently() {
	_, expected, err := s.randomNode().Tables(s.t.Context())
	if err != nil {
		return
	}
	for i, node := range s.cell.Nodes {
		text := tablesText
		text.Routes = fmt.Sprintf("# %d by %d\n%s", s.requestCount, i, tablesText.Routes)
		daemon := node.Daemon
		go func() { _, _ = daemon.EditTables(s.t.Context(), text, expected) }()
	}
}

// checkTablesRevisions fails the test if a node's tables revision went back. A restarted node has a
// new name, so its revisions are not compared with those before the restart.
func (s *simulation) checkTablesRevisions() {
	for _, node := range s.cell.Nodes {
		_, revision, err := node.Tables(s.t.Context())
		if err != nil {
			continue
		}
		if revision < s.tablesRevisions[node.Member.Name] {
			s.t.Fatalf("tables revision of %s went back from %d to %d", node.Member.Name, s.tablesRevisions[node.Member.Name], revision)
		}
		s.tablesRevisions[node.Member.Name] = revision
	}
}

// disconnectWorkers makes about half of the workers unreachable from a node.
func (s *simulation) disconnectWorkers(node *proofs.Node) {
	for _, name := range s.cell.Fleet.Names() {
		if s.random.IntN(2) == 0 {
			s.cell.Fleet.SetFaults(name, worker.Faults{Cut: []string{string(node.Member.Name)}})
		}
	}
}

// advance lets d pass on the fake clock and checks the cell every 200 ms.
func (s *simulation) advance(d time.Duration) {
	for range d / (200 * time.Millisecond) {
		time.Sleep(200 * time.Millisecond)
		if err := s.cell.Check(s.history, teamLimits); err != nil {
			s.t.Fatal(err)
		}
		s.checkTablesRevisions()
	}
}

// TestRandomFaults submits random requests to two zones under accumulating random faults, and checks
// the tasks on the workers and the outcome of every request.
func TestRandomFaults(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+uint64(*seedCount); seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cell := newCell(t, seed)
				defer cell.Close()
				s := &simulation{t: t, cell: cell, history: &proofs.History{}, random: rand.New(rand.NewPCG(seed, 1)), tablesRevisions: map[cyclamendyke.MemberName]cyclamendyke.Revision{}}
				for range *stepCount {
					for range 2 + s.random.IntN(8) {
						s.submitRandom()
					}
					if s.random.IntN(2) == 0 {
						cell.ClearFaults()
					}
					switch s.random.IntN(6) {
					case 0:
						s.cancelPending()
					case 1:
						s.editTablesConcurrently()
					}
					t.Log(s.injectFault())
					s.advance(time.Duration(2+s.random.IntN(60)) * 500 * time.Millisecond)
				}
				cell.ClearFaults()
				s.advance(7 * time.Minute)
				s.checkAllAnswered()
			})
		})
	}
}

// checkAllAnswered fails the test if a request was never answered, and logs how many ended with each
// verdict.
func (s *simulation) checkAllAnswered() {
	counts := map[string]int{}
	for _, request := range s.history.Requests() {
		if !request.Answered {
			s.t.Errorf("no answer to %q", request.Payload)
		}
		counts[strings.TrimSpace(string(request.Outcome.Verdict)+" "+string(request.Outcome.Reason))]++
	}
	s.t.Logf("%d requests: %v", s.requestCount, counts)
}
