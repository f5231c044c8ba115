// Package finding collects faults in operators' input together with the place
// of each one, so that all of them are reported in a single pass.
package finding

import (
	"fmt"
	"sort"
	"strings"
)

// Finding is one fault in an input file.
type Finding struct {
	file    string
	line    int
	key     string
	message string
}

// New returns a finding. Line is 1-based; 0 means that the fault concerns the
// whole file. Key may be empty.
func New(file string, line int, key, message string) Finding {
	return Finding{file: file, line: line, key: key, message: message}
}

// File returns the name of the file that holds the fault.
func (f Finding) File() string { return f.file }

// Line returns the 1-based line of the fault, or 0 for the whole file.
func (f Finding) Line() int { return f.line }

// Key returns the key that the fault concerns, or the empty string.
func (f Finding) Key() string { return f.key }

// Message returns what is wrong and, where known, what is expected.
func (f Finding) Message() string { return f.message }

// String formats the finding as "file:line: key: message".
func (f Finding) String() string {
	var b strings.Builder
	b.WriteString(f.file)
	if f.line > 0 {
		fmt.Fprintf(&b, ":%d", f.line)
	}
	b.WriteString(": ")
	if f.key != "" {
		b.WriteString(f.key + ": ")
	}
	b.WriteString(f.message)
	return b.String()
}

// List is a collection of findings. The zero value is empty and ready to use.
type List struct {
	items []Finding
}

// Add appends a finding.
func (l *List) Add(file string, line int, key, format string, args ...any) {
	l.items = append(l.items, New(file, line, key, fmt.Sprintf(format, args...)))
}

// Merge appends all findings of other.
func (l *List) Merge(other List) { l.items = append(l.items, other.items...) }

// Empty reports whether there is no finding.
func (l *List) Empty() bool { return len(l.items) == 0 }

// All returns the findings ordered by file and line.
func (l *List) All() []Finding {
	out := append([]Finding(nil), l.items...)
	sort.SliceStable(out, func(i, j int) bool {
		if out[i].file != out[j].file {
			return out[i].file < out[j].file
		}
		return out[i].line < out[j].line
	})
	return out
}

// Err returns an error that lists every finding, or nil when there is none.
func (l *List) Err() error {
	if l.Empty() {
		return nil
	}
	return &Error{findings: l.All()}
}

// Error is a non-empty list of findings as an error.
type Error struct {
	findings []Finding
}

// Findings returns the findings ordered by file and line.
func (e *Error) Findings() []Finding { return e.findings }

// Error lists the findings, one per line.
func (e *Error) Error() string {
	lines := make([]string, len(e.findings))
	for i, f := range e.findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
