package cyclamendyke

import "context"

// EntryRequest is one call to an entry VM's HTTP interface.
type EntryRequest struct {
	Address string // Host and port.
	Method  string
	Path    string // Including the query string.
	Key     string // Sent as a bearer token unless it is empty.
	Body    []byte // JSON; nil for none.
}

// EntryResponse is the complete response to an EntryRequest.
type EntryResponse struct {
	Status int
	Body   []byte
}

// EntryCaller sends HTTP requests to entry VMs; its errors match KindUnavailable or KindUnknown.
type EntryCaller interface {
	// Do sends the request once and reads the complete response, whatever its status.
	Do(ctx context.Context, request EntryRequest) (EntryResponse, error)
}
