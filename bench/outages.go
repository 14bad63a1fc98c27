package bench

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/policy"
	"cyclamendyke/standin/kv"
)

const (
	takeoverPayload  = "sleep=10m"
	outageSettleTime = 15 * time.Second // Longer than the lease of any session.
)

// measureTakeover kills a zone's scheduler and measures the takeover, by the number of running tasks.
func measureTakeover(uint64) (*Report, error) {
	report := &Report{}
	var elected, claimed, answered, cpu, bytes []Point
	for _, tasks := range []int{0, 160, 320, 640} {
		result, err := killScheduler(tasks)
		if err != nil {
			return nil, err
		}
		size := float64(tasks)
		elected = append(elected, Point{size, result.untilElected.Seconds()})
		claimed = append(claimed, Point{size, result.untilClaimed.Seconds()})
		answered = append(answered, Point{size, result.untilAnswered.Seconds()})
		cpu = append(cpu, Point{size, result.cpu})
		bytes = append(bytes, Point{size, result.bytes})
		report.addValue(fmt.Sprintf("tasks doubled with %d running", tasks), float64(result.duplicatedTasks), "tasks")
	}
	report.addSeries("kill to the next record in the store", "s", "running task", elected)
	report.addSeries("kill to every worker claimed", "s", "running task", claimed)
	report.addSeries("kill to the answer of an urgent job", "s", "running task", answered)
	report.addSeries("successor's processor time until then", "ms", "running task", cpu)
	report.addSeries("successor's bytes until then", "bytes", "running task", bytes)
	return report, nil
}

// takeoverResult holds the times from the kill of a scheduler until each step of the takeover, and the
// resource usage of its successor.
type takeoverResult struct {
	untilElected, untilClaimed, untilAnswered time.Duration
	cpu, bytes                                float64 // Milliseconds of processor time and bytes of the successor.
	duplicatedTasks                           int
}

// killScheduler kills the scheduler of a new cell with the given number of running tasks and measures
// the takeover.
func killScheduler(tasks int) (takeoverResult, error) {
	c, err := newCell(largeWorkersPerZone)
	if err != nil {
		return takeoverResult{}, err
	}
	defer c.stop()
	scheduler, standby, err := c.schedulerFromStore()
	if err != nil {
		return takeoverResult{}, err
	}
	go func() { _ = c.submitAndWait(standby.member.HTTP, tasks, takeoverPayload, false) }()
	if err := c.waitUntil(func() bool { return c.runningTasks(standby) == tasks }); err != nil {
		return takeoverResult{}, err
	}
	before := map[cyclamendyke.MemberName]usageSample{}
	for _, daemon := range c.daemons {
		if before[daemon.member.Name], err = c.sample(daemon); err != nil {
			return takeoverResult{}, err
		}
	}
	killedAt := time.Now()
	_ = scheduler.command.Process.Signal(syscall.SIGKILL)
	return c.timeTakeover(killedAt, scheduler, standby, before)
}

// timeTakeover measures each step of the takeover and the successor's usage during it.
func (c *cell) timeTakeover(killedAt time.Time, oldScheduler, entry *daemonProcess, before map[cyclamendyke.MemberName]usageSample) (takeoverResult, error) {
	var result takeoverResult
	var answered sync.WaitGroup
	var submitErr error
	answered.Go(func() {
		submitErr = c.submitAndWait(entry.member.HTTP, 1, "done", true)
		result.untilAnswered = time.Since(killedAt)
	})
	var successor *daemonProcess
	err := c.waitUntil(func() bool {
		scheduler, _, err := c.schedulerFromStore()
		successor = scheduler
		return err == nil && scheduler != oldScheduler
	})
	result.untilElected = time.Since(killedAt)
	err = errors.Join(err, c.waitUntil(func() bool { return c.claimedBy(entry) == largeWorkersPerZone }))
	result.untilClaimed = time.Since(killedAt)
	answered.Wait()
	if err := errors.Join(err, submitErr); err != nil {
		return result, err
	}
	after, err := c.sample(successor)
	result.cpu = millis(after.cpu - before[successor.member.Name].cpu)
	result.bytes = after.bytes - before[successor.member.Name].bytes
	result.duplicatedTasks = c.duplicatedTasks()
	return result, err
}

// submitAndWait submits one job and waits for its outcome; it does nothing if tasks is zero.
func (c *cell) submitAndWait(address string, tasks int, payload string, urgent bool) error {
	if tasks == 0 {
		return nil
	}
	body, err := json.Marshal(cyclamendyke.Submission{
		Route: "route-0", Tasks: tasks, PerTask: cellTaskResources, RunTime: 10 * time.Minute, Payload: payload, Urgent: urgent,
	})
	if err != nil {
		return err
	}
	return c.postJob(address, body)
}

