// The command rig plays the cases of the second review: it starts a small deployment of the project's daemon on loopback
// addresses, with stand-ins for the platform's store, the minions, the operators and the clients.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

func main() {
	name := flag.String("case", "", "which case to play")
	daemonPath := flag.String("daemon", "", "the project's daemon")
	root := flag.String("root", ".", "the repository's root")
	recordPath := flag.String("record", "record.txt", "where the record is written")
	flag.Parse()
	record, err := os.Create(*recordPath)
	if err != nil {
		fmt.Println(err)
		os.Exit(exitNotRun)
	}
	if _, err := os.Stat(*daemonPath); err != nil {
		fmt.Println(err)
		os.Exit(exitNotRun)
	}
	g := newRig(record, *daemonPath, *root)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		g.fail(exitNotRun, "interrupted")
	}()
	time.AfterFunc(maxDuration, func() { g.fail(exitNotRun, "the case took too long") })
	trouble := os.Getenv("TROUBLE") != "0"
	play := cases[*name]
	if play == nil {
		g.fail(exitNotRun, "no case %q", *name)
	}
	g.note("case %s, trouble %v", *name, trouble)
	g.findPorts()
	play(g, trouble)
	g.finish()
}

// maxDuration limits a case.
const maxDuration = 112 * time.Second

var cases = map[string]func(g *rig, trouble bool){
	"layers":    playLayers,
	"timed":     playTimed,
	"reborn":    playReborn,
	"ends":      playEnds,
	"slow-ends": playSlowEnds,
	"wide":      playWide,
}

// The sizes of minions.
const (
	someCores = 64_000 // Thousandths.
	manyCores = 128_000
)

// deploy starts four daemons in two zones and a service of minions.
func (g *rig) deploy(minions int, cores int64) {
	zones := []string{"fukuoka-a", "fukuoka-b"}
	g.configure()
	go g.removeSilent()
	g.startMinions(service, minions, zones, resources{CPU: cores, Mem: 131072})
	g.startNodes([]string{zones[0], zones[0], zones[1], zones[1]})
	time.Sleep(2 * time.Second)
}

// finishTime is finish_s of the settings, and emptyTime how long a job may have nothing running.
const (
	finishTime = 14 * time.Second
	emptyTime  = 3 * time.Second
)

// checkFinished asks for jobs finishTime after the end of the traffic, as rule LOST says.
func (g *rig) checkFinished(jobs []*job, perRun int64) {
	time.Sleep(finishTime)
	var open []*job
	for _, j := range jobs {
		status, state := g.look(j)
		switch {
		case status != 200:
			g.violate("LOST: job %s, accepted at %.1f s, is not known or gets no answer: %d", j.id, j.accepted.Sub(g.began).Seconds(), status)
		case state == "failed" || state == "cancelled":
			g.checkCause(j, state)
		case state != "completed":
			open = append(open, j)
		}
	}
	g.checkIdle(open, perRun)
	g.note("%d jobs were accepted, %d of them were not completed", len(jobs), len(open))
}

// checkCause checks that a job that is shown as failed has a task with max_attempts ends failed.
func (g *rig) checkCause(j *job, state string) {
	if failed := g.failedEnds(j.id); state == "cancelled" || failed < maxAttempts {
		g.violate("LOST: job %s is shown as %s; nobody cancelled it (%d ends failed of any one task, max_attempts %d)", j.id, state, failed, maxAttempts)
	}
}

// checkIdle finds the jobs that have nothing running for emptyTime although there is room.
func (g *rig) checkIdle(open []*job, perRun int64) {
	idle := map[*job]bool{}
	for _, j := range open {
		idle[j] = true
	}
	for end := time.Now().Add(emptyTime + 500*time.Millisecond); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if g.usedCores(perRun) >= 0.5 {
			return
		}
		for j := range idle {
			if g.hasRun(j.id) {
				delete(idle, j)
			}
		}
	}
	for j := range idle {
		if _, state := g.look(j); state != "completed" {
			g.violate("LOST: job %s, accepted at %.1f s, had nothing running for %v while less than half of the service was in use; it is shown as %q", j.id, j.accepted.Sub(g.began).Seconds(), emptyTime, state)
		}
	}
}
