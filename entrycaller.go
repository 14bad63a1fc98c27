package cyclamendyke

import "context"

// EntryRequest is one call to an entry VM's HTTP interface.
type EntryRequest struct {
	Address string // Host and port.
	Method  string
	Path    string // With its query.
	Key     string // Sent as a bearer token unless it is empty.
	Body    []byte // JSON; nil for none.
}

// EntryResponse is the whole answer to an EntryRequest.
type EntryResponse struct {
	Status int
	Body   []byte
}

// EntryCaller sends calls to entry VMs; its errors match KindUnavailable or KindUnknown.
type EntryCaller interface {
	// Do sends the request once and reads the whole answer, whatever its status.
	Do(ctx context.Context, request EntryRequest) (EntryResponse, error)
}
