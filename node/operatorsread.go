package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/storepath"
	"cyclamendyke/io/member"
)

// The timing of confirming what operators have written besides the watch, which may be silent for a while.
const (
	operatorsCheckInterval = 500 * time.Millisecond
	operatorsAskAge        = longPollTimeout + 300*time.Millisecond   // Answered watches confirm the copy more often than this.
	operatorsListAge       = 2*longPollTimeout + 200*time.Millisecond // Members are asked first.
	operatorsCallTimeout   = 300 * time.Millisecond                   // For asking a member.
	operatorsMembersAsked  = 2
)

// confirmOperators asks other members for what operators have written while the watch does not confirm the local
// copy, and lists it in the store if the members do not know better.
func (n *Node) confirmOperators() {
	for n.sleep(operatorsCheckInterval) {
		if n.operatorsAge() > operatorsAskAge || n.storePaths.ownState() == storepath.Broken {
			n.refreshOperators()
		}
		n.cfg.Metrics.ConfigAge.Set(n.operatorsAge().Seconds())
		if n.dir.storeFailing.Load() || n.operatorsAge() <= operatorsListAge {
			continue
		}
		if err := n.listOperators(n.ctx); err != nil {
			n.cfg.Log.Warn("cannot list what operators have written", "err", err)
		}
	}
}

// refreshOperators asks a few members for their copy, unless some were asked just before; concurrent callers share
// the answers.
func (n *Node) refreshOperators() {
	_, _, _ = n.refreshes.Do("", func() (any, error) {
		if bootTime()-time.Duration(n.refreshedAt.Load()) >= operatorsCheckInterval/2 {
			n.askMembersForOperators()
			n.refreshedAt.Store(int64(bootTime()))
		}
		return nil, nil
	})
}

// refreshBeforeUse makes a request wait for a refresh if the copy is older than the watch leaves it, as after a pause
// of the process.
func (n *Node) refreshBeforeUse() {
	if n.operatorsAge() > operatorsAskAge {
		n.refreshOperators()
	}
}

// listOperators lists what operators have written and merges it into the local copy.
func (n *Node) listOperators(ctx context.Context) error {
	prefix := n.cfg.Codec.OperatorsPrefix()
	sent := bootTime()
	entries, at, err := n.cfg.Store.List(ctx, prefix)
	if err != nil {
		return err
	}
	n.replaceOperators(entries, at)
	n.confirmed.record(prefix, sent, at)
	return nil
}

// askMembersForOperators asks a few members for their copy, and waits until the local one is as new as the watch
// leaves it, or all have answered.
func (n *Node) askMembersForOperators() {
	answered := make(chan struct{}, operatorsMembersAsked)
	members := n.membersToAsk()
	for _, m := range members {
		n.wg.Go(func() {
			n.askMemberForOperators(m)
			answered <- struct{}{}
		})
	}
	for range members {
		<-answered
		if n.operatorsAge() <= operatorsAskAge {
			return
		}
	}
}

// membersToAsk returns other members at random, one of this zone if there is one: traffic between zones costs more,
// but all of a zone may be without the store.
func (n *Node) membersToAsk() []memberRecord {
	others := slices.DeleteFunc(n.dir.allMembers(), func(m memberRecord) bool { return m.Name == n.cfg.Settings.Node })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	isNear := func(m memberRecord) bool { return m.Zone == n.cfg.Settings.Zone }
	if near := slices.IndexFunc(others, isNear); near > 0 {
		others[0], others[near] = others[near], others[0]
	}
	return others[:min(len(others), operatorsMembersAsked)]
}

// askMemberForOperators merges a member's copy of what operators have written into the local one.
func (n *Node) askMemberForOperators(m memberRecord) {
	ctx, cancel := context.WithTimeout(n.ctx, operatorsCallTimeout)
	defer cancel()
	sent, own := bootTime(), n.operators.revision()
	theirs, err := n.peers.Operators(ctx, m.Address, member.OperatorsRequest{Since: own})
	if err != nil || theirs.Revision < own {
		return
	}
	if len(theirs.Entries) > 0 {
		n.replaceOperators(theirs.Entries, theirs.Revision)
	}
	n.confirmed.record(n.cfg.Codec.OperatorsPrefix(), sent-theirs.Age, theirs.Revision)
}

// Operators returns this process's copy of what operators have written, or KindNotFound if it has none.
func (n *Node) Operators(_ context.Context, request member.OperatorsRequest) (member.OperatorsCopy, error) {
	confirmed := n.confirmed.of(n.cfg.Codec.OperatorsPrefix())
	if confirmed.asOf == 0 {
		return member.OperatorsCopy{}, member.NewError("operators", cyclamendyke.KindNotFound, nil)
	}
	entries, completeAt := n.operators.changedSince(request.Since)
	return member.OperatorsCopy{
		Revision: max(completeAt, confirmed.revision), Age: bootTime() - confirmed.asOf, Entries: entries,
	}, nil
}
