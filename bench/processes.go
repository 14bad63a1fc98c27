package bench

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"cyclamendyke"
)

// cellTaskResources is the reservation of each task in a measured cell.
var cellTaskResources = cyclamendyke.Resources{Cores: 4000, Memory: 8192, Slots: 1, Connections: 4}

const (
	cellDaemons        = largeEntriesPerZone
	processSettleTime  = 15 * time.Second
	processMeasureTime = 10 * time.Second
	processTasksPerJob = 10
	processTaskPayload = "sleep=2s"
)

// roleSeries collects the usage rates of one role, by number of workers or task starts per second.
type roleSeries struct {
	cpu, bytes, memory, reads, writes []Point
}

func (s *roleSeries) add(size float64, r usageRates) {
	s.cpu = append(s.cpu, Point{size, r.cpu})
	s.bytes = append(s.bytes, Point{size, r.bytes})
	s.memory = append(s.memory, Point{size, r.memory})
	s.reads = append(s.reads, Point{size, r.storeReads})
	s.writes = append(s.writes, Point{size, r.storeWrites})
}

func (s *roleSeries) report(report *Report, name, per string) {
	report.addSeries(name+" processor time", "ms/s", per, s.cpu)
	report.addSeries(name+" bytes both ways", "bytes/s", per, s.bytes)
	report.addSeries(name+" resident memory", "bytes", per, s.memory)
	report.addSeries(name+" store reads", "calls/s", per, s.reads)
	report.addSeries(name+" store writes", "calls/s", per, s.writes)
}

// measureIdle measures daemons without any jobs, by the number of workers in their zone.
func measureIdle(uint64) (*Report, error) {
	report := &Report{}
	scheduler, standby := &roleSeries{}, &roleSeries{}
	for _, workers := range []int{30, 60, 120, 240} {
		if err := measureIdleZone(workers, scheduler, standby); err != nil {
			return nil, err
		}
	}
	scheduler.report(report, "idle scheduler", "worker")
	standby.report(report, "idle standby", "worker")
	return report, nil
}

func measureIdleZone(workers int, scheduler, standby *roleSeries) error {
	c, err := newCell(workers)
	if err != nil {
		return err
	}
	defer c.stop()
	time.Sleep(processSettleTime)
	measured, err := c.measure(func() { time.Sleep(processMeasureTime) })
	if err != nil {
		return err
	}
	scheduler.add(float64(workers), measured.scheduler)
	standby.add(float64(workers), measured.standby)
	return nil
}

// roleRates are the usage rates of a zone's scheduler and of one standby.
type roleRates struct {
	scheduler, standby usageRates
}

// measure returns the usage rates of the scheduler and of a standby while work runs.
func (c *cell) measure(work func()) (roleRates, error) {
	scheduler, standby, err := c.schedulerFromMembers()
	if err != nil {
		return roleRates{}, err
	}
	schedulerBefore, err1 := c.sample(scheduler)
	standbyBefore, err2 := c.sample(standby)
	work()
	schedulerAfter, err3 := c.sample(scheduler)
	standbyAfter, err4 := c.sample(standby)
	return roleRates{schedulerAfter.ratesSince(schedulerBefore), standbyAfter.ratesSince(standbyBefore)}, errors.Join(err1, err2, err3, err4)
}

// measureLoad measures daemons while a standby receives jobs, by task starts per second.
func measureLoad(uint64) (*Report, error) {
	c, err := newCell(largeWorkersPerZone)
	if err != nil {
		return nil, err
	}
	defer c.stop()
	time.Sleep(processSettleTime)
	report := &Report{}
	scheduler, standby := &roleSeries{}, &roleSeries{}
	for _, startsPerSecond := range []int{10, 20, 40, 80} {
		times := newHistogram()
		var refused int
		measured, err := c.measure(func() { refused = c.offerLoad(startsPerSecond, times) })
		if err != nil {
			return nil, err
		}
		scheduler.add(float64(startsPerSecond), measured.scheduler)
		standby.add(float64(startsPerSecond), measured.standby)
		name := fmt.Sprintf("answer to a job of 10 tasks of 2 s at %d starts a second", startsPerSecond)
		report.Distributions = append(report.Distributions, times.distribution(name))
		report.addValue(name+", refused", float64(refused), "jobs")
	}
	scheduler.report(report, "loaded scheduler", "start a second")
	standby.report(report, "loaded entry", "start a second")
	return report, nil
}

// offerLoad submits jobs to a standby at the given rate of task starts for processMeasureTime, records
// the answer times in times, and returns how many jobs did not run.
func (c *cell) offerLoad(startsPerSecond int, times histogram) int {
	_, entry, err := c.schedulerFromMembers()
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
	for end := time.Now().Add(processMeasureTime); time.Now().Before(end); <-ticker.C {
		jobs.Go(func() {
			start := time.Now()
			if c.submitAndWait(entry.member.HTTP, processTasksPerJob, processTaskPayload, false) != nil {
				refused.Add(1)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			times.record(time.Since(start))
		})
	}
	jobs.Wait()
	return int(refused.Load())
}
