package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"cyclamendyke"
)

// DryRun passes on calls that read and writes all others to Out in place of sending them.
type DryRun struct {
	Next cyclamendyke.EntryCaller
	Out  io.Writer
}

// Do sends a GET; any other request is written out and answered with an error whose cause is ErrDryRun.
func (d *DryRun) Do(ctx context.Context, request cyclamendyke.EntryRequest) (cyclamendyke.EntryResponse, error) {
	if request.Method == http.MethodGet {
		return d.Next.Do(ctx, request)
	}
	fmt.Fprintf(d.Out, "not sent: %s http://%s%s\n%s\n", request.Method, request.Address, request.Path, request.Body)
	return cyclamendyke.EntryResponse{}, newError(request, cyclamendyke.KindUnavailable, ErrDryRun)
}
