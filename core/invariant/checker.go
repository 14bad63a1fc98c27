package invariant

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
)

// Violation is one observed violation of an invariant.
type Violation struct {
	Name   Name
	Detail string
	Count  int // Violations of this invariant so far, including this one.
}

// String returns the violation as name: detail.
func (v Violation) String() string {
	return fmt.Sprintf("%s: %s", v.Name, v.Detail)
}

// Config sets how a Checker reports violations.
type Config struct {
	PanicOnViolation bool            // Panic at the first violation; for tests.
	OnViolation      func(Violation) // Called for each violation, never concurrently; may be nil.
}

// Checker counts the violations of each invariant; it is safe for concurrent use.
type Checker struct {
	config Config
	mu     sync.Mutex
	counts map[Name]int
}

// New returns a checker that has counted no violations.
func New(config Config) *Checker {
	return &Checker{config: config, counts: map[Name]int{}}
}

// Check records a violation of the invariant unless holds is true, and returns holds.
func (c *Checker) Check(holds bool, name Name, format string, args ...any) bool {
	if !holds {
		c.record(name, fmt.Sprintf(format, args...))
	}
	return holds
}

// RecordViolation records a violation; name is a string, so that packages can take this method as a
// callback without importing this one.
func (c *Checker) RecordViolation(name, detail string) {
	c.record(Name(name), detail)
}

// Count is the number of violations of one invariant.
type Count struct {
	Name  Name
	Count int
}

// Counts returns the counts of all declared invariants and of any other name reported, sorted by name.
func (c *Checker) Counts() []Count {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make(map[Name]int, len(c.counts))
	for _, name := range Names() {
		all[name] = 0
	}
	for name, count := range c.counts {
		all[name] = count
	}
	counts := make([]Count, 0, len(all))
	for name, count := range all {
		counts = append(counts, Count{Name: name, Count: count})
	}
	slices.SortFunc(counts, func(a, b Count) int { return cmp.Compare(a.Name, b.Name) })
	return counts
}

// Total returns the number of violations of all invariants.
func (c *Checker) Total() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	total := 0
	for _, count := range c.counts {
		total += count
	}
	return total
}

func (c *Checker) record(name Name, detail string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[name]++
	violation := Violation{Name: name, Detail: detail, Count: c.counts[name]}
	if c.config.OnViolation != nil {
		c.config.OnViolation(violation)
	}
	if c.config.PanicOnViolation {
		panic(violation.String())
	}
}
