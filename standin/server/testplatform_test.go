package server

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/charmbracelet/log"

	"cyclamendyke"
	iostore "cyclamendyke/io/store"
	"cyclamendyke/io/vmlist"
	ioworker "cyclamendyke/io/worker"
	"cyclamendyke/standin/kv"
	"cyclamendyke/standin/vms"
	"cyclamendyke/standin/worker"
)

// testPlatform is a simulated platform and the clients through which a script calls it.
type testPlatform struct {
	server   *Server
	listener *pipeListener
	store    cyclamendyke.Store
	workers  cyclamendyke.Workers
	vms      cyclamendyke.VMLister
}

func connectInProcess(p *testPlatform, _ *pipeListener) func() {
	p.store, p.workers, p.vms = p.server.store.As("me"), p.server.fleet.As("me"), p.server.vmList.As("me")
	return func() {}
}

// connectLogged connects in process, through the logging wrappers.
func connectLogged(p *testPlatform, listener *pipeListener) func() {
	disconnect := connectInProcess(p, listener)
	logger := log.NewWithOptions(io.Discard, log.Options{Level: log.DebugLevel})
	p.store = iostore.NewLogging(p.store, logger)
	p.workers = ioworker.NewLogging(p.workers, logger)
	return disconnect
}

func connectHTTP(p *testPlatform, listener *pipeListener) func() {
	addresses := []string{p.server.Address()}
	store := iostore.New(iostore.Config{Addresses: addresses, Caller: "me", Dial: listener.dial})
	list := vmlist.New(vmlist.Config{Addresses: addresses, Caller: "me", Dial: listener.dial})
	workers := ioworker.New(ioworker.Config{Caller: "me", Dial: listener.dial})
	listedVMs, _ := list.ListVMs(context.Background(), "z")
	workers.SetVMs(listedVMs)
	p.store, p.vms, p.workers = store, list, workers
	return func() { store.Close(); list.Close(); workers.Close() }
}

// runCommand runs one command of a script and returns its result as text.
func (p *testPlatform) runCommand(args []string) string {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	op, args := args[0], args[1:]
	arg := func(i int) string {
		if i < len(args) {
			return args[i]
		}
		return ""
	}
	switch op {
	case "drop-writes":
		p.listener.dropWrites()
		return "ok"
	case "sleep":
		time.Sleep(parseDuration(arg(0)))
		return "ok"
	case "store-faults":
		p.server.store.SetFaults(mustDecode[kv.Faults](arg(0)))
		return "ok"
	case "worker-faults":
		p.server.fleet.SetFaults(cyclamendyke.WorkerName(arg(0)), mustDecode[worker.Faults](arg(1)))
		return "ok"
	case "vms-faults":
		p.server.vmList.SetFaults(mustDecode[vms.Faults](arg(0)))
		return "ok"
	case "state":
		return formatResult("ok", p.server.setState(cyclamendyke.WorkerName(arg(0)), cyclamendyke.VMState(arg(1))))
	case "vms":
		listedVMs, err := p.vms.ListVMs(ctx, "z")
		text := ""
		for _, vm := range listedVMs {
			text += fmt.Sprintf("%s:%s ", vm.Name, vm.State)
		}
		return formatResult(strings.TrimSpace(text), err)
	case "start-count":
		return strconv.Itoa(p.server.fleet.StartCount(arg(0)))
	case "duplicate-tasks":
		return fmt.Sprint(p.server.fleet.DuplicateTasks())
	}
	if text, ok := p.runStoreCommand(ctx, op, arg); ok {
		return text
	}
	return p.runWorkerCommand(op, cyclamendyke.WorkerName(arg(0)), arg)
}

