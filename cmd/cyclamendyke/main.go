// Command cyclamendyke submits jobs to a cyclamendyke cell and operates it.
package main

import (
	"os"

	"cyclamendyke/client"
)

func main() {
	os.Exit(int(client.Main()))
}
