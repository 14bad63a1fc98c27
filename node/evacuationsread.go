package node

import (
	"context"
	"time"
)

// evacuationsReadAt returns as of when the local copy of the evacuations is complete.
func (n *Node) evacuationsReadAt() time.Duration {
	codec := n.cfg.Codec
	return max(n.confirmed.of(codec.OperatorsPrefix()).asOf, n.confirmed.of(codec.EvacuationsPrefix()).asOf)
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
	n.confirmed.record(prefix, sent, at)
	return nil
}
