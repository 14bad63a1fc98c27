package cyclamendyke

import "time"

// Queue is a queue of the operators' configuration; callers submit workflows under its host and path prefix.
type Queue struct {
	Name               QueueName
	Host               string
	Prefix             string
	Service            ServiceName // Pool whose targets run the queue's tasks.
	Open               bool        // Accepts workflows without a key.
	Priority           int         // 0 is the highest and may preempt the others.
	MaxAttempts        int
	CriticalPathFactor float64       // A target duration is this times the estimated length of the critical path, plus BaseTarget.
	BaseTarget         time.Duration // Constant part of the target duration.
	Advice             *AdviceTiming // Nil if every target may run the queue's tasks.
}

// AdviceTiming gives the expected latency of a call for advice and how long the advice is valid.
type AdviceTiming struct {
	Base      time.Duration // Fixed part of each call.
	PerTarget time.Duration // Added for each target in the call.
	ValidFor  time.Duration
}

// Service is a pool of targets.
type Service struct {
	Name          ServiceName
	GuardsTargets bool // Its targets reject what exceeds their capacity.
}

// TeamConfig is a team with its keys, its weight and its upper limit of resources.
type TeamConfig struct {
	Team   TeamName
	Keys   []string
	Weight float64
	Limit  Resources // A zero component is unlimited.
}

// CallerLimits bounds the size and the timing of callers' requests.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// FleetConfig is one version of the operators' configuration.
type FleetConfig struct {
	Version  int64
	Queues   []Queue
	Services []Service
	Teams    []TeamConfig
	Limits   CallerLimits
}

// Bounds are the time limits that the platform sets for its targets and callers.
type Bounds struct {
	MaxLease        time.Duration // Longest lease that a target grants.
	StopTimeout     time.Duration // Longest time that stopping a task takes.
	StatusRetention time.Duration // How long the final state of a workflow must stay available.
	RestoreTime     time.Duration // Time that a task needs to resume from a checkpoint.
	EvacuationDelay time.Duration // Longest time until an evacuation takes effect; zero if there is no limit.
	MaxCapacityAge  time.Duration // Longest time for which a target's capacity may be used without being confirmed, if it does not guard it; zero if there is no limit.
	MaxConfigAge    time.Duration // Longest time for which an unconfirmed copy of the configuration may be used; zero if there is no limit.
}

// FleetSettings are the settings that the platform gives a process.
type FleetSettings struct {
	Node        MemberName
	Zone        ZoneName
	IP          string
	Front       string // Address on which callers connect.
	Ready       string // Address on which the platform queries readiness.
	Ports       [2]int // First and last port for the scheduler's own protocols, both included.
	Store       string // Address of the store.
	Adviser     string // Address of the advice service; empty if there is none.
	MemoryBytes int64
	Descriptors int     // How many file descriptors the process may have open; zero if that is not known.
	Cores       float64 // Processor time available to the process, in cores.
	Bounds      Bounds
	Callers     CallerSettings
}

// CallerSettings bound what callers can make a process hold; a zero value stands for the default.
type CallerSettings struct {
	MemoryPercent int           // Part of the memory that connections and unfinished requests may take.
	Connections   int           // How many may be open.
	BodyTimeout   time.Duration // Longest time in which a body must arrive, if the caller waits longer than that.
	WriteTimeout  time.Duration // After which a response that is not read is given up.
}
