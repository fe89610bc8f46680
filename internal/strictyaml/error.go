// Package strictyaml decodes YAML into structs and reports all errors of a file
// at once, each with its position, its path and what is allowed there.
package strictyaml

import (
	"fmt"
	"sort"
	"strings"
)

// Error is one error in a YAML file.
type Error struct {
	// File is the name of the file as the operator passed it.
	File string `json:"file"`
	// Line and Column start at 1; 0 means that the position is unknown.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Path identifies the value at fault, from the top of the file, such as
	// "regions[lagos].pools[kano-ordering].settings.deadline".
	Path string `json:"path"`
	// Problem describes what is wrong and what is allowed instead.
	Problem string `json:"problem"`
}

// Error implements the error interface.
func (e Error) Error() string {
	var b strings.Builder
	b.WriteString(e.File)
	if e.Line > 0 {
		fmt.Fprintf(&b, ":%d:%d", e.Line, e.Column)
	}
	if e.Path != "" {
		if b.Len() > 0 {
			b.WriteString(": ")
		}
		b.WriteString(e.Path)
	}
	if b.Len() > 0 {
		b.WriteString(": ")
	}
	b.WriteString(e.Problem)
	return b.String()
}

// Errors holds all errors of a file. Sort puts them in the order of their
// positions.
type Errors []Error

// Error implements the error interface, with one line for each error.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i := range e {
		lines[i] = e[i].Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns e as an error, or nil if e is empty.
func (e Errors) Err() error {
	if len(e) == 0 {
		return nil
	}
	return e
}

// Sort orders the errors by position, then by path.
func (e Errors) Sort() {
	sort.SliceStable(e, func(i, j int) bool {
		a, b := e[i], e[j]
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		if a.Column != b.Column {
			return a.Column < b.Column
		}
		return a.Path < b.Path
	})
}
