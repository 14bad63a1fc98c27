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
	callSenders = 8 // Goroutines that call, each on its own workers.
)

// callBed is one zone of workers over HTTP under one scheduler's session.
type callBed struct {
	platform *platformProcess
	workers  *worker.Workers
	vms      []cyclamendyke.VM
	claim    cyclamendyke.Claim
}

// callCost is what a batch of calls cost this process.
type callCost struct {
	cpu            time.Duration
	sent, received float64
}

func newCallBed() (*callBed, error) {
	platform, err := startPlatform("--zones", "z", "--pool", fmt.Sprintf("p:64:128:0:%d:4", callWorkers))
	if err != nil {
		return nil, err
	}
	bed := &callBed{
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

func (b *callBed) close() {
	b.workers.Close()
	b.platform.stop()
}

func (b *callBed) claimAll() error {
	for _, vm := range b.vms {
		if _, err := b.workers.Claim(context.Background(), vm.Name, b.claim); err != nil {
			return err
		}
	}
	return nil
}

// measure returns the cost of n calls spread over the workers.
func (b *callBed) measure(n int, call func(i int, worker cyclamendyke.WorkerName) error) (callCost, error) {
	before := b.workers.Counts()
	errs := make([]error, callSenders)
	cpu := cpuOf(func() {
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

func (b *callBed) renew(ack uint64, worker cyclamendyke.WorkerName) (cyclamendyke.WorkerReport, error) {
	claim := b.claim
	claim.Ack = ack
	return b.workers.Renew(context.Background(), worker, claim)
}

// start returns a start as the scheduler sends it.
func (b *callBed) start(i int, payload string) cyclamendyke.TaskStart {
	reserved := cyclamendyke.Resources{Cores: 8000, Memory: 8192, Slots: 1, Connections: 4}
	request := cyclamendyke.NewRequestID("a1", fmt.Sprintf("01K9ZQ4T6Y8V3N5M7P%08d", i))
	return cyclamendyke.TaskStart{
		Epoch: b.claim.Epoch,
		Task:  cyclamendyke.TaskID{Request: request},
		Job: cyclamendyke.Job{
			Request: request, Team: "team-17", Route: "disclosure", Kind: cyclamendyke.KindBatch, Tasks: 1,
			PerTask: reserved, RunTime: time.Minute, Payload: payload, Accepted: time.Unix(1_800_000_000, 0),
		},
		Reserved: reserved,
	}
}

// measureCalls measures what the calls to workers cost the scheduler's process.
func measureCalls(uint64) (*Report, error) {
	bed, err := newCallBed()
	if err != nil {
		return nil, err
	}
	defer bed.close()
	report := &Report{}
	err = bed.series(report, "renewal", []int{2000, 4000, 8000, 16000}, func(_ int, worker cyclamendyke.WorkerName) error {
		_, err := bed.renew(0, worker)
		return err
	})
	if err != nil {
		return nil, err
	}
	if err := bed.measureStarts(report); err != nil {
		return nil, err
	}
	if err := bed.measureListings(report); err != nil {
		return nil, err
	}
	return report, measureVMList(report)
}

// measureVMList measures the first reading of the list of VMs and the ones that find it unchanged.
func measureVMList(report *Report) error {
	sizes := []int{30, 60, 120, 240}
	first := make([]Point, 0, len(sizes))
	again := make([]Point, 0, len(sizes))
	for _, n := range sizes {
		counts, err := readListTwice(n)
		if err != nil {
			return err
		}
		first = append(first, Point{float64(n), float64(counts[0])})
		again = append(again, Point{float64(n), float64(counts[1] - counts[0])})
	}
	report.add("first list of VMs, bytes both ways", "bytes", "VM", first)
	report.add("unchanged list of VMs, bytes both ways", "bytes", "VM", again)
	return nil
}

// readListTwice returns the bytes on the connections after each reading of a list of n VMs.
func readListTwice(n int) ([2]uint64, error) {
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

// series measures batches of several sizes after one that is not counted.
func (b *callBed) series(report *Report, name string, sizes []int, call func(i int, worker cyclamendyke.WorkerName) error) error {
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
	report.add(name+" processor time", "ms", "call", cpu)
	report.add(name+" bytes sent", "bytes", "call", sent)
	report.add(name+" bytes received", "bytes", "call", received)
	return nil
}

// measureStarts measures starts of tasks that end at once, and then what their results cost in renewals.
func (b *callBed) measureStarts(report *Report) error {
	next := 0
	err := b.series(report, "start", []int{1000, 2000, 4000, 8000}, func(i int, worker cyclamendyke.WorkerName) error {
		return b.workers.Start(context.Background(), worker, b.start(i, "sheet=12345 page=17"))
	})
	if err != nil {
		return err
	}
	var bytes []Point
	for _, results := range []int{0, 8, 16, 32, 64} {
		received, err := b.resultBytes(results, &next)
		if err != nil {
			return err
		}
		bytes = append(bytes, Point{float64(results), received})
	}
	report.add("renewal bytes received", "bytes", "finished result", bytes)
	return nil
}

// resultBytes returns what a renewal receives that reports so many finished tasks.
func (b *callBed) resultBytes(results int, next *int) (float64, error) {
	worker := b.vms[0].Name
	report, err := b.renew(0, worker)
	if err != nil {
		return 0, err
	}
	if _, err := b.renew(report.Sequence, worker); err != nil {
		return 0, err
	}
	for range results {
		*next++
		if err := b.workers.Start(context.Background(), worker, b.start(1_000_000+*next, "sheet=12345 page=17")); err != nil {
			return 0, err
		}
	}
	before := b.workers.Counts()
	_, err = b.renew(report.Sequence, worker)
	return float64(b.workers.Counts().BytesReceived - before.BytesReceived), err
}

// measureListings measures the claims of a takeover, whose answers list what runs.
func (b *callBed) measureListings(report *Report) error {
	var received, cpu []Point
	for running := range 5 {
		cost, err := b.measure(len(b.vms)*callSenders, func(_ int, worker cyclamendyke.WorkerName) error {
			_, err := b.workers.Claim(context.Background(), worker, b.ackAll())
			return err
		})
		if err != nil {
			return err
		}
		calls := float64(len(b.vms) * callSenders)
		received = append(received, Point{float64(running), cost.received / calls})
		cpu = append(cpu, Point{float64(running), millis(cost.cpu) / calls})
		for i, vm := range b.vms {
			start := b.start(2_000_000+running*len(b.vms)+i, "sleep=1h")
			if err := b.workers.Start(context.Background(), vm.Name, start); err != nil {
				return err
			}
		}
	}
	report.add("claim bytes received", "bytes", "running task", received)
	report.add("claim processor time", "ms", "running task", cpu)
	return nil
}

// ackAll returns the claim that acknowledges every result.
func (b *callBed) ackAll() cyclamendyke.Claim {
	claim := b.claim
	claim.Ack = 1 << 62
	return claim
}
