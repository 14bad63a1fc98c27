// Package vms simulates the platform's list of VMs, which shows changes only after a delay.
package vms
