package proofs

import (
	"context"
	"errors"
	"sync"
	"time"

	"cyclamendyke"
)

// Fault is the network fault that a FaultInjector applies to calls and connections.
type Fault string

// The faults that a FaultInjector can apply; a connection drops its data under any of them but FaultNone.
const (
	FaultNone          Fault = ""
	FaultFrozen        Fault = "frozen" // Requests and responses wait until the fault is replaced.
	FaultDropRequests  Fault = "requests-dropped"
	FaultDropResponses Fault = "responses-dropped"
	FaultDelayRequests Fault = "requests-delayed" // Requests arrive requestDelay late, after the caller's deadline.
	requestDelay             = 8 * time.Second
)

var errConnectionLost = errors.New("connection lost")

// FaultInjector applies a fault to the calls between one daemon and its peers or a platform service.
// It is safe for concurrent use.
type FaultInjector struct {
	mu      sync.Mutex
	fault   Fault
	changed chan struct{} // Closed and replaced by each call of Set.
}

// NewFaultInjector returns an injector without a fault.
func NewFaultInjector() *FaultInjector {
	return &FaultInjector{changed: make(chan struct{})}
}

// Set replaces the current fault.
func (f *FaultInjector) Set(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *FaultInjector) state() (Fault, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fault, f.changed
}

// waitUnfrozen waits until the fault is not FaultFrozen and returns it. It ignores deadlines, since
// a frozen process does so too.
func (f *FaultInjector) waitUnfrozen() Fault {
	for {
		fault, changed := f.state()
		if fault != FaultFrozen {
			return fault
		}
		<-changed
	}
}

// callWithFault runs call under the current fault; a delayed call gets its own context, because that
// of the caller has expired by then.
func callWithFault[T any](ctx context.Context, faults *FaultInjector, op string, call func(ctx context.Context) (T, error)) (T, error) {
	var zero T
	lostErr := &cyclamendyke.Error{Op: op, Kind: cyclamendyke.KindUnknown, Err: errConnectionLost}
	switch faults.waitUnfrozen() {
	case FaultDropRequests:
		<-ctx.Done()
		return zero, lostErr
	case FaultDropResponses:
		_, _ = call(ctx)
		<-ctx.Done()
		return zero, lostErr
	case FaultDelayRequests:
		go func() {
			time.Sleep(requestDelay)
			lateCtx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_, _ = call(lateCtx)
		}()
		<-ctx.Done()
		return zero, lostErr
	}
	result, err := call(ctx)
	switch faults.waitUnfrozen() {
	case FaultDropRequests, FaultDropResponses:
		<-ctx.Done()
		return zero, lostErr
	}
	return result, err
}
