package inifile

import (
	"cmp"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"cyclamendyke"
)

const maxNameLength = 63

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

// AddFault records a fault at a line and key.
func (f *File) AddFault(line int, key, reason string, args ...any) {
	f.faults = append(f.faults, cyclamendyke.Fault{
		File:   f.Name,
		Line:   line,
		Key:    key,
		Reason: fmt.Sprintf(reason, args...),
	})
}

// AddKeyFault records a fault at the line of a section's key, or of the section if the key is missing.
func (f *File) AddKeyFault(section *Section, name, reason string, args ...any) {
	f.AddFault(section.KeyLine(name), name, reason, args...)
}

// Faults returns all recorded faults sorted by line.
func (f *File) Faults() []cyclamendyke.Fault {
	slices.SortStableFunc(f.faults, func(a, b cyclamendyke.Fault) int { return cmp.Compare(a.Line, b.Line) })
	return f.faults
}

// KeyLine returns the line of a key, or of the section if the key is missing.
func (s *Section) KeyLine(name string) int {
	if key := s.findKey(name); key != nil {
		return key.line
	}
	return s.Line
}

// Text returns the value of a key, or fallback if the key is missing. It records a fault
// for an empty value, unless syntax errors kept the values from being read.
func (f *File) Text(section *Section, name, fallback string) string {
	key := section.findKey(name)
	if key == nil {
		return fallback
	}
	key.wasRead = true
	if key.value == "" && f.valuesLoaded {
		f.AddKeyFault(section, name, "the value is empty")
	}
	return key.value
}

// Required returns the value of a key and records a fault if the key is missing.
func (f *File) Required(section *Section, name string) string {
	if section.findKey(name) == nil {
		f.addMissingKey(section, name)
	}
	return f.Text(section, name, "")
}

func (f *File) addMissingKey(section *Section, name string) {
	f.AddKeyFault(section, name, "the section [%s] needs this key", section.Header())
}

// Bool returns the boolean value of a key, or fallback if the key is missing.
func (f *File) Bool(section *Section, name string, fallback bool) bool {
	text := f.Text(section, name, strconv.FormatBool(fallback))
	if text != "true" && text != "false" {
		f.AddKeyFault(section, name, "%q is neither true nor false", text)
	}
	return text == "true"
}

// Int returns a whole number from lower to upper, or fallback if the key is missing; a
// fallback below lower makes the key required.
func (f *File) Int(section *Section, name string, fallback, lower, upper int) int {
	text := f.Text(section, name, strconv.Itoa(fallback))
	number, err := strconv.Atoi(text)
	if section.findKey(name) == nil && number < lower {
		f.addMissingKey(section, name)
		return number
	}
	if err != nil || number < lower || number > upper {
		f.AddKeyFault(section, name, "%q is not a whole number from %d to %d", text, lower, upper)
	}
	return number
}

// Duration returns a duration such as 1.5s from lower to upper, or fallback if the key is missing.
func (f *File) Duration(section *Section, name string, fallback, lower, upper time.Duration) time.Duration {
	text := f.Text(section, name, fallback.String())
	duration, err := time.ParseDuration(text)
	if err != nil || duration < lower || duration > upper {
		f.AddKeyFault(section, name, "%q is not a time from %v to %v, such as 1.5s", text, lower, upper)
	}
	return duration
}

// OneOf returns a value that is one of choices, or fallback if the key is missing; an
// empty fallback makes the key required.
func OneOf[T ~string](f *File, section *Section, name string, fallback T, choices ...T) T {
	value := T(f.Text(section, name, string(fallback)))
	if section.findKey(name) == nil && fallback == "" {
		f.addMissingKey(section, name)
		return value
	}
	if !slices.Contains(choices, value) {
		f.AddKeyFault(section, name, "%q is none of %s", value, Join(choices))
	}
	return value
}

// List returns the items of a comma-separated value and records faults for empty and
// repeated items; it is nil if the key is missing.
func List[T ~string](f *File, section *Section, name string) []T {
	text := f.Text(section, name, "")
	if text == "" {
		return nil
	}
	var list []T
	for part := range strings.SplitSeq(text, ",") {
		item := T(strings.TrimSpace(part))
		if item == "" {
			f.AddKeyFault(section, name, "the list holds an empty name")
		}
		if slices.Contains(list, item) {
			f.AddKeyFault(section, name, "%q stands twice in the list", item)
		}
		list = append(list, item)
	}
	return list
}

// CheckUnknownKeys records an unknown-key fault for every key of the section that no caller has read.
func (f *File) CheckUnknownKeys(section *Section) {
	for _, key := range section.keys {
		if !key.wasRead {
			f.AddFault(key.line, key.name, "the section [%s] knows no such key", section.Header())
		}
	}
}

// IsName reports whether text is a valid name: kebab case, at most 63 characters.
func IsName(text string) bool {
	return len(text) <= maxNameLength && namePattern.MatchString(text)
}

// Join returns the items separated by commas.
func Join[T ~string](items []T) string {
	texts := make([]string, len(items))
	for i, item := range items {
		texts[i] = string(item)
	}
	return strings.Join(texts, ", ")
}

// Section returns the unnamed section of the kind, or an empty one on line 1.
func (f *File) Section(kind string) *Section {
	for _, section := range f.Sections {
		if section.Kind == kind && section.Name == "" {
			return section
		}
	}
	return &Section{Kind: kind, Line: 1}
}
