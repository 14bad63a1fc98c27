package client

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/oklog/ulid/v2"

	"cyclamendyke/io/entry"
)

// Main runs the command line of this process until it finishes or is interrupted, and returns the
// exit code.
func Main() ExitCode {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	http, err := entry.NewHTTP()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitUsage
	}
	return New(Config{
		Entry:  http,
		Stdin:  os.Stdin,
		Stdout: os.Stdout,
		Stderr: os.Stderr,
		Now:    time.Now,
		After:  time.After,
		NewID:  func() string { return ulid.Make().String() },
	}).Run(ctx, os.Args[1:])
}
