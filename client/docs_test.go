package client

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/jessevdk/go-flags"
	"github.com/matryer/is"

	"cyclamendyke"
)

// TestOperationsPageIsComplete checks that docs/OPERATIONS.md names every command, flag, exit code
// and reason.
func TestOperationsPageIsComplete(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile("../docs/OPERATIONS.md")
	is.NoErr(err)
	page := string(text)
	parser := New(Config{}).newParser()
	checkCommands(t, page, "", parser.Command)
	for code := ExitOK; code <= ExitNoTrace; code++ {
		if !strings.Contains(page, fmt.Sprintf("\n| %d | ", code)) {
			t.Errorf("the page does not explain exit code %d", code)
		}
	}
	for _, reason := range []cyclamendyke.Reason{
		cyclamendyke.ReasonBadRequest, cyclamendyke.ReasonBadKey, cyclamendyke.ReasonWrongTeam, cyclamendyke.ReasonKeysStale,
		cyclamendyke.ReasonUnknownRoute, cyclamendyke.ReasonNeverFits, cyclamendyke.ReasonOverLimit, cyclamendyke.ReasonQueueFull,
		cyclamendyke.ReasonOverload, cyclamendyke.ReasonNoScheduler, cyclamendyke.ReasonStoreUnavailable, cyclamendyke.ReasonStopping,
		cyclamendyke.ReasonCancelled, cyclamendyke.ReasonAnswerLost, cyclamendyke.ReasonWorkerLost, cyclamendyke.ReasonFailsEverywhere,
		cyclamendyke.ReasonDeadline,
	} {
		if !strings.Contains(page, "`"+string(reason)+"`") {
			t.Errorf("the page does not explain the reason %s", reason)
		}
	}
}

func checkCommands(t *testing.T, page, path string, command *flags.Command) {
	t.Helper()
	for _, group := range append(command.Groups(), command.Group) {
		for _, option := range group.Options() {
			if !strings.Contains(page, "`--"+option.LongName) {
				t.Errorf("the page does not name --%s of %s", option.LongName, path)
			}
		}
	}
	for _, child := range command.Commands() {
		name := strings.TrimSpace(path + " " + child.Name)
		if len(child.Commands()) == 0 && !strings.Contains(page, "\n| `"+name) {
			t.Errorf("the page does not name the command %s", name)
		}
		checkCommands(t, page, name, child)
	}
}
