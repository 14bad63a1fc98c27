package bench

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"cyclamendyke"
	"cyclamendyke/io/vmlist"
	"cyclamendyke/io/worker"
)

const (
	callWorkers = 120
	callSenders = 8 // Concurrent senders.
)

// callTestbed is a stand-in platform with one zone of workers, and a scheduler's HTTP client for them.
type callTestbed struct {
	platform *platformProcess
	workers  *worker.Workers
	vms      []cyclamendyke.VM
	claim    cyclamendyke.Claim
}

// callCost is the processor time and the bytes that a batch of calls used in this process.
type callCost struct {
	cpu            time.Duration
	sent, received float64
}

func newCallTestbed() (*callTestbed, error) {
	platform, err := startPlatform("--zones", "z", "--pool", fmt.Sprintf("p:64:128:0:%d:4", callWorkers))
	if err != nil {
		return nil, err
	}
	bed := &callTestbed{
		platform: platform,
		workers:  worker.New(worker.Config{Caller: "bench"}),
		claim: cyclamendyke.Claim{
			Epoch:      cyclamendyke.Epoch{Term: 1 << 16, Owner: "entry-a1"},
			Mode:       cyclamendyke.SessionPreemptible,
			StoreLease: true,
			SessionTTL: time.Hour,
			TaskTTL:    time.Hour,
		},
	}
	list := vmlist.New(vmlist.Config{Addresses: []string{platform.address}, Caller: "bench"})
	defer list.Close()
	bed.vms, err = list.ListVMs(context.Background(), "z")
	bed.workers.SetVMs(bed.vms)
	return bed, errors.Join(err, bed.claimAll())
}

func (b *callTestbed) close() {
	b.workers.Close()
	b.platform.stop()
}

func (b *callTestbed) claimAll() error {
	for _, vm := range b.vms {
		if _, err := b.workers.Claim(context.Background(), vm.Name, b.claim); err != nil {
			return err
		}
	}
	return nil
}

// measure makes n calls, spread over the workers, and returns their cost.
func (b *callTestbed) measure(n int, call func(i int, worker cyclamendyke.WorkerName) error) (callCost, error) {
	before := b.workers.Counts()
	errs := make([]error, callSenders)
	cpu := cpuUsedBy(func() {
		var senders sync.WaitGroup
		for s := range callSenders {
			senders.Go(func() {
				for i := s; i < n && errs[s] == nil; i += callSenders {
					errs[s] = call(i, b.vms[i%len(b.vms)].Name)
				}
			})
		}
		senders.Wait()
	})
	after := b.workers.Counts()
	return callCost{
		cpu:      cpu,
		sent:     float64(after.BytesSent - before.BytesSent),
		received: float64(after.BytesReceived - before.BytesReceived),
	}, errors.Join(errs...)
}

func (b *callTestbed) renew(ack uint64, worker cyclamendyke.WorkerName) (cyclamendyke.WorkerReport, error) {
	claim := b.claim
	claim.Ack = ack
	return b.workers.Renew(context.Background(), worker, claim)
}

// newTaskStart returns a start of the i-th task like those that a scheduler sends.
func (b *callTestbed) newTaskStart(i int, payload string) cyclamendyke.TaskStart {
	reserved := cyclamendyke.Resources{Cores: 8000, Memory: 8192, Slots: 1, Connections: 4}
	request := cyclamendyke.NewRequestID("a1", fmt.Sprintf("01K9ZQ4T6Y8V3N5M7P%08d", i))
	return cyclamendyke.TaskStart{
		Epoch: b.claim.Epoch,
		Task:  cyclamendyke.TaskID{Request: request},
		Job: cyclamendyke.Job{
			Request: request, Team: "team-17", Route: "disclosure", Kind: cyclamendyke.KindBatch, Tasks: 1,
			PerTask: reserved, RunTime: time.Minute, Payload: payload, AcceptedAt: time.Unix(1_800_000_000, 0),
		},
		Reserved: reserved,
	}
}

// measureCalls measures the processor time and bytes of a scheduler's calls to workers.
func measureCalls(uint64) (*Report, error) {
	bed, err := newCallTestbed()
	if err != nil {
		return nil, err
	}
	defer bed.close()
	report := &Report{}
	err = bed.measureSeries(report, "renewal", []int{2000, 4000, 8000, 16000}, func(_ int, worker cyclamendyke.WorkerName) error {
		_, err := bed.renew(0, worker)
		return err
	})
	if err != nil {
		return nil, err
	}
	if err := bed.measureStarts(report); err != nil {
		return nil, err
	}
	if err := bed.measureTakeoverClaims(report); err != nil {
		return nil, err
	}
	return report, measureVMList(report)
}

