package dispatch

import (
	"encoding/json"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/progress"
)

const (
	simWriteTime  = 5 * time.Millisecond
	simWriteRetry = 100 * time.Millisecond // Longest pause until a batch that the store did not take is written again.
	simMaxCommits = 4
	// entriesPerRecord is the number of a batch's entries that a final record takes; others take fewer.
	entriesPerRecord = 2
)

type storedWorkflow struct {
	spec     *cyclamendyke.Workflow
	revision cyclamendyke.Revision
}

type storedTarget struct {
	known    KnownTarget
	revision cyclamendyke.Revision
}

type storedProgress struct {
	value    []byte
	revision cyclamendyke.Revision
}

// simBatch is what a scheduler writes to the store at once.
type simBatch struct {
	sched        *Scheduler
	knownTargets []KnownTargetChange
	records      []Record
	runs         []byte // The list of runs; nil if it is not written.
}

// storeAway reports whether the store takes no writes now.
func (sim *simulation) storeAway() bool {
	return sim.now < sim.storeBackAt
}

// whenStoreIsBack calls do at once or, while the store is away, when it is back. Outages may be cut short.
func (sim *simulation) whenStoreIsBack(do func()) {
	if !sim.storeAway() {
		do()
		return
	}
	sim.after(min(simLatency, sim.storeBackAt-sim.now), func() { sim.whenStoreIsBack(do) })
}

// storeRecords starts writing the scheduler's records and changes of known targets, several batches at a
// time.
func (sim *simulation) storeRecords(sched *Scheduler) {
	for sim.commitsInFlight < simMaxCommits && (sched.HasRecords() || sched.HasKnownTargetChanges() || sched.HasRunList()) {
		batch := sim.takeBatch(sched)
		sim.commitsInFlight++
		sim.after(sim.writeDelay(), func() { sim.writeBatch(batch) })
	}
}

func (sim *simulation) takeBatch(sched *Scheduler) *simBatch {
	batch := &simBatch{sched: sched}
	room := sim.batchEntries
	hasRoom := func(entries int) bool {
		room -= entries
		return room >= 0
	}
	if sched.CanStoreRunList() {
		runs, err := sched.TakeRunList()
		if err != nil {
			sim.t.Fatal(err)
		}
		batch.runs = runs
		room--
	}
	sched.TakeKnownTargetChanges(func(c KnownTargetChange) bool {
		if !hasRoom(1) {
			return false
		}
		batch.knownTargets = append(batch.knownTargets, c)
		return true
	})
	if err := sched.TakeRecords(func(r Record) bool {
		if !hasRoom(entriesPerRecord) {
			return false
		}
		batch.records = append(batch.records, r)
		return true
	}); err != nil {
		sim.t.Fatal(err)
	}
	return batch
}

// writeBatch writes a batch, later if the store is away, unless another scheduler was elected meanwhile.
func (sim *simulation) writeBatch(batch *simBatch) {
	if sim.sched != batch.sched {
		return // The store rejects writes of an earlier epoch.
	}
	if sim.storeAway() {
		pause := sim.random.Int64N(int64(simWriteRetry))
		sim.after(sim.storeBackAt-sim.now+time.Duration(pause), func() { sim.writeBatch(batch) })
		return
	}
	sim.revision++
	revision := sim.revision
	sim.batches++
	if batch.runs != nil {
		sim.storedRuns = batch.runs
	}
	sim.storeKnownTargets(batch.knownTargets)
	for _, r := range batch.records {
		sim.store(r)
	}
	sim.after(simLatency, func() { sim.batchStored(batch, revision) })
}

// batchStored reports a written batch to its scheduler.
func (sim *simulation) batchStored(batch *simBatch, revision cyclamendyke.Revision) {
	if sim.sched != batch.sched {
		return
	}
	sim.commitsInFlight--
	batch.sched.Advance(sim.now, sim.wall())
	if batch.runs != nil {
		batch.sched.RunListStored()
	}
	batch.sched.KnownTargetChangesStored(batch.knownTargets, revision)
	batch.sched.RecordsStored(batch.records, revision)
	sim.pass(batch.sched)
}

// storeKnownTargets carries out changes of the known targets.
func (sim *simulation) storeKnownTargets(changes []KnownTargetChange) {
	for _, c := range changes {
		if sim.storedTargets[c.ID].revision != c.Expected {
			sim.t.Fatalf("record of %s changed at revision %d, expected %d", c.ID, sim.storedTargets[c.ID].revision, c.Expected)
		}
		if c.Known == nil {
			delete(sim.storedTargets, c.ID)
			continue
		}
		sim.storedTargets[c.ID] = storedTarget{*c.Known, sim.revision}
	}
}

// store carries out the write of one record.
func (sim *simulation) store(r Record) {
	if !r.Final {
		sim.progress[r.ID] = storedProgress{r.Value, sim.revision}
		return
	}
	var final progress.Final
	if err := json.Unmarshal(r.Value, &final); err != nil {
		sim.t.Fatal(err)
	}
	delete(sim.progress, r.ID)
	sim.finals[r.ID] = final
}
