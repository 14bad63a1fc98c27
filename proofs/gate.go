package proofs

import (
	"context"
	"errors"
	"sync"
	"time"

	"cyclamendyke"
)

// Fault is what a Gate does to the calls and connections that pass it.
type Fault string

// The faults of a gate.
const (
	FaultNone    Fault = ""
	FaultFrozen  Fault = "frozen"   // Calls wait on either side of the gate until it is thawed.
	FaultCutOut  Fault = "cut-out"  // Requests are lost.
	FaultCutBack Fault = "cut-back" // Answers are lost.
	FaultLateOut Fault = "late-out" // Requests arrive after the caller has given up on them.
	lateDelivery       = 8 * time.Second
)

var errCut = errors.New("cut off")

// Gate stands between one daemon and one of its peers or platform services; it is safe for concurrent use.
type Gate struct {
	mu      sync.Mutex
	fault   Fault
	changed chan struct{}
}

// NewGate returns a gate that lets everything pass.
func NewGate() *Gate {
	return &Gate{changed: make(chan struct{})}
}

// Set replaces the fault.
func (g *Gate) Set(fault Fault) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fault = fault
	close(g.changed)
	g.changed = make(chan struct{})
}

func (g *Gate) state() (Fault, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fault, g.changed
}

// thawed waits until the gate is not frozen; a freeze holds longer than any deadline.
func (g *Gate) thawed() Fault {
	for {
		fault, changed := g.state()
		if fault != FaultFrozen {
			return fault
		}
		<-changed
	}
}

// pass carries out one call through the gate: call gets a context of its own if it is delivered late.
func pass[T any](ctx context.Context, g *Gate, op string, call func(ctx context.Context) (T, error)) (T, error) {
	var none T
	lost := &cyclamendyke.Error{Op: op, Kind: cyclamendyke.KindUnknown, Err: errCut}
	switch g.thawed() {
	case FaultCutOut:
		<-ctx.Done()
		return none, lost
	case FaultCutBack:
		_, _ = call(ctx)
		<-ctx.Done()
		return none, lost
	case FaultLateOut:
		go func() {
			time.Sleep(lateDelivery)
			late, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_, _ = call(late)
		}()
		<-ctx.Done()
		return none, lost
	}
	answer, err := call(ctx)
	switch g.thawed() {
	case FaultCutOut, FaultCutBack:
		<-ctx.Done()
		return none, lost
	}
	return answer, err
}
