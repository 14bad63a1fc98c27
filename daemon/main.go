package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"

	"github.com/charmbracelet/log"
	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"

	"cyclamendyke/io/store"
	"cyclamendyke/io/vmlist"
	"cyclamendyke/io/worker"
	"cyclamendyke/settings"
)

// The exit codes of the command.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2 // Invalid command line or settings.
)

// options are the command's flags.
type options struct {
	Settings string `long:"settings" required:"yes" description:"INI file with the daemon's settings"`
	Check    bool   `long:"check" description:"check the settings and exit"`
}

// Main runs the command until it is stopped and returns its exit code.
func Main(args []string, stderr io.Writer) int {
	var opts options
	_, err := flags.NewParser(&opts, flags.HelpFlag|flags.PassDoubleDash).ParseArgs(args)
	var flagErr *flags.Error
	if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
		fmt.Fprintln(stderr, err)
		return exitOK
	}
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitSettings
	}
	loaded, faults, err := settings.Load(opts.Settings)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitSettings
	}
	for _, fault := range faults {
		fmt.Fprintln(stderr, fault)
	}
	switch {
	case len(faults) > 0:
		return exitSettings
	case opts.Check:
		return exitOK
	}
	return serve(loaded, stderr)
}

// serve runs the daemon with valid settings and returns the exit code.
func serve(loaded *settings.Daemon, stderr io.Writer) int {
	logger := newLogger(loaded.Log, stderr)
	daemon, err := New(Config{
		Settings: loaded,
		Platform: newPlatform(loaded),
		Log:      logger,
		Seed:     rand.Uint64(),
	})
	if err != nil {
		logger.Error("cannot start", "err", eris.ToString(eris.Wrap(err, "start"), false))
		return exitFailed
	}
	if err := daemon.Run(context.Background()); err != nil {
		logger.Error("stopped with an error", "err", eris.ToString(eris.Wrap(err, "run"), false))
		return exitFailed
	}
	return exitOK
}

// newPlatform returns clients for the platform addresses in the settings.
func newPlatform(loaded *settings.Daemon) Platform {
	name := string(loaded.Member.Name)
	return Platform{
		Store:   store.New(store.Config{Addresses: loaded.Store, Caller: name, Timeout: loaded.Limits.StoreTimeout}),
		Workers: worker.New(worker.Config{Caller: name, Timeout: loaded.Limits.PeerTimeout}),
		VMs:     vmlist.New(vmlist.Config{Addresses: []string{loaded.VMList}, Caller: name}),
	}
}

// newLogger returns a logger with the level and format of the settings.
func newLogger(cfg settings.Log, stderr io.Writer) *log.Logger {
	level, err := log.ParseLevel(string(cfg.Level))
	if err != nil {
		level = log.InfoLevel
	}
	formatter := log.TextFormatter
	switch cfg.Format {
	case settings.FormatJSON:
		formatter = log.JSONFormatter
	case settings.FormatLogfmt:
		formatter = log.LogfmtFormatter
	}
	return log.NewWithOptions(stderr, log.Options{Level: level, Formatter: formatter, ReportTimestamp: true})
}
