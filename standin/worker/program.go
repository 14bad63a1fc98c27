package worker

import (
	"strconv"
	"strings"
	"time"

	"cyclamendyke"
)

// program describes what a simulated task does, parsed from a payload such as
// "sleep=2s exit=1 output=done use-cores=500 use-memory=64".
type program struct {
	sleep  time.Duration
	exit   int
	output string
	used   cyclamendyke.Resources
}

// parseProgram parses a payload. If the payload has another form, the program outputs the payload
// and ends immediately with exit code 0.
func parseProgram(payload string) program {
	parsed := program{}
	for _, field := range strings.Fields(payload) {
		name, value, _ := strings.Cut(field, "=")
		if !parsed.set(name, value) {
			return program{output: payload}
		}
	}
	return parsed
}

// set sets the named field and reports whether the name and the value are valid.
func (p *program) set(name, value string) bool {
	var err error
	var number int64
	switch name {
	case "sleep":
		p.sleep, err = time.ParseDuration(value)
	case "exit":
		p.exit, err = strconv.Atoi(value)
	case "output":
		p.output = value
	case "use-cores":
		number, err = strconv.ParseInt(value, 10, 64)
		p.used.Cores = cyclamendyke.MilliCores(number)
	case "use-memory":
		number, err = strconv.ParseInt(value, 10, 64)
		p.used.Memory = cyclamendyke.MiB(number)
	default:
		return false
	}
	return err == nil
}
