// Package forecast learns from work of the past: how much urgent work is likely to run soon, and how far the estimates of run
// times can be relied on.
package forecast
