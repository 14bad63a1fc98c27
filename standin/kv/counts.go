package kv

// Counts are the numbers of calls that the service admitted or rate-limited, and the bytes transferred.
type Counts struct {
	Reads    uint64 `json:"reads"`  // Including watches, each of which counts once however long it waits.
	Writes   uint64 `json:"writes"` // Including lease operations such as keep-alives.
	Watches  uint64 `json:"watches"`
	Limited  uint64 `json:"limited"`   // Calls refused by the rate limits.
	BytesIn  uint64 `json:"bytes-in"`  // Size of the values written.
	BytesOut uint64 `json:"bytes-out"` // Size of the values returned.
}

func (c Counts) add(other Counts) Counts {
	return Counts{
		Reads:    c.Reads + other.Reads,
		Writes:   c.Writes + other.Writes,
		Watches:  c.Watches + other.Watches,
		Limited:  c.Limited + other.Limited,
		BytesIn:  c.BytesIn + other.BytesIn,
		BytesOut: c.BytesOut + other.BytesOut,
	}
}
