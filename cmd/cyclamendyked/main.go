// Command cyclamendyked is the daemon that runs on every entry VM.
package main

import (
	"os"

	"cyclamendyke/daemon"
)

func main() {
	os.Exit(daemon.Main(os.Args[1:], os.Stderr))
}
