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

// Add notes a fault of the given line and key.
func (f *File) Add(line int, key, reason string, args ...any) {
	f.faults = append(f.faults, cyclamendyke.Fault{
		File:   f.Name,
		Line:   line,
		Key:    key,
		Reason: fmt.Sprintf(reason, args...),
	})
}

// AddKey notes a fault of a section's key on the key's line, or on the section's if the key is not there.
func (f *File) AddKey(section *Section, name, reason string, args ...any) {
	f.Add(section.KeyLine(name), name, reason, args...)
}

// Faults returns every fault noted so far in order of line.
func (f *File) Faults() []cyclamendyke.Fault {
	slices.SortStableFunc(f.faults, func(a, b cyclamendyke.Fault) int { return cmp.Compare(a.Line, b.Line) })
	return f.faults
}

// KeyLine returns the line of a key, or of the section if the key is not there.
func (s *Section) KeyLine(name string) int {
	if key := s.find(name); key != nil {
		return key.line
	}
	return s.Line
}

// Text returns a value, or fallback if the key is not there.
func (f *File) Text(section *Section, name, fallback string) string {
	key := section.find(name)
	if key == nil {
		return fallback
	}
	key.read = true
	if key.value == "" && len(f.faults) == 0 {
		f.AddKey(section, name, "the value is empty")
	}
	return key.value
}

// Required returns a value and notes a fault if the key is not there.
func (f *File) Required(section *Section, name string) string {
	if section.find(name) == nil {
		f.addMissing(section, name)
	}
	return f.Text(section, name, "")
}

func (f *File) addMissing(section *Section, name string) {
	f.AddKey(section, name, "the section [%s] needs this key", section.Header())
}

// Bool returns true or false, or fallback if the key is not there.
func (f *File) Bool(section *Section, name string, fallback bool) bool {
	text := f.Text(section, name, strconv.FormatBool(fallback))
	if text != "true" && text != "false" {
		f.AddKey(section, name, "%q is neither true nor false", text)
	}
	return text == "true"
}

// Int returns a whole number from least to most, or fallback if the key is not there; a fallback below least makes the key required.
func (f *File) Int(section *Section, name string, fallback, least, most int) int {
	text := f.Text(section, name, strconv.Itoa(fallback))
	number, err := strconv.Atoi(text)
	if section.find(name) == nil && number < least {
		f.addMissing(section, name)
		return number
	}
	if err != nil || number < least || number > most {
		f.AddKey(section, name, "%q is not a whole number from %d to %d", text, least, most)
	}
	return number
}

// Duration returns a time such as 1.5s from least to most, or fallback if the key is not there.
func (f *File) Duration(section *Section, name string, fallback, least, most time.Duration) time.Duration {
	text := f.Text(section, name, fallback.String())
	duration, err := time.ParseDuration(text)
	if err != nil || duration < least || duration > most {
		f.AddKey(section, name, "%q is not a time from %v to %v, such as 1.5s", text, least, most)
	}
	return duration
}

// OneOf returns one of the values that can be chosen, or fallback if the key is not there; an empty fallback makes the key required.
func OneOf[T ~string](f *File, section *Section, name string, fallback T, choices ...T) T {
	value := T(f.Text(section, name, string(fallback)))
	if section.find(name) == nil && fallback == "" {
		f.addMissing(section, name)
		return value
	}
	if !slices.Contains(choices, value) {
		f.AddKey(section, name, "%q is none of %s", value, Join(choices))
	}
	return value
}

// List returns the parts of a value between commas and notes empty and repeated ones; it is nil if the key is not there.
func List[T ~string](f *File, section *Section, name string) []T {
	text := f.Text(section, name, "")
	if text == "" {
		return nil
	}
	var list []T
	for part := range strings.SplitSeq(text, ",") {
		item := T(strings.TrimSpace(part))
		if item == "" {
			f.AddKey(section, name, "the list holds an empty name")
		}
		if slices.Contains(list, item) {
			f.AddKey(section, name, "%q stands twice in the list", item)
		}
		list = append(list, item)
	}
	return list
}

// CheckUnread notes every key that nothing has read as unknown.
func (f *File) CheckUnread(section *Section) {
	for _, key := range section.keys {
		if !key.read {
			f.Add(key.line, key.name, "the section [%s] knows no such key", section.Header())
		}
	}
}

// IsName reports whether text can name a row: kebab case, at most 63 characters.
func IsName(text string) bool {
	return len(text) <= maxNameLength && namePattern.MatchString(text)
}

// Join returns the items between commas.
func Join[T ~string](items []T) string {
	texts := make([]string, len(items))
	for i, item := range items {
		texts[i] = string(item)
	}
	return strings.Join(texts, ", ")
}

// Section returns the section of the kind that stands without a name, or an empty one on line 1.
func (f *File) Section(kind string) *Section {
	for _, section := range f.Sections {
		if section.Kind == kind && section.Name == "" {
			return section
		}
	}
	return &Section{Kind: kind, Line: 1}
}
