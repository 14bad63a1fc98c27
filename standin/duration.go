package standin

import "time"

// Duration is a time.Duration whose text form is that of time.ParseDuration, such as 1.5s.
type Duration time.Duration

// MarshalText formats the duration as time.Duration.String does.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText parses text as time.ParseDuration does.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}
