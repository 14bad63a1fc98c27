// Package main holds the stand-ins of the review's cases: a store, minions, clients and the operator. It starts the
// system's processes, disturbs them and checks one rule.
package main

import (
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// env is what a case gets.
type env struct {
	record  *record
	trouble bool
}

// errBroken says how the rule was broken.
type errBroken string

// Error returns the text.
func (e errBroken) Error() string { return string(e) }

var cases = map[string]func(env) error{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(exitFailed)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	err = cases[os.Args[1]](env{record: rec, trouble: os.Getenv("TROUBLE") != "0"})
	verdict, code := "the rule held", exitHeld
	if broken, ok := err.(errBroken); ok {
		verdict, code = "the rule was broken: "+string(broken), exitBroken
	} else if err != nil {
		verdict, code = "the case could not run: "+err.Error(), exitFailed
	}
	rec.log("%s", verdict)
	fmt.Println(verdict)
	os.Exit(code)
}
