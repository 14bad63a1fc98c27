package main

import (
	"strings"
	"sync"
	"time"
)

// gangTimeout is gang_timeout_ms.
const gangTimeout = 3 * time.Second

// gangs is what the members of gangs know of each other.
type gangs struct {
	mu    sync.Mutex
	sizes map[string]int // By ID.K.STEP.
	runs  map[gangRun]*gang
}

// gangRun names one run of a gang.
type gangRun struct {
	step string
	run  int64
}

// gang is one run of a gang: its members work from the moment when all are present.
type gang struct {
	members []gangMember
	isOver  bool
}

type gangMember struct {
	mn *minion
	r  *taskRun
}

// sizeOf returns the number of members of a task's gang, or 0.
func (g *gangs) sizeOf(task string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sizes[stepOf(task)]
}

// setSize makes the tasks of a step a gang.
func (g *gangs) setSize(step string, size int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sizes[step] = size
}

func stepOf(task string) string { return task[:strings.LastIndex(task, ".")] }

// join adds a member that has been started. The caller holds its minion's lock.
func (g *gangs) join(mn *minion, r *taskRun) {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := gangRun{stepOf(r.task), r.run}
	gg := g.runs[key]
	if gg == nil {
		gg = &gang{}
		g.runs[key] = gg
	}
	gg.members = append(gg.members, gangMember{mn, r})
	if len(gg.members) < g.sizes[key.step] {
		time.AfterFunc(gangTimeout, func() {
			if !g.isComplete(key) {
				mn.endLater(r, "alone")
			}
		})
		return
	}
	for _, m := range gg.members {
		time.AfterFunc(r.lasts, func() { m.mn.endLater(m.r, "done") })
	}
}

func (g *gangs) isComplete(key gangRun) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.runs[key].members) == g.sizes[key.step]
}

// left ends the other members of a run as broken, unless the gang is done. The caller may hold its minion's lock.
func (g *gangs) left(r *taskRun, how string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	gg := g.runs[gangRun{stepOf(r.task), r.run}]
	if gg == nil || gg.isOver {
		return
	}
	gg.isOver = true
	if how == "done" {
		return
	}
	for _, m := range gg.members {
		if m.r != r {
			go m.mn.endLater(m.r, "broken")
		}
	}
}

// endLater ends a run unless it has ended already.
func (mn *minion) endLater(r *taskRun, how string) {
	mn.mu.Lock()
	defer mn.mu.Unlock()
	mn.end(r, how)
}
