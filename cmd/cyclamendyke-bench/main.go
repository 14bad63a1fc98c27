// Command cyclamendyke-bench measures what the system costs and how its policies do.
package main

import (
	"os"

	"cyclamendyke/bench"
)

func main() {
	os.Exit(bench.Main(os.Args[1:], os.Stdout, os.Stderr))
}