// measureVMList measures the bytes of the first read of a VM list and of an unchanged one.
func measureVMList(report *Report) error {
	sizes := []int{30, 60, 120, 240}
	first := make([]Point, 0, len(sizes))
	unchanged := make([]Point, 0, len(sizes))
	for _, n := range sizes {
		totalBytes, err := listVMsTwice(n)
		if err != nil {
			return err
		}
		first = append(first, Point{float64(n), float64(totalBytes[0])})
		unchanged = append(unchanged, Point{float64(n), float64(totalBytes[1] - totalBytes[0])})
	}
	report.addSeries("first list of VMs, bytes both ways", "bytes", "VM", first)
	report.addSeries("unchanged list of VMs, bytes both ways", "bytes", "VM", unchanged)
	return nil
}

// listVMsTwice reads a list of n VMs twice and returns the total bytes transferred after each read.
func listVMsTwice(n int) ([2]uint64, error) {
	platform, err := startPlatform("--zones", "z", "--pool", fmt.Sprintf("p:64:128:0:%d:4", n))
	if err != nil {
		return [2]uint64{}, err
	}
	defer platform.stop()
	list := vmlist.New(vmlist.Config{Addresses: []string{platform.address}, Caller: "bench"})
	defer list.Close()
	var bytes [2]uint64
	for i := range bytes {
		if _, err := list.ListVMs(context.Background(), "z"); err != nil {
			return bytes, err
		}
		bytes[i] = list.Counts().BytesSent + list.Counts().BytesReceived
	}
	return bytes, nil
}

// measureSeries measures a batch of each size, after one unmeasured batch as a warm-up.
func (b *callTestbed) measureSeries(report *Report, name string, sizes []int, call func(i int, worker cyclamendyke.WorkerName) error) error {
	if _, err := b.measure(sizes[0], call); err != nil {
		return err
	}
	var cpu, sent, received []Point
	for _, n := range sizes {
		cost, err := b.measure(n, call)
		if err != nil {
			return err
		}
		size := float64(n)
		cpu = append(cpu, Point{size, millis(cost.cpu)})
		sent = append(sent, Point{size, cost.sent})
		received = append(received, Point{size, cost.received})
	}
	report.addSeries(name+" processor time", "ms", "call", cpu)
	report.addSeries(name+" bytes sent", "bytes", "call", sent)
	report.addSeries(name+" bytes received", "bytes", "call", received)
	return nil
}

// measureStarts measures starts of tasks that end at once, and then the bytes of the renewals that
// report their results.
func (b *callTestbed) measureStarts(report *Report) error {
	nextTask := 0
	err := b.measureSeries(report, "start", []int{1000, 2000, 4000, 8000}, func(i int, worker cyclamendyke.WorkerName) error {
		return b.workers.Start(context.Background(), worker, b.newTaskStart(i, "sheet=12345 page=17"))
	})
	if err != nil {
		return err
	}
	var bytes []Point
	for _, results := range []int{0, 8, 16, 32, 64} {
		received, err := b.renewalBytes(results, &nextTask)
		if err != nil {
			return err
		}
		bytes = append(bytes, Point{float64(results), received})
	}
	report.addSeries("renewal bytes received", "bytes", "finished result", bytes)
	return nil
}

// renewalBytes returns the bytes received in a renewal that reports the given number of finished tasks.
func (b *callTestbed) renewalBytes(results int, nextTask *int) (float64, error) {
	worker := b.vms[0].Name
	report, err := b.renew(0, worker)
	if err != nil {
		return 0, err
	}
	if _, err := b.renew(report.Sequence, worker); err != nil {
		return 0, err
	}
	for range results {
		*nextTask++
		if err := b.workers.Start(context.Background(), worker, b.newTaskStart(1_000_000+*nextTask, "sheet=12345 page=17")); err != nil {
			return 0, err
		}
	}
	before := b.workers.Counts()
	_, err = b.renew(report.Sequence, worker)
	return float64(b.workers.Counts().BytesReceived - before.BytesReceived), err
}

// measureTakeoverClaims measures a new scheduler's claims; each answer lists the worker's running tasks.
func (b *callTestbed) measureTakeoverClaims(report *Report) error {
	var received, cpu []Point
	for running := range 5 {
		cost, err := b.measure(len(b.vms)*callSenders, func(_ int, worker cyclamendyke.WorkerName) error {
			_, err := b.workers.Claim(context.Background(), worker, b.claimWithFullAck())
			return err
		})
		if err != nil {
			return err
		}
		calls := float64(len(b.vms) * callSenders)
		received = append(received, Point{float64(running), cost.received / calls})
		cpu = append(cpu, Point{float64(running), millis(cost.cpu) / calls})
		for i, vm := range b.vms {
			start := b.newTaskStart(2_000_000+running*len(b.vms)+i, "sleep=1h")
			if err := b.workers.Start(context.Background(), vm.Name, start); err != nil {
				return err
			}
		}
	}
	report.addSeries("claim bytes received", "bytes", "running task", received)
	report.addSeries("claim processor time", "ms", "running task", cpu)
	return nil
}

// claimWithFullAck returns the claim with an acknowledgement of every result, so that answers list none.
func (b *callTestbed) claimWithFullAck() cyclamendyke.Claim {
	claim := b.claim
	claim.Ack = 1 << 62
	return claim
}
