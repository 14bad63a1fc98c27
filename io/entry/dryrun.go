package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"cyclamendyke"
)

// DryRun forwards GET requests to Next and prints all others to Out instead of sending them.
type DryRun struct {
	Next cyclamendyke.EntryCaller
	Out  io.Writer
}

// Do forwards a GET request; it prints any other request and returns an error that wraps ErrDryRun.
func (d *DryRun) Do(ctx context.Context, request cyclamendyke.EntryRequest) (cyclamendyke.EntryResponse, error) {
	if request.Method == http.MethodGet {
		return d.Next.Do(ctx, request)
	}
	fmt.Fprintf(d.Out, "not sent: %s http://%s%s\n%s\n", request.Method, request.Address, request.Path, request.Body)
	return cyclamendyke.EntryResponse{}, newError(request, cyclamendyke.KindUnavailable, ErrDryRun)
}
