package client

import (
	"bytes"
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
)

// slowEntry is an EntryCaller that answers every call after a delay.
type slowEntry struct {
	delay time.Duration
}

func (e slowEntry) Do(ctx context.Context, _ cyclamendyke.EntryRequest) (cyclamendyke.EntryResponse, error) {
	select {
	case <-ctx.Done():
		return cyclamendyke.EntryResponse{}, &cyclamendyke.Error{Op: "slow", Kind: cyclamendyke.KindUnknown, Err: ctx.Err()}
	case <-time.After(e.delay):
		return cyclamendyke.EntryResponse{Status: http.StatusOK, Body: []byte(`{"request":"z-1","verdict":"ran"}`)}, nil
	}
}

func runSlow(t *testing.T, delay time.Duration, args ...string) (ExitCode, string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	client := New(Config{Entry: slowEntry{delay}, Stdout: &stdout, Stderr: &stderr, Now: time.Now, After: time.After})
	code := client.Run(t.Context(), append(args, "--entry", "127.0.0.1:1"))
	return code, stderr.String()
}

func TestLongWaitShowsProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		code, stderr := runSlow(t, 25*time.Second, "submit", "--route", "r")
		is.Equal(code, ExitOK)
		is.Equal(stderr, "submit: still waiting after 10s\nsubmit: still waiting after 20s\n")
	})
}

func TestTimeoutExitCode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		start := time.Now()
		code, _ := runSlow(t, time.Hour, "submit", "--route", "r", "--timeout", "5s")
		is.Equal(code, ExitMayHaveRun)
		is.Equal(time.Since(start), 5*time.Second)
		code, _ = runSlow(t, time.Hour, "status", "z-1")
		is.Equal(code, ExitUnreachable)
		is.Equal(time.Since(start), 5*time.Second+defaultTimeout)
	})
}
