// Command cyclamendyke-bench measures resource usage and the quality of the placement policies.
package main

import (
	"os"

	"cyclamendyke/bench"
)

func main() {
	os.Exit(bench.Main(os.Args[1:], os.Stdout, os.Stderr))
}
