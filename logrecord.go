package cyclamendyke

import "time"

// LogRecord is one line of a process's log. A field that the line does not have is zero.
type LogRecord struct {
	Source     string // The file that the line was read from.
	Line       int    // The line's number in the file, from 1.
	Process    MemberName
	Time       time.Time     // The line's own time stamp; without a date, it counts from the year 1.
	Dated      bool          // The time stamp has a date.
	Elapsed    time.Duration // The time in front of the line; valid if HasElapsed is set.
	HasElapsed bool
	Truncated  bool // The line is incomplete: of the fields from Message on, only those that are known are set.
	Message    string
	Epoch      uint64

	Request  string
	Workflow WorkflowID
	Task     string // The name of a task or of a step.
	Target   TargetID
	Run      int64
	Reason   string
	Count    int
	Age      time.Duration
	Team     TeamName
	Queue    QueueName
	Result   IntakeResult
	Version  int64 // Version of the configuration in force.
	StoreAge time.Duration
	State    string
	Member   MemberName
	Err      string
}