// runStoreCommand runs op if it is a store command, and reports whether it is one. The commands are
//
//	get KEY, list [PREFIX], watch PREFIX AFTER HOLD
//	cas KEY VALUE EXPECTED [LEASE], delete KEY EXPECTED
//	cas-later DELAY KEY VALUE: creates a key as another caller after a delay
//	cas-bytes KEY SIZE: creates a key with a value of this size
//	cas-many COUNT: creates the keys many/0, many/1 and so on
//	lease TTL, keep-alive LEASE, revoke LEASE
//	read-only: makes all later store commands use the ReadOnly wrapper
//	counts: prints the counts of the script's own calls
func (p *testPlatform) runStoreCommand(ctx context.Context, op string, arg func(int) string) (string, bool) {
	switch op {
	case "get":
		entry, err := p.store.Get(ctx, arg(0))
		return formatResult(fmt.Sprintf("%s@%d", entry.Value, entry.Revision), err), true
	case "list":
		entries, revision, err := p.store.List(ctx, arg(0))
		return formatResult(formatEntries(entries, revision), err), true
	case "watch":
		hold := parseDuration(arg(2))
		ctx, cancel := context.WithTimeout(context.Background(), hold+callTimeout)
		defer cancel()
		entries, revision, err := p.store.Watch(ctx, arg(0), cyclamendyke.Revision(parseInt(arg(1))), hold)
		return formatResult(formatEntries(entries, revision), err), true
	case "cas":
		revision, err := p.store.CompareAndSwap(ctx, arg(0), []byte(arg(1)), cyclamendyke.Revision(parseInt(arg(2))), cyclamendyke.LeaseID(parseInt(arg(3))))
		return formatResult(fmt.Sprint(revision), err), true
	case "cas-later":
		time.AfterFunc(parseDuration(arg(0)), func() {
			_, _ = p.server.store.As("other").CompareAndSwap(context.Background(), arg(1), []byte(arg(2)), 0, 0)
		})
		return "ok", true
	case "cas-bytes":
		_, err := p.store.CompareAndSwap(ctx, arg(0), make([]byte, parseInt(arg(1))), 0, 0)
		return formatResult("ok", err), true
	case "cas-many":
		for i := range parseInt(arg(0)) {
			if _, err := p.store.CompareAndSwap(ctx, fmt.Sprintf("many/%d", i), nil, 0, 0); err != nil {
				return fmt.Sprintf("%s at %d", formatResult("", err), i), true
			}
		}
		return "ok", true
	case "delete":
		return formatResult("ok", p.store.Delete(ctx, arg(0), cyclamendyke.Revision(parseInt(arg(1))))), true
	case "lease":
		lease, err := p.store.GrantLease(ctx, parseDuration(arg(0)))
		return formatResult(fmt.Sprint(lease), err), true
	case "keep-alive":
		return formatResult("ok", p.store.KeepAlive(ctx, cyclamendyke.LeaseID(parseInt(arg(0))))), true
	case "revoke":
		return formatResult("ok", p.store.Revoke(ctx, cyclamendyke.LeaseID(parseInt(arg(0))))), true
	case "read-only":
		p.store = iostore.ReadOnly{Store: p.store}
		return "ok", true
	case "counts":
		counts := p.server.store.Counts("me")
		return fmt.Sprintf("reads=%d writes=%d watches=%d limited=%d", counts.Reads, counts.Writes, counts.Watches, counts.Limited), true
	}
	return "", false
}

// runWorkerCommand runs one of the commands
//
//	claim WORKER TERM MODE [store|-] [ACK] [HOLD] [MODE-VERSION], and renew with the same arguments
//	start WORKER TERM TASK MILLICORES PAYLOAD, with + for each space of the payload
//	stop WORKER TERM TASK MODE
//	release WORKER TERM
//
// The word store sets StoreLease in the claim.
func (p *testPlatform) runWorkerCommand(op string, name cyclamendyke.WorkerName, arg func(int) string) string {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout+5*time.Second)
	defer cancel()
	epoch := cyclamendyke.Epoch{Term: uint64(parseInt(arg(1))), Owner: "m"}
	task := cyclamendyke.TaskID{Request: cyclamendyke.RequestID("z-" + arg(2))}
	claim := cyclamendyke.Claim{
		Epoch:      epoch,
		Mode:       cyclamendyke.SessionMode(arg(2)),
		StoreLease: arg(3) == "store",
		SessionTTL: 15 * time.Second,
		TaskTTL:    60 * time.Second,
		Ack:        uint64(parseInt(arg(4))),
		Hold:       parseDuration(arg(5)),

		ModeVersion: uint64(parseInt(arg(6))),
	}
	switch op {
	case "claim":
		report, err := p.workers.Claim(ctx, name, claim)
		return formatResult(formatReport(report), err)
	case "renew":
		report, err := p.workers.Renew(ctx, name, claim)
		return formatResult(formatReport(report), err)
	case "start":
		return formatResult("ok", p.workers.Start(ctx, name, cyclamendyke.TaskStart{
			Epoch:    epoch,
			Task:     task,
			Job:      cyclamendyke.Job{Request: task.Request, Payload: strings.ReplaceAll(arg(4), "+", " ")},
			Reserved: cyclamendyke.Resources{Cores: cyclamendyke.MilliCores(parseInt(arg(3))), Slots: 1},
		}))
	case "stop":
		return formatResult("ok", p.workers.Stop(ctx, name, epoch, task, cyclamendyke.StopMode(arg(3))))
	case "release":
		return formatResult("ok", p.workers.Release(ctx, name, epoch))
	}
	return "unknown command " + op
}
