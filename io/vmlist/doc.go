// Package vmlist reads the platform's list of VMs over HTTP.
package vmlist
