package entry

import (
	"context"
	"time"

	"github.com/charmbracelet/log"

	"cyclamendyke"
)

// Debug forwards each request to Next and logs it with its response, but without its API key.
type Debug struct {
	Next cyclamendyke.EntryCaller
	Log  *log.Logger
	Now  func() time.Time
}

// Do forwards the request and logs it.
func (d *Debug) Do(ctx context.Context, request cyclamendyke.EntryRequest) (cyclamendyke.EntryResponse, error) {
	start := d.Now()
	response, err := d.Next.Do(ctx, request)
	d.Log.Debug("called entry",
		"method", request.Method,
		"address", request.Address,
		"path", request.Path,
		"status", response.Status,
		"bytes", len(response.Body),
		"took", d.Now().Sub(start),
		"err", err,
	)
	return response, err
}
