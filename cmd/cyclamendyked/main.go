// Command cyclamendyked is the daemon that runs on every entry VM.
package main

import (
	"os"

	"cyclamendyke/daemon"
	"cyclamendyke/node"
	"cyclamendyke/platform"
)

// fleetCommand is the argument that runs the daemon on the users' platform; platform.Process loads its settings.
const fleetCommand = "fleet"

func main() {
	if len(os.Args) == 2 && os.Args[1] == fleetCommand {
		os.Exit(node.Main(platform.Process{}, os.Stdout))
	}
	os.Exit(daemon.Main(os.Args[1:], os.Stderr))
}
