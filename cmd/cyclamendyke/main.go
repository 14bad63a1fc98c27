// Command cyclamendyke hands in work and operates a cyclamendyke cell.
package main

import (
	"os"

	"cyclamendyke/client"
)

func main() {
	os.Exit(int(client.Main()))
}