func (c *cell) postJob(address string, body []byte) error {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/jobs", bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	var outcome cyclamendyke.Outcome
	if err := json.NewDecoder(response.Body).Decode(&outcome); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s: %s", response.Status, outcome.Reason, outcome.Detail)
	}
	return nil
}

// runningTasks asks a daemon how many tasks run on the zone's workers.
func (c *cell) runningTasks(through *daemonProcess) int {
	tasks := 0
	for _, worker := range c.workers(through) {
		tasks += worker.Tasks
	}
	return tasks
}

// duplicatedTasks returns how many tasks were started while they already ran on another worker, or -1 if
// the platform cannot be asked.
func (c *cell) duplicatedTasks() int {
	var answer struct {
		Duplicated []cyclamendyke.TaskID `json:"doubled"`
	}
	if err := c.get(c.platform.address, "/counts", &answer); err != nil {
		return -1
	}
	return len(answer.Duplicated)
}

// measureStoreOutage compares an idle zone before, during and after an outage of the store.
func measureStoreOutage(uint64) (*Report, error) {
	c, err := newCell(largeWorkersPerZone)
	if err != nil {
		return nil, err
	}
	defer c.stop()
	report := &Report{}
	for _, phase := range []struct {
		name   string
		faults kv.Faults
		settle time.Duration
	}{
		{"store there", kv.Faults{}, processSettleTime},
		{"store away", kv.Faults{Down: true}, outageSettleTime},
		{"store back", kv.Faults{}, 0},
	} {
		if err := c.setStoreFaults(phase.faults); err != nil {
			return nil, err
		}
		time.Sleep(phase.settle)
		measured, err := c.measure(func() { time.Sleep(processMeasureTime) })
		if err != nil {
			return nil, err
		}
		addRates(report, "scheduler, "+phase.name, measured.scheduler)
		addRates(report, "standby, "+phase.name, measured.standby)
		began := time.Now()
		submitErr := c.submitAndWait(c.daemons[0].member.HTTP, 1, "done", true)
		report.addValue("urgent job answered, "+phase.name, time.Since(began).Seconds(), "s")
		report.addValue("urgent job refused, "+phase.name, boolToFloat(submitErr != nil), "jobs")
	}
	return report, nil
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func addRates(report *Report, name string, r usageRates) {
	report.addValue(name+", processor time", r.cpu, "ms/s")
	report.addValue(name+", bytes both ways", r.bytes, "bytes/s")
	report.addValue(name+", store reads", r.storeReads, "calls/s")
	report.addValue(name+", store writes", r.storeWrites, "calls/s")
}

func (c *cell) setStoreFaults(faults kv.Faults) error {
	body, err := json.Marshal(faults)
	if err != nil {
		return err
	}
	response, err := http.Post("http://"+c.platform.address+"/faults/store", "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// measureCancellationAndAdoption measures the scheduler's own time to cancel many jobs and to
// adopt running tasks after a takeover.
func measureCancellationAndAdoption(uint64) (*Report, error) {
	report := &Report{}
	sizes := []int{2000, 4000, 8000, 16_000}
	cancels := make([]Point, 0, len(sizes))
	for _, jobs := range sizes {
		cancels = append(cancels, Point{float64(jobs), millis(timeCancellation(jobs))})
	}
	report.addSeries("cancellation of waiting jobs, scheduler time", "ms", "job", cancels)
	sizes = []int{160, 320, 640, 1280}
	adoption := make([]Point, 0, len(sizes))
	for _, tasks := range sizes {
		adoption = append(adoption, Point{float64(tasks), millis(timeAdoption(tasks))})
	}
	report.addSeries("adoption of running tasks, scheduler time", "ms", "running task", adoption)
	return report, nil
}

// timeCancellation returns the scheduler's time to cancel the given number of waiting jobs.
func timeCancellation(jobs int) time.Duration {
	z := newDefaultZone(1)
	submitJobs(z, jobs, 10)
	z.schedulerTime = 0
	for i := range jobs {
		request := newBatchJob(i, 10, z.now).Request
		z.call(func() []cyclamendyke.Command { return z.scheduler.Cancel(z.now, request) })
	}
	z.advance()
	return z.schedulerTime
}

// timeAdoption returns a new scheduler's time to adopt the given number of running tasks.
func timeAdoption(tasks int) time.Duration {
	workers := max(largeWorkersPerZone, tasks/8)
	old := newDefaultZone(workers)
	submitJobs(old, tasks, 1)
	z := newZoneSimulation(zoneSimulationConfig{
		Name: "a1", VMs: zoneVMs(workers), Tables: uniformTables(largeTeams, "search"), Policies: policy.Standard(),
		MaxJobs: 200_000, RunTime: old.runTime, Workers: old.workers,
	})
	z.advance()
	return z.schedulerTime
}
