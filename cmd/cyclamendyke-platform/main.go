// Command cyclamendyke-platform serves a stand-in platform: its store, its workers and its VM list.
package main

import (
	"os"

	"cyclamendyke/standin/server"
)

func main() {
	os.Exit(server.Main(os.Args[1:], os.Stderr))
}
