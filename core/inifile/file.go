package inifile

import (
	"regexp"
	"strings"
	"unicode"
	"unicode/utf8"

	"gopkg.in/ini.v1"

	"cyclamendyke"
)

// File is the text of one INI file with the line of each section and key.
type File struct {
	Name     string
	Sections []*Section // In the order of the text, repeated ones left out.
	faults   []cyclamendyke.Fault
}

// Section is one section, with a name between quotation marks if it has one.
type Section struct {
	Kind string // The word after the bracket.
	Name string // Empty if the section has none.
	Line int
	keys []*key
}

type key struct {
	name  string
	value string
	line  int
	read  bool
}

var (
	sectionPattern = regexp.MustCompile(`^\[([a-z][a-z-]*)(?: "([^"]*)")?\]$`)
	keyPattern     = regexp.MustCompile(`^([a-z][a-z0-9-]*)[ \t]*=(.*)$`)
)

// Parse reads INI text and keeps every fault of its form for Faults.
func Parse(name, text string) *File {
	file := &File{Name: name}
	file.scan(text)
	file.load(text)
	return file
}

// scan notes the line of each section and key.
func (f *File) scan(text string) {
	var section *Section
	for i, line := range strings.Split(text, "\n") {
		number := i + 1
		line = strings.TrimSpace(line)
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case !isPlain(line):
			f.Add(number, "", "the line holds control characters or is not UTF-8")
		case line[0] == '[':
			section = f.scanSection(number, line)
		default:
			f.scanKey(section, number, line)
		}
	}
}

func (f *File) scanSection(number int, line string) *Section {
	match := sectionPattern.FindStringSubmatch(line)
	if match == nil {
		f.Add(number, "", `not a section: write [word] or [word "name"] alone on a line`)
		return &Section{}
	}
	section := &Section{Kind: match[1], Name: match[2], Line: number}
	for _, other := range f.Sections {
		if other.Kind == section.Kind && other.Name == section.Name {
			f.Add(number, section.Header(), "the section is already on line %d", other.Line)
			return &Section{}
		}
	}
	f.Sections = append(f.Sections, section)
	return section
}

func (f *File) scanKey(section *Section, number int, line string) {
	match := keyPattern.FindStringSubmatch(line)
	if match == nil {
		f.Add(number, "", "neither a section, a comment nor key = value with a key in kebab-case")
		return
	}
	name, value := match[1], match[2]
	if section == nil {
		f.Add(number, name, "the key stands before the first section")
		return
	}
	if strings.ContainsAny(value, "\"'`\\") {
		f.Add(number, name, "a value holds no quotation marks and no backslash")
		return
	}
	if other := section.find(name); other != nil {
		f.Add(number, name, "the key is already on line %d", other.line)
		return
	}
	section.keys = append(section.keys, &key{name: name, line: number})
}

// load takes the values from the INI library.
func (f *File) load(text string) {
	if len(f.faults) > 0 {
		return
	}
	loaded, err := ini.LoadSources(ini.LoadOptions{IgnoreContinuation: true, KeyValueDelimiters: "="}, []byte(text))
	if err != nil {
		f.Add(1, "", "%v", err)
		return
	}
	for _, section := range f.Sections {
		for _, key := range section.keys {
			key.value = loaded.Section(section.Header()).Key(key.name).Value()
		}
	}
}

func isPlain(line string) bool {
	return utf8.ValidString(line) && strings.IndexFunc(line, func(r rune) bool { return unicode.IsControl(r) && r != '\t' }) < 0
}

// Header returns the section's heading without its brackets.
func (s *Section) Header() string {
	if s.Name == "" {
		return s.Kind
	}
	return s.Kind + ` "` + s.Name + `"`
}

func (s *Section) find(name string) *key {
	for _, key := range s.keys {
		if key.name == name {
			return key
		}
	}
	return nil
}
