// Package inifile parses INI files into sections that record the line of each key,
// and decodes sections into tagged structs.
//
// Values are parsed by gopkg.in/ini.v1. That library records no positions, so an
// additional line scan determines them and reports duplicates.
package inifile

import (
	"bufio"
	"bytes"
	"strings"

	"gopkg.in/ini.v1"

	"github.com/vanillaward/vanillaward/pkg/finding"
)

// Key is one "key = value" line.
type Key struct {
	name  string
	value string
	line  int
}

// Name returns the key's name.
func (k Key) Name() string { return k.name }

// Value returns the key's value without quotes and comments.
func (k Key) Value() string { return k.value }

// Line returns the 1-based line of the key.
func (k Key) Line() int { return k.line }

// Section is one bracketed section. A header "[kind name]" has a kind and a
// name; "[kind]" has only a kind.
type Section struct {
	file string
	kind string
	name string
	line int
	keys []Key
}

// NewSection returns an empty section that was not parsed from a file. Findings on it
// name the given file and line.
func NewSection(file, kind, name string, line int) *Section {
	return &Section{file: file, kind: kind, name: name, line: line}
}

// File returns the name of the file that holds the section.
func (s *Section) File() string { return s.file }

// Kind returns the first word of the header.
func (s *Section) Kind() string { return s.kind }

// Name returns the second word of the header, or the empty string.
func (s *Section) Name() string { return s.name }

// Line returns the 1-based line of the header.
func (s *Section) Line() int { return s.line }

// Keys returns the keys in file order.
func (s *Section) Keys() []Key { return s.keys }

// ID returns the header's words, which identify the section in its file.
func (s *Section) ID() string {
	if s.name == "" {
		return s.kind
	}
	return s.kind + " " + s.name
}

// Lookup returns the key with the given name.
func (s *Section) Lookup(name string) (Key, bool) {
	for _, k := range s.keys {
		if k.name == name {
			return k, true
		}
	}
	return Key{}, false
}

// With returns a copy of the section in which the key has the given value and line.
func (s *Section) With(name, value string, line int) *Section {
	out := *s
	out.keys = nil
	for _, k := range s.keys {
		if k.name != name {
			out.keys = append(out.keys, k)
		}
	}
	out.keys = append(out.keys, Key{name: name, value: value, line: line})
	return &out
}

// Text formats the section in a normal form: one key per line, without comments.
func (s *Section) Text() string {
	var b strings.Builder
	b.WriteString("[" + s.ID() + "]\n")
	for _, k := range s.keys {
		b.WriteString(k.name + " = " + k.value + "\n")
	}
	return b.String()
}

// Parse parses the sections of an INI file. It returns syntax errors and duplicates as
// findings, together with the sections that it could parse. If ini.v1 rejects the file,
// it returns no sections.
func Parse(file string, data []byte) ([]*Section, finding.List) {
	var found finding.List
	sections := scan(file, data, &found)
	parsed, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation:       true,
		SpaceBeforeInlineComment: true,
		KeyValueDelimiters:       "=",
	}, data)
	if err != nil {
		found.Add(file, 0, "", "not an INI file: %v", err)
		return nil, found
	}
	for _, s := range sections {
		values, err := parsed.GetSection(s.ID())
		if err != nil {
			continue
		}
		for i := range s.keys {
			s.keys[i].value = values.Key(s.keys[i].name).String()
		}
	}
	return sections, found
}

// scan locates the headers and keys with their lines. It does not set the values.
func scan(file string, data []byte, found *finding.List) []*Section {
	var sections []*Section
	var current *Section
	seen := map[string]int{}
	lines := bufio.NewScanner(bytes.NewReader(data))
	for n := 1; lines.Scan(); n++ {
		text := strings.TrimSpace(lines.Text())
		switch {
		case text == "" || text[0] == ';' || text[0] == '#':
		case text[0] == '[':
			current = scanHeader(file, n, text)
			if first, dup := seen[current.ID()]; dup {
				found.Add(file, n, "", "section [%s] stands already at line %d", current.ID(), first)
			}
			seen[current.ID()] = n
			sections = append(sections, current)
		case current == nil:
			found.Add(file, n, "", "a key stands before the first section")
		default:
			scanKey(current, n, text, found)
		}
	}
	if err := lines.Err(); err != nil {
		found.Add(file, 0, "", "cannot be read: %v", err)
	}
	return sections
}

func scanHeader(file string, line int, text string) *Section {
	words := strings.Fields(strings.Trim(text, "[]"))
	s := &Section{file: file, line: line}
	if len(words) > 0 {
		s.kind = words[0]
		s.name = strings.Join(words[1:], " ")
	}
	return s
}

func scanKey(s *Section, line int, text string, found *finding.List) {
	name, _, ok := strings.Cut(text, "=")
	if !ok {
		found.Add(s.file, line, "", "neither a section nor a key: %q", text)
		return
	}
	name = strings.TrimSpace(name)
	if first, dup := s.Lookup(name); dup {
		found.Add(s.file, line, name, "key stands already at line %d", first.line)
		return
	}
	s.keys = append(s.keys, Key{name: name, line: line})
}
