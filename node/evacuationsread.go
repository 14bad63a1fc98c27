package node

import (
	"context"
	"time"
)

// The timing of reading the evacuations besides the watch, which may be silent for a while.
const (
	evacuationsCheckInterval = 500 * time.Millisecond
	evacuationsMaxAge        = 2*longPollTimeout + 200*time.Millisecond // Answered watches confirm the copy more often than this.
)

// confirmEvacuations lists the evacuations whenever the watch has not confirmed the local copy for too long.
func (n *Node) confirmEvacuations() {
	for n.sleep(evacuationsCheckInterval) {
		n.cfg.Metrics.ConfigAge.Set(n.configAge().Seconds())
		if n.dir.storeFailing.Load() || bootTime()-n.evacuationsReadAt() <= evacuationsMaxAge {
			continue
		}
		if err := n.readEvacuations(n.ctx); err != nil {
			n.cfg.Log.Warn("cannot read evacuations again", "err", err)
		}
	}
}

// evacuationsReadAt returns as of when the local copy of the evacuations is complete.
func (n *Node) evacuationsReadAt() time.Duration {
	codec := n.cfg.Codec
	return max(n.confirmed.of(codec.OperatorsPrefix()), n.confirmed.of(codec.EvacuationsPrefix()))
}

// readEvacuations lists the evacuations and merges them into the local copy.
func (n *Node) readEvacuations(ctx context.Context) error {
	prefix := n.cfg.Codec.EvacuationsPrefix()
	sent := bootTime()
	entries, at, err := n.cfg.Store.List(ctx, prefix)
	if err != nil {
		return err
	}
	n.evacuations.replace(entries, at)
	n.confirmed.record(prefix, sent)
	return nil
}
