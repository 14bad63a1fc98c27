package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jessevdk/go-flags"

	"cyclamendyke"
	"cyclamendyke/io/entry"
)

const programName = "cyclamendyke"

// Config holds what a Client depends on.
type Config struct {
	Entry  cyclamendyke.EntryCaller
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	Now    func() time.Time
	After  func(time.Duration) <-chan time.Time
	NewID  func() string // Returns a unique idempotency key.
}

// Client runs one command line.
type Client struct {
	Config
	ctx     context.Context
	options options
	exit    ExitCode // Of a command that ended without an error.
}

// New returns a Client for one call of Run.
func New(config Config) *Client {
	return &Client{Config: config}
}

// Run parses the arguments, which do not hold the program's name, runs the command in them and returns the exit code.
func (c *Client) Run(ctx context.Context, args []string) ExitCode {
	c.ctx = ctx
	parser := c.newParser()
	_, err := parser.ParseArgs(args)
	return c.report(err)
}

func (c *Client) newParser() *flags.Parser {
	parser := flags.NewNamedParser(programName, flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "hands in work and operates a cyclamendyke cell"
	parser.CommandHandler = c.runCommand
	mustAdd(parser.AddGroup("Options of every command", "", &c.options))
	c.addCommands(parser.Command)
	return parser
}

func (c *Client) addCommands(parent *flags.Command) {
	for _, spec := range []struct {
		name, short string
		options     any
	}{
		{"submit", "Hand in work", &submitOptions{client: c}},
		{"status", "Show what is known of a request", &statusOptions{client: c}},
		{"cancel", "Cancel a request", &cancelOptions{client: c}},
		{"tables", "Read, check and edit the two tables", newTablesOptions(c)},
		{"keys", "Grant, withdraw and list keys", newKeysOptions(c)},
		{"nodes", "Show the system's processes and the workers", newNodesOptions(c)},
		{"allotments", "Show how team limits are divided over zones", &allotmentsOptions{client: c}},
		{"timeline", "Merge the time lines of all processes", &timelineOptions{client: c}},
		{"account", "Show what ran and what was refused", &accountOptions{client: c}},
		{"version", "Print the version", &versionOptions{client: c}},
	} {
		mustAdd(parent.AddCommand(spec.name, spec.short, "", spec.options))
	}
}

// mustAdd stops the program on a wrong tag of an options struct.
func mustAdd[T any](_ T, err error) {
	if err != nil {
		panic(err)
	}
}

// runCommand puts the implementation of EntryCaller together that the options ask for and runs the command.
func (c *Client) runCommand(command flags.Commander, args []string) error {
	if command == nil {
		return nil
	}
	if len(args) > 0 {
		return &Error{Op: "usage", Kind: cyclamendyke.KindInvalid, Detail: fmt.Sprintf("unexpected argument %q", args[0])}
	}
	if err := c.options.check(); err != nil {
		return err
	}
	if c.options.Debug {
		logger := log.NewWithOptions(c.Stderr, log.Options{Level: log.DebugLevel, ReportTimestamp: true})
		c.Entry = &entry.Debug{Next: c.Entry, Log: logger, Now: c.Now}
	}
	if c.options.DryRun {
		c.Entry = &entry.DryRun{Next: c.Entry, Out: c.Stdout}
	}
	return command.Execute(args)
}

// report writes the error, if there is one, and returns the exit code.
func (c *Client) report(err error) ExitCode {
	var flagsErr *flags.Error
	switch {
	case err == nil:
		return c.exit
	case errors.Is(err, entry.ErrDryRun):
		return ExitDone
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		fmt.Fprintln(c.Stdout, flagsErr.Message)
		return ExitDone
	case c.options.Output == outputJSON:
		c.reportJSON(err)
	default:
		fmt.Fprintf(c.Stderr, "%s: %v\n", programName, err)
	}
	return exitCodeOf(err)
}

func (c *Client) reportJSON(err error) {
	body := struct {
		Error  string              `json:"error"`
		Reason cyclamendyke.Reason `json:"reason,omitempty"`
		Exit   ExitCode            `json:"exit-code"`
	}{Error: err.Error(), Exit: exitCodeOf(err)}
	var clientErr *Error
	if errors.As(err, &clientErr) {
		body.Reason = clientErr.Reason
	}
	if err := json.NewEncoder(c.Stderr).Encode(body); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}
