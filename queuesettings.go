package cyclamendyke

import "time"

// QueueSettings are the settings of a queue that the work in it needs, as they are stored with that work.
type QueueSettings struct {
	Service            ServiceName     `json:"service"`
	Priority           int             `json:"priority,omitempty"`
	MaxAttempts        int             `json:"max-attempts,omitempty"`
	CriticalPathFactor float64         `json:"critical-path-factor,omitempty"`
	BaseTarget         time.Duration   `json:"base-target-ns,omitempty"`
	Advice             *AdviceSettings `json:"advice,omitempty"`
}

// AdviceSettings are an AdviceTiming as it is stored.
type AdviceSettings struct {
	Base      time.Duration `json:"base-ns,omitempty"`
	PerTarget time.Duration `json:"per-target-ns,omitempty"`
	ValidFor  time.Duration `json:"valid-for-ns,omitempty"`
}

// Settings returns the settings of the queue that the work in it needs.
func (q *Queue) Settings() *QueueSettings {
	settings := &QueueSettings{
		Service: q.Service, Priority: q.Priority, MaxAttempts: q.MaxAttempts,
		CriticalPathFactor: q.CriticalPathFactor, BaseTarget: q.BaseTarget,
	}
	if q.Advice != nil {
		advice := AdviceSettings(*q.Advice)
		settings.Advice = &advice
	}
	return settings
}

// Queue returns a queue with the settings, which accepts nothing, since it has no host and no prefix.
func (s *QueueSettings) Queue(name QueueName) *Queue {
	queue := &Queue{
		Name: name, Service: s.Service, Priority: s.Priority, MaxAttempts: s.MaxAttempts,
		CriticalPathFactor: s.CriticalPathFactor, BaseTarget: s.BaseTarget,
	}
	if s.Advice != nil {
		advice := AdviceTiming(*s.Advice)
		queue.Advice = &advice
	}
	return queue
}
