package config

import (
	"time"

	"cyclamendyke"
)

// Defaults of Config, and the lower bound of a watch's hold.
const (
	DefaultHold          = 5 * time.Second
	DefaultCallTimeout   = 2 * time.Second
	DefaultConfirmWithin = 6500 * time.Millisecond
	DefaultRetryMin      = 100 * time.Millisecond
	DefaultRetryMax      = 2 * time.Second
	minHold              = 500 * time.Millisecond
)

// Config configures a View; zero durations select the defaults.
type Config struct {
	Store         cyclamendyke.Store
	Prefix        string        // The root package's WatchedPrefix if empty.
	Hold          time.Duration // Longest time that a watch waits for a change.
	CallTimeout   time.Duration // Timeout of a list; a watch may take this long in addition to its hold.
	ConfirmWithin time.Duration // Watches wait less than Hold if the view would otherwise get older than this.
	RetryMin      time.Duration // Wait after the first failed call; it doubles up to RetryMax.
	RetryMax      time.Duration
	OnChange      func(Snapshot)   // Called with the latest snapshot after entries changed.
	OnStore       func(StoreState) // Called after the state changed, on the same goroutine as OnChange.
}
