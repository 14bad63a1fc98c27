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

// Config holds the dependencies of a Client.
type Config struct {
	Entry  cyclamendyke.EntryCaller
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	Now    func() time.Time
	After  func(time.Duration) <-chan time.Time
	NewID  func() string // Returns a unique idempotency key.
}

// Client parses and runs a single command line.
type Client struct {
	Config
	ctx      context.Context
	options  options
	exitCode ExitCode // The exit code of a command that returned no error.
}

// New returns a Client, which is good for a single call of Run.
func New(config Config) *Client {
	return &Client{Config: config}
}

// Run parses the arguments, without the program's name, runs the command and returns the exit code.
func (c *Client) Run(ctx context.Context, args []string) ExitCode {
	c.ctx = ctx
	parser := c.newParser()
	_, err := parser.ParseArgs(args)
	return c.reportResult(err)
}

func (c *Client) newParser() *flags.Parser {
	parser := flags.NewNamedParser(programName, flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "submits work to a cyclamendyke cell and operates it"
	parser.CommandHandler = c.runCommand
	mustAdd(parser.AddGroup("Global options", "", &c.options))
	c.addCommands(parser.Command)
	return parser
}

func (c *Client) addCommands(parent *flags.Command) {
	for _, spec := range []struct {
		name, short string
		options     any
	}{
		{"submit", "Submit work", &submitOptions{client: c}},
		{"status", "Show the status of a request", &statusOptions{client: c}},
		{"cancel", "Cancel a request", &cancelOptions{client: c}},
		{"tables", "Read, check and edit the tables of routes and pools", newTablesOptions(c)},
		{"keys", "Grant, withdraw and list keys", newKeysOptions(c)},
		{"nodes", "Show the daemons and the workers", newNodesOptions(c)},
		{"allotments", "Show how team limits are divided among zones", &allotmentsOptions{client: c}},
		{"timeline", "Show the merged timeline of all daemons", &timelineOptions{client: c}},
		{"account", "Show what ran and what was refused", &accountOptions{client: c}},
		{"explain", "Tell from the logs of all processes what happened to a workflow or a task", &explainOptions{client: c}},
		{"delays", "Tell from the logs of all processes in which seconds callers waited too long, and for what", &delaysOptions{client: c}},
		{"version", "Print the version", &versionOptions{client: c}},
	} {
		mustAdd(parent.AddCommand(spec.name, spec.short, "", spec.options))
	}
}

// mustAdd panics if an options struct has an invalid tag.
func mustAdd[T any](_ T, err error) {
	if err != nil {
		panic(err)
	}
}

// runCommand checks the global options, wraps the EntryCaller as --debug and --dry-run require, and runs
// the command.
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
		c.Entry = &entry.Logging{Next: c.Entry, Log: logger, Now: c.Now}
	}
	if c.options.DryRun {
		c.Entry = &entry.DryRun{Next: c.Entry, Out: c.Stdout}
	}
	return command.Execute(args)
}

// reportResult prints the error, if any, and returns the exit code.
func (c *Client) reportResult(err error) ExitCode {
	var flagsErr *flags.Error
	switch {
	case err == nil:
		return c.exitCode
	case errors.Is(err, entry.ErrDryRun):
		return ExitOK
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		fmt.Fprintln(c.Stdout, flagsErr.Message)
		return ExitOK
	case c.options.Output == outputJSON:
		c.reportJSONError(err)
	default:
		fmt.Fprintf(c.Stderr, "%s: %v\n", programName, err)
	}
	return exitCodeOf(err)
}

func (c *Client) reportJSONError(err error) {
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
