package bench

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"runtime"
	"slices"
	"strings"

	"github.com/jessevdk/go-flags"

	"cyclamendyke/daemon"
	"cyclamendyke/standin/server"
)

// Exit codes of the command.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

const commandName = "go run ./cmd/cyclamendyke-bench"

// options are the command's flags.
type options struct {
	Seed uint64 `long:"seed" default:"1" description:"seed of all random choices"`
	JSON bool   `long:"json" description:"print the report as JSON instead of tables"`
	Out  string `long:"out" description:"directory for the reports as JSON"`
	Plot string `long:"plot" description:"directory for plots of the series"`
	Size string `long:"size" description:"directory with reports, from which the resource usage of the large fleet is extrapolated"`
	Args struct {
		Experiments []string `positional-arg-name:"EXPERIMENT"`
	} `positional-args:"yes"`
}

// experiment is a measurement that can be selected by name.
type experiment struct {
	name        string
	description string
	run         func(seed uint64) (*Report, error)
}

func experiments() []experiment {
	return []experiment{
		{"calls", "bytes and processor time of a renewal, a start and a claim over HTTP", measureCalls},
		{"state", "bytes of memory per item of state", measureState},
		{"watch", "store calls of processes that watch the configuration and propagation time of changes", measureWatch},
		{"records", "store writes and bytes of journal, account and at-most-once records", measureRecords},
		{"heartbeats", "bytes and processor time between daemons", measureHeartbeats},
		{"overload", "goodput, refusals and answer times at and beyond the capacity of a cell, and after the overload", measureOverload},
		{"decide", "time of a decision and sustained placement rate, by fleet size and backlog", measureDecisions},
		{"idle", "processor time, memory, bytes and store calls of idle daemons, by number of workers", measureIdle},
		{"load", "the same under load, by task starts per second", measureLoad},
		{"takeover", "duration and cost of replacing a killed scheduler, by running tasks", measureTakeover},
		{"away", "usage of an idle zone before, during and after an outage of the store", measureStoreOutage},
		{"waves", "scheduler time to cancel many jobs and to adopt running tasks", measureCancellationAndAdoption},
		{"policy", "waits, packing and distance from fair shares, compared with first fit in order of arrival", measurePolicy},
	}
}

// Main runs the named experiments, or all if none is named, and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	if len(args) > 0 {
		switch args[0] { // Experiments start these as processes, so that processor time is measured separately.
		case platformSubcommand:
			return server.Main(args[1:], stderr)
		case daemonSubcommand:
			return daemon.Main(args[1:], stderr)
		}
	}
	opts := options{}
	_, err := flags.NewParser(&opts, flags.HelpFlag|flags.PassDoubleDash).ParseArgs(args)
	var usage *flags.Error
	if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
		fmt.Fprintln(stdout, err)
		printExperiments(stdout)
		return exitOK
	}
	if err == nil && opts.Size != "" {
		if err := printSizing(opts.Size, stdout); err != nil {
			fmt.Fprintln(stderr, err)
			return exitFailed
		}
		return exitOK
	}
	selected, selectErr := selectExperiments(opts.Args.Experiments)
	if err := errors.Join(err, selectErr); err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	for _, exp := range selected {
		if err := opts.run(exp, stdout); err != nil {
			fmt.Fprintf(stderr, "%s: %v\n", exp.name, err)
			return exitFailed
		}
	}
	return exitOK
}

func printExperiments(out io.Writer) {
	fmt.Fprintln(out, "\nExperiments:")
	for _, exp := range experiments() {
		fmt.Fprintf(out, "  %-12s %s\n", exp.name, exp.description)
	}
}

// selectExperiments returns the named experiments, or all if none is named.
func selectExperiments(names []string) ([]experiment, error) {
	all := experiments()
	if len(names) == 0 {
		return all, nil
	}
	var selected []experiment
	for _, name := range names {
		index := slices.IndexFunc(all, func(e experiment) bool { return e.name == name })
		if index < 0 {
			return nil, fmt.Errorf("unknown experiment %q; see --help for the list", name)
		}
		selected = append(selected, all[index])
	}
	return selected, nil
}

func (o options) run(exp experiment, stdout io.Writer) error {
	report, err := exp.run(o.Seed)
	if err != nil {
		return err
	}
	report.Experiment = exp.name
	report.Command = fmt.Sprintf("%s --seed %d %s", commandName, o.Seed, exp.name)
	report.Seed = o.Seed
	report.Go = strings.TrimPrefix(runtime.Version(), "go")
	report.CPUs = runtime.NumCPU()
	report.Load = loadAverage()
	if o.Out != "" {
		if err := report.save(o.Out); err != nil {
			return err
		}
	}
	if o.Plot != "" {
		if err := report.plot(o.Plot); err != nil {
			return err
		}
	}
	if o.JSON {
		encoder := json.NewEncoder(stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(report)
	}
	report.print(stdout)
	return nil
}
