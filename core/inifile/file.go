package inifile

import (
	"regexp"
	"strings"
	"unicode"
	"unicode/utf8"

	"gopkg.in/ini.v1"

	"cyclamendyke"
)

// File is a parsed INI file with the line of each section and key.
type File struct {
	Name         string
	Sections     []*Section // In the order of the text, without duplicates.
	faults       []cyclamendyke.Fault
	valuesLoaded bool // The text has no syntax errors, so that its values were read.
}

// Section is one section, such as [word] or [word "name"].
type Section struct {
	Kind string // The word after the opening bracket.
	Name string // Empty if the section has no name.
	Line int
	keys []*key
}

type key struct {
	name    string
	value   string
	line    int
	wasRead bool
}

var (
	sectionPattern = regexp.MustCompile(`^\[([a-z][a-z-]*)(?: "([^"]*)")?\]$`)
	keyPattern     = regexp.MustCompile(`^([a-z][a-z0-9-]*)[ \t]*=(.*)$`)
)

// Parse parses INI text; the syntax errors that it finds are returned by Faults.
func Parse(name, text string) *File {
	file := &File{Name: name}
	file.scan(text)
	file.loadValues(text)
	return file
}

// scan records the line of each section and key.
func (f *File) scan(text string) {
	var section *Section
	for i, line := range strings.Split(text, "\n") {
		lineNumber := i + 1
		line = strings.TrimSpace(line)
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case !isPrintable(line):
			f.AddFault(lineNumber, "", "the line holds control characters or is not UTF-8")
		case line[0] == '[':
			section = f.scanSection(lineNumber, line)
		default:
			f.scanKey(section, lineNumber, line)
		}
	}
}

// scanSection adds the section that the line starts and returns it. On a fault it returns
// a section that is not part of the file, to hold the keys that follow.
func (f *File) scanSection(lineNumber int, line string) *Section {
	match := sectionPattern.FindStringSubmatch(line)
	if match == nil {
		f.AddFault(lineNumber, "", `not a section: write [word] or [word "name"] alone on a line`)
		return &Section{}
	}
	section := &Section{Kind: match[1], Name: match[2], Line: lineNumber}
	for _, other := range f.Sections {
		if other.Kind == section.Kind && other.Name == section.Name {
			f.AddFault(lineNumber, section.Header(), "the section is already on line %d", other.Line)
			return &Section{}
		}
	}
	f.Sections = append(f.Sections, section)
	return section
}

func (f *File) scanKey(section *Section, lineNumber int, line string) {
	match := keyPattern.FindStringSubmatch(line)
	if match == nil {
		f.AddFault(lineNumber, "", "neither a section, a comment nor key = value with a key in kebab-case")
		return
	}
	name, value := match[1], match[2]
	if section == nil {
		f.AddFault(lineNumber, name, "the key stands before the first section")
		return
	}
	if strings.ContainsAny(value, "\"'`\\") {
		f.AddFault(lineNumber, name, "a value holds no quotation marks and no backslash")
		return
	}
	if other := section.findKey(name); other != nil {
		f.AddFault(lineNumber, name, "the key is already on line %d", other.line)
		return
	}
	section.keys = append(section.keys, &key{name: name, line: lineNumber})
}

// loadValues reads the values with the INI library, unless the text has faults.
func (f *File) loadValues(text string) {
	if len(f.faults) > 0 {
		return
	}
	loaded, err := ini.LoadSources(ini.LoadOptions{IgnoreContinuation: true, KeyValueDelimiters: "="}, []byte(text))
	if err != nil {
		f.AddFault(1, "", "%v", err)
		return
	}
	for _, section := range f.Sections {
		for _, key := range section.keys {
			key.value = loaded.Section(section.Header()).Key(key.name).Value()
		}
	}
	f.valuesLoaded = true
}

func isPrintable(line string) bool {
	return utf8.ValidString(line) && strings.IndexFunc(line, func(r rune) bool { return unicode.IsControl(r) && r != '\t' }) < 0
}

// Header returns the section's header without its brackets.
func (s *Section) Header() string {
	if s.Name == "" {
		return s.Kind
	}
	return s.Kind + ` "` + s.Name + `"`
}

func (s *Section) findKey(name string) *key {
	for _, key := range s.keys {
		if key.name == name {
			return key
		}
	}
	return nil
}
