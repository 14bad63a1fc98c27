// Command cyclamendyke hands in work and operates a cyclamendyke cell.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/oklog/ulid/v2"

	"cyclamendyke/client"
	"cyclamendyke/io/entry"
)

func main() {
	os.Exit(int(run()))
}

func run() client.ExitCode {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	http, err := entry.NewHTTP()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return client.ExitUsage
	}
	return client.New(client.Config{
		Entry:  http,
		Stdin:  os.Stdin,
		Stdout: os.Stdout,
		Stderr: os.Stderr,
		Now:    time.Now,
		After:  time.After,
		NewID:  func() string { return ulid.Make().String() },
	}).Run(ctx, os.Args[1:])
}
