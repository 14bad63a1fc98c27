package dispatch

import (
	"time"

	"cyclamendyke"
)

// Command is a request that the control goroutine must send.
type Command interface{ command() }

// RenewCommand extends a target's lease and asks for its listing.
type RenewCommand struct {
	Target    cyclamendyke.Target
	Renewal   cyclamendyke.Renewal
	Immediate bool // Asks for an immediate answer while the regular renewal may wait for a run to end.
}

// StartCommand starts a run.
type StartCommand struct {
	Target    cyclamendyke.Target
	Order     cyclamendyke.StartOrder
	LeaseLeft time.Duration // How long the lease in the order lasts from now on.
}

// StopCommand stops a run or prevents its start.
type StopCommand struct {
	Target cyclamendyke.Target
	Task   cyclamendyke.TaskName
	Run    int64
}

// PaceCommand sets a run's speed to a percentage of full speed.
type PaceCommand struct {
	Target  cyclamendyke.Target
	Task    cyclamendyke.TaskName
	Run     int64
	Percent int
}

// AdviseCommand has a member request advice.
type AdviseCommand struct {
	Member  cyclamendyke.MemberName
	Call    int64
	Step    cyclamendyke.StepName
	Targets []cyclamendyke.TargetID
	Cost    time.Duration // Expected time that the advice service takes.
}

func (RenewCommand) command()  {}
func (StartCommand) command()  {}
func (StopCommand) command()   {}
func (PaceCommand) command()   {}
func (AdviseCommand) command() {}
