// Command rig3 plays the cases of the third review: the project's daemons as separate processes on loopback, with a
// stand-in for the platform's store, minions and clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// timeLimit is how long a case may take; one that is not done then could not be played.
const timeLimit = 115 * time.Second

var cases = map[string]func(*world) (broken bool){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: rig3 CASE RECORD")
		os.Exit(2)
	}
	w := newWorld(os.Args[2])
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-stop:
			cannotRun("it was stopped")
		case <-time.After(timeLimit):
			cannotRun("it took too long")
		}
	}()
	broken := cases[os.Args[1]](w)
	w.log("---- the rule was broken: %v ----", broken)
	w.close()
	fmt.Println("broken:", broken)
	if broken {
		os.Exit(1)
	}
}
