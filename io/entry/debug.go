package entry

import (
	"context"
	"time"

	"github.com/charmbracelet/log"

	"cyclamendyke"
)

// Logging forwards each request to Next and logs it with its response, but without its API key.
type Logging struct {
	Next cyclamendyke.EntryCaller
	Log  *log.Logger
	Now  func() time.Time
}

// Do forwards the request and logs it.
func (l *Logging) Do(ctx context.Context, request cyclamendyke.EntryRequest) (cyclamendyke.EntryResponse, error) {
	start := l.Now()
	response, err := l.Next.Do(ctx, request)
	l.Log.Debug("called entry",
		"method", request.Method,
		"address", request.Address,
		"path", request.Path,
		"status", response.Status,
		"bytes", len(response.Body),
		"took", l.Now().Sub(start),
		"err", err,
	)
	return response, err
}
