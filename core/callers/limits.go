package callers

import "cyclamendyke"

// The parts of a VM that callers may take, and the limits on their requests, unless the settings or the operators' configuration say
// otherwise.
const (
	defaultHeaderBytes   = 16 << 10
	defaultMemoryPercent = 25
	defaultMemory        = 64 << 20 // Bytes, for a VM whose memory is not known.
	defaultConnections   = 1024     // For a VM whose descriptors are not known.
	largePercent         = 75       // Part of the callers' memory that large requests may take together.
	fileDescriptors      = 200      // Of a VM's descriptors, those reserved for files.
	maxProbes            = 32       // Connections on each port that is not for callers.
	probesPart           = 16       // Of a VM's descriptors for connections, those for such a port.
)

// What is charged, in bytes.
const (
	// ReceiveBuffer is the size that io/callerconn requests for the receive buffer of a connection.
	ReceiveBuffer = 16 << 10

	connectionBytes = 2*ReceiveBuffer + 20<<10 // The system doubles the receive buffer; the rest are a goroutine and its buffers.
	headByteBytes   = 3                        // For each byte of a head: a long line is copied as it grows.
	headLineBytes   = 250                      // For each line of a head, which becomes an entry of a map.
	headSlack       = 4 << 10                  // What is read beyond the end of a head at most.
	largeRequest    = 64 << 10                 // A request that takes more is large.
)

// Limits bound what callers can make a process hold.
type Limits struct {
	Bytes       int64 // Of memory.
	LargeBytes  int64 // The part of Bytes that large requests may take together.
	Connections int   // On the port for callers.
	Probes      int   // Connections on each of the other ports.
}

// LimitsFor returns the limits for a VM.
func LimitsFor(settings cyclamendyke.FleetSettings) Limits {
	percent := int64(settings.Callers.MemoryPercent)
	if percent == 0 {
		percent = defaultMemoryPercent
	}
	l := Limits{Bytes: settings.MemoryBytes * percent / 100}
	if settings.MemoryBytes == 0 {
		l.Bytes = defaultMemory
	}
	l.LargeBytes = l.Bytes * largePercent / 100
	sockets := 2 * defaultConnections
	if settings.Descriptors > 0 {
		sockets = settings.Descriptors - min(fileDescriptors, settings.Descriptors/4)
	}
	l.Probes = max(1, min(maxProbes, sockets/probesPart))
	l.Connections = settings.Callers.Connections
	if l.Connections == 0 {
		// The other half of the descriptors remains to the store, the targets and the members.
		l.Connections = max(1, min(int(l.Bytes/2/connectionBytes), sockets/2-2*l.Probes))
	}
	return l
}

// withLeaving returns how many connections a port for max of them may have, with those that were told to go.
func withLeaving(max int) int {
	return max + 1 + max/maxLeavingPart
}
