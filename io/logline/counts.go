package logline

// Counts holds how many lines were read, by format.
type Counts struct {
	Logfmt    int `json:"logfmt"`
	JSON      int `json:"json"`
	Truncated int `json:"truncated"` // Lines that begin or end early.
	Other     int `json:"other"`     // Lines of another origin.
	TooLong   int `json:"too-long"`  // Lines longer than MaxLineBytes.
}

// Lines returns the number of all lines.
func (c Counts) Lines() int {
	return c.Logfmt + c.JSON + c.Truncated + c.Other + c.TooLong
}

// Add returns the sum of two counts.
func (c Counts) Add(other Counts) Counts {
	c.Logfmt += other.Logfmt
	c.JSON += other.JSON
	c.Truncated += other.Truncated
	c.Other += other.Other
	c.TooLong += other.TooLong
	return c
}
