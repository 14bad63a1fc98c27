package bench

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"cyclamendyke"
)

// loadTask is what each task of a measured cell reserves.
var loadTask = cyclamendyke.Resources{Cores: 4000, Memory: 8192, Slots: 1, Connections: 4}

const (
	processDaemons     = largeEntriesPerZone
	processSettle      = 15 * time.Second
	processMeasure     = 10 * time.Second
	processTasksPerJob = 10
	processPayload     = "sleep=2s"
)

// roleSeries collects the rates of one role by size.
type roleSeries struct {
	cpu, bytes, memory, reads, writes []Point
}

func (s *roleSeries) add(size float64, r rates) {
	s.cpu = append(s.cpu, Point{size, r.cpu})
	s.bytes = append(s.bytes, Point{size, r.bytes})
	s.memory = append(s.memory, Point{size, r.memory})
	s.reads = append(s.reads, Point{size, r.storeReads})
	s.writes = append(s.writes, Point{size, r.storeWrites})
}

func (s *roleSeries) report(report *Report, name, per string) {
	report.add(name+" processor time", "ms/s", per, s.cpu)
	report.add(name+" bytes both ways", "bytes/s", per, s.bytes)
	report.add(name+" resident memory", "bytes", per, s.memory)
	report.add(name+" store reads", "calls/s", per, s.reads)
	report.add(name+" store writes", "calls/s", per, s.writes)
}

// measureIdle measures daemons without any work, by workers of their zone.
func measureIdle(uint64) (*Report, error) {
	report := &Report{}
	holder, standby := &roleSeries{}, &roleSeries{}
	for _, workers := range []int{30, 60, 120, 240} {
		if err := idleOnce(workers, holder, standby); err != nil {
			return nil, err
		}
	}
	holder.report(report, "idle scheduler", "worker")
	standby.report(report, "idle standby", "worker")
	return report, nil
}

func idleOnce(workers int, holder, standby *roleSeries) error {
	c, err := newCell(workers)
	if err != nil {
		return err
	}
	defer c.stop()
	time.Sleep(processSettle)
	used, err := c.measure(func() { time.Sleep(processMeasure) })
	if err != nil {
		return err
	}
	holder.add(float64(workers), used.holder)
	standby.add(float64(workers), used.standby)
	return nil
}

// used is what the two roles of a zone used.
type used struct {
	holder, standby rates
}

// measure returns the rates of the scheduler and of a standby while work runs.
func (c *cell) measure(work func()) (used, error) {
	holder, standby, err := c.seenScheduler()
	if err != nil {
		return used{}, err
	}
	holderBefore, err1 := c.sample(holder)
	standbyBefore, err2 := c.sample(standby)
	work()
	holderAfter, err3 := c.sample(holder)
	standbyAfter, err4 := c.sample(standby)
	return used{holderAfter.since(holderBefore), standbyAfter.since(standbyBefore)}, errors.Join(err1, err2, err3, err4)
}

// measureLoad measures daemons under work that one standby takes from callers, by started tasks a second.
func measureLoad(uint64) (*Report, error) {
	c, err := newCell(largeWorkersPerZone)
	if err != nil {
		return nil, err
	}
	defer c.stop()
	time.Sleep(processSettle)
	report := &Report{}
	holder, standby := &roleSeries{}, &roleSeries{}
	for _, startsPerSecond := range []int{10, 20, 40, 80} {
		times := newHistogram()
		var refused int
		used, err := c.measure(func() { refused = c.load(startsPerSecond, times) })
		if err != nil {
			return nil, err
		}
		holder.add(float64(startsPerSecond), used.holder)
		standby.add(float64(startsPerSecond), used.standby)
		name := fmt.Sprintf("answer to a job of 10 tasks of 2 s at %d starts a second", startsPerSecond)
		report.Distributions = append(report.Distributions, times.distribution(name))
		report.value(name+", refused", float64(refused), "jobs")
	}
	holder.report(report, "loaded scheduler", "start a second")
	standby.report(report, "loaded entry", "start a second")
	return report, nil
}

// load hands in jobs at a standby for processMeasure and returns how many did not run.
func (c *cell) load(startsPerSecond int, times histogram) int {
	_, entry, err := c.seenScheduler()
	if err != nil {
		return 0
	}
	var (
		jobs    sync.WaitGroup
		mu      sync.Mutex
		refused atomic.Int64
	)
	ticker := time.NewTicker(time.Second * processTasksPerJob / time.Duration(startsPerSecond))
	defer ticker.Stop()
	for end := time.Now().Add(processMeasure); time.Now().Before(end); <-ticker.C {
		jobs.Go(func() {
			began := time.Now()
			if c.submitTasks(entry.member.HTTP, processTasksPerJob, processPayload, false) != nil {
				refused.Add(1)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			times.record(time.Since(began))
		})
	}
	jobs.Wait()
	return int(refused.Load())
}
