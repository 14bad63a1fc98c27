package node

import (
	"strings"

	"cyclamendyke"
)

// The keys in the store. Any member writes workflows and cancellations; only the scheduler writes
// progress, final states and the list of known targets.
const (
	systemPrefix       = "system/" // Watched by every member.
	schedulerKey       = systemPrefix + "scheduler"
	epochKey           = systemPrefix + "epoch"         // Not bound to a lease; never decreases.
	leaseRoundKey      = systemPrefix + "leases/round"  // The last round in which a scheduler has confirmed that it grants leases.
	leaseSilentKey     = systemPrefix + "leases/silent" // The targets on which none is granted.
	leaseEpochKey      = systemPrefix + "leases/epoch"  // The epoch of the last scheduler that stores the above, if all before it did.
	heldKey            = systemPrefix + "held"          // The memory that the scheduler's unfinished work takes, in bytes.
	tombstonesKey      = systemPrefix + "tombstones"    // Written together with tombstones, so that all members see the store's revision.
	membersPrefix      = systemPrefix + "members/"
	workPrefix         = "work/" // Followed by the workflow's identifier.
	cancelSuffix       = "/cancel"
	progressPrefix     = "progress/"      // Followed by the workflow's identifier.
	donePrefix         = "done/"          // Followed by the workflow's identifier; replaces the keys above once it has ended.
	knownTargetsPrefix = "fleet/targets/" // Followed by a target's identifier: the targets on which something may run.
	runListKey         = "fleet/runs"     // The runs of the whole fleet, for the next scheduler.
	oldKnownTargetsKey = "fleet/targets"  // The list of them that earlier versions stored in one value.
)

func workKey(id cyclamendyke.WorkflowID) string {
	return workPrefix + string(id)
}

func progressKey(id cyclamendyke.WorkflowID) string {
	return progressPrefix + string(id)
}

func doneKey(id cyclamendyke.WorkflowID) string {
	return donePrefix + string(id)
}

// parseWorkKey returns the workflow of a key below workPrefix, and whether the key is a cancellation.
func parseWorkKey(key string) (cyclamendyke.WorkflowID, bool) {
	id, isCancellation := strings.CutSuffix(strings.TrimPrefix(key, workPrefix), cancelSuffix)
	return cyclamendyke.WorkflowID(id), isCancellation
}
