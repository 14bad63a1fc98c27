package client

import (
	"fmt"
	"net"
	"time"

	"cyclamendyke"
)

// The output formats.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// defaultTimeout applies to all commands except those that wait for work to end.
const defaultTimeout = 30 * time.Second

// options are the global flags.
type options struct {
	Entries     []string      `long:"entry" value-name:"HOST:PORT" env:"CYCLAMENDYKE_ENTRY" env-delim:"," description:"HTTP address of an entry VM or load balancer; can be repeated, addresses are tried in order"`
	Key         string        `long:"key" value-name:"KEY" env:"CYCLAMENDYKE_KEY" default-mask:"-" description:"team key"`
	OperatorKey string        `long:"operator-key" value-name:"KEY" env:"CYCLAMENDYKE_OPERATOR_KEY" default-mask:"-" description:"operator key"`
	Output      string        `long:"output" choice:"table" choice:"json" default:"table" description:"output format"`
	Timeout     time.Duration `long:"timeout" value-name:"TIME" description:"timeout of the whole command (default: 30s, none for submit and status --wait)"`
	RetryFor    time.Duration `long:"retry-for" value-name:"TIME" description:"retry for at most this long if no entry VM can be reached or a refusal says when to retry"`
	DryRun      bool          `long:"dry-run" description:"print calls that change something instead of sending them"`
	Debug       bool          `long:"debug" description:"log every call to standard error"`
}

func (o *options) check() error {
	for _, address := range o.Entries {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return &Error{Op: "usage", Kind: cyclamendyke.KindInvalid, Detail: fmt.Sprintf("--entry %s is not HOST:PORT", address)}
		}
	}
	if o.Timeout < 0 || o.RetryFor < 0 {
		return &Error{Op: "usage", Kind: cyclamendyke.KindInvalid, Detail: "--timeout and --retry-for cannot be negative"}
	}
	return nil
}
