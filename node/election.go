package node

import (
	"context"
	"encoding/json"
	"time"

	"cyclamendyke"
)

// electionCheck is how often a process looks whether there is a scheduler, besides at every change.
const electionCheck = 250 * time.Millisecond

// runElections makes this process the scheduler whenever there is none.
func (n *Node) runElections() {
	var relief relief
	for n.ctx.Err() == nil {
		select {
		case <-n.dir.changed:
		case <-time.After(electionCheck):
		case <-n.ctx.Done():
			return
		}
		if n.leaving.Load() || n.term.Load() != nil {
			n.checkTerm()
			n.handOver(&relief)
			continue
		}
		won, ok := n.elect()
		if ok {
			n.beginTerm(won)
		}
	}
}

// checkTerm ends this process's term if another one has begun.
func (n *Node) checkTerm() {
	t := n.term.Load()
	if t == nil {
		return
	}
	if v := n.dir.view(); v.epoch > t.epoch {
		t.end("another scheduler was elected")
	}
}

// mandate is a won election.
type mandate struct {
	epoch    uint64
	revision cyclamendyke.Revision // Of the epoch's key.
	at       time.Duration
	over     bool // The scheduler before surely acts no more.
}

// elect tries to become the scheduler if there is none, or if it was this process in an earlier term or incarnation.
func (n *Node) elect() (mandate, bool) {
	v := n.dir.view()
	lease, _ := n.session.current()
	if !v.loaded || lease == 0 || n.fleet.Load() == nil {
		return mandate{}, false
	}
	if v.scheduler != nil && v.scheduler.Name != n.cfg.Settings.Node {
		return mandate{}, false
	}
	if v.scheduler == nil && !n.yield() {
		return mandate{}, false
	}
	ctx, cancel := context.WithTimeout(n.ctx, storeTimeout)
	defer cancel()
	won, err := n.claimRole(ctx, v, lease)
	n.noteStore(err)
	if err != nil {
		if cyclamendyke.KindOf(err) != cyclamendyke.KindConflict {
			n.cfg.Log.Warn("election", "epoch", v.epoch+1, "err", err)
		}
		wait(n.ctx, storeRetry)
		return mandate{}, false
	}
	return won, true
}

// The rules by which stronger VMs come first.
const (
	strongerBy = 1.2 // How many times the cores of this VM count as stronger.
	yieldTime  = 200 * time.Millisecond
)

// outranked reports whether a stronger member is there.
func (n *Node) outranked() bool {
	return n.dir.hasStronger(n.cfg.Settings.Cores * strongerBy)
}

// yield lets a stronger member stand first, and reports whether there is still no scheduler.
func (n *Node) yield() bool {
	if !n.outranked() {
		return true
	}
	wait(n.ctx, yieldTime)
	return n.dir.view().scheduler == nil
}

func (n *Node) claimRole(ctx context.Context, v view, lease cyclamendyke.LeaseID) (mandate, error) {
	record := schedulerRecord{memberRecord: n.self(), Epoch: v.epoch + 1}
	value, err := json.Marshal(record)
	if err != nil {
		return mandate{}, NewError("elect", cyclamendyke.KindInvalid, err)
	}
	epoch, err := json.Marshal(record.Epoch)
	if err != nil {
		return mandate{}, NewError("elect", cyclamendyke.KindInvalid, err)
	}
	at := bootTime()
	revision, found, err := n.cfg.Store.Commit(ctx, cyclamendyke.Batch{Puts: []cyclamendyke.Put{
		{Key: schedulerKey, Value: value, Lease: lease, Expected: v.holderRev},
		{Key: epochKey, Value: epoch, Expected: v.epochRev},
	}})
	if cyclamendyke.KindOf(err) == cyclamendyke.KindConflict {
		n.dir.apply(found)
	}
	if err != nil {
		return mandate{}, err
	}
	n.dir.apply([]cyclamendyke.Entry{
		{Key: schedulerKey, Value: value, Revision: revision},
		{Key: epochKey, Value: epoch, Revision: revision},
	})
	n.cfg.Log.Info("elected", "epoch", record.Epoch, "revision", revision)
	over := v.scheduler != nil || v.resigned.epoch == v.epoch // An earlier term of this process, or one that stepped down.
	return mandate{epoch: record.Epoch, revision: revision, at: at, over: over}, nil
}
