package server

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"cyclamendyke"
	"cyclamendyke/standin"
	"cyclamendyke/standin/kv"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// options are the command-line flags.
type options struct {
	Listen          string        `long:"listen" default:"127.0.0.1:7300" description:"IP and port to listen on"`
	Preset          string        `long:"preset" choice:"hakata" choice:"hsinchu" choice:"large" description:"predefined fleet; replaces --zones and --pool"`
	Zones           string        `long:"zones" default:"z1,z2" description:"comma-separated availability zones"`
	Pools           []string      `long:"pool" default:"main:8:16:0:3:2" description:"NAME:CORES:MEMORY-GIB:ACCELERATORS:WORKERS-PER-ZONE:WORKERS-PER-RACK"`
	ListLag         time.Duration `long:"list-lag" default:"1s" description:"delay before a change of a VM appears in the list"`
	UsageLag        time.Duration `long:"usage-lag" default:"5s" description:"delay before a task's usage is first reported"`
	WritesPerSecond int           `long:"writes" default:"400" description:"limit of store writes per second; 0 means no limit"`
	ReadsPerSecond  int           `long:"reads" default:"2000" description:"limit of store reads per second; 0 means no limit"`
}

// Main runs the command until it receives SIGINT or SIGTERM, and returns its exit code.
func Main(args []string, stderr io.Writer) int {
	opts := options{}
	if _, err := flags.NewParser(&opts, flags.HelpFlag|flags.PassDoubleDash).ParseArgs(args); err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	topology, err := opts.topology()
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	if err := serve(opts, topology, stderr); err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	return exitOK
}

func serve(opts options, topology standin.Topology, stderr io.Writer) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	server, err := New(Config{
		Listen:   opts.Listen,
		Topology: topology,
		ListLag:  opts.ListLag,
		UsageLag: opts.UsageLag,
		Store:    kv.Config{WritesPerSecond: opts.WritesPerSecond, ReadsPerSecond: opts.ReadsPerSecond},
	})
	if err != nil {
		return err
	}
	fmt.Fprintln(stderr, "listening on", server.Address())
	context.AfterFunc(ctx, func() { _ = server.Stop(context.Background()) })
	if err := server.Start(ctx); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func (o options) topology() (standin.Topology, error) {
	switch o.Preset {
	case "hakata":
		return standin.Hakata(), nil
	case "hsinchu":
		return standin.Hsinchu(), nil
	case "large":
		return standin.Large(), nil
	}
	topology := standin.Topology{}
	for zone := range strings.SplitSeq(o.Zones, ",") {
		topology.Zones = append(topology.Zones, cyclamendyke.ZoneName(zone))
	}
	for _, text := range o.Pools {
		pool, err := parsePool(text, len(topology.Zones))
		if err != nil {
			return standin.Topology{}, err
		}
		topology.Pools = append(topology.Pools, pool)
	}
	return topology, nil
}

// parsePool parses the value of a --pool flag for a topology with the given number of zones.
func parsePool(text string, zones int) (standin.Pool, error) {
	var cores, memoryGiB, accelerators int64
	var perZone, perRack int
	name, numbers, _ := strings.Cut(text, ":")
	_, err := fmt.Sscanf(numbers, "%d:%d:%d:%d:%d", &cores, &memoryGiB, &accelerators, &perZone, &perRack)
	if err != nil || name == "" {
		return standin.Pool{}, fmt.Errorf("--pool %q: want NAME and five numbers, separated by colons", text)
	}
	return standin.Pool{
		Name:    cyclamendyke.PoolName(name),
		Shape:   standin.Shape(cores, memoryGiB, accelerators),
		Workers: perZone * zones,
		PerRack: perRack,
	}, nil
}
