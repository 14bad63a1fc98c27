package client

import (
	"fmt"
	"net"
	"time"

	"cyclamendyke"
)

// The forms of output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// defaultTimeout bounds every command but those that wait for work.
const defaultTimeout = 30 * time.Second

// options are the flags of every command.
type options struct {
	Entries     []string      `long:"entry" value-name:"HOST:PORT" env:"CYCLAMENDYKE_ENTRY" env-delim:"," description:"HTTP address of an entry VM or balancer; repeat it for more, which are tried in order"`
	Key         string        `long:"key" value-name:"KEY" env:"CYCLAMENDYKE_KEY" default-mask:"-" description:"key of the team"`
	OperatorKey string        `long:"operator-key" value-name:"KEY" env:"CYCLAMENDYKE_OPERATOR_KEY" default-mask:"-" description:"key of the operators"`
	Output      string        `long:"output" choice:"table" choice:"json" default:"table" description:"form of the output"`
	Timeout     time.Duration `long:"timeout" value-name:"TIME" description:"longest time for the whole command (default: 30s, none for submit and status --wait)"`
	RetryFor    time.Duration `long:"retry-for" value-name:"TIME" description:"come back after refusals that name a time and after unreachable entry VMs, for at most this long"`
	DryRun      bool          `long:"dry-run" description:"print every call that changes something in place of sending it"`
	Debug       bool          `long:"debug" description:"log every call on standard error"`
}

func (o *options) check() error {
	for _, address := range o.Entries {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return &Error{Op: "usage", Kind: cyclamendyke.KindInvalid, Detail: fmt.Sprintf("--entry %s is not HOST:PORT", address)}
		}
	}
	if o.Timeout < 0 || o.RetryFor < 0 {
		return &Error{Op: "usage", Kind: cyclamendyke.KindInvalid, Detail: "--timeout and --retry-for take no negative time"}
	}
	return nil
}
