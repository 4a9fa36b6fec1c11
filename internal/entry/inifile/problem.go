package inifile

import "strings"

// problem.go defines the errors that Parse reports.

// Problem is one error in a settings file.
type Problem struct {
	File    string
	Section string
	Name    string
	Text    string
}

// String formats the problem for operators.
func (p Problem) String() string {
	if p.Section == "" {
		return p.File + ": " + p.Text
	}
	if p.Name == "" {
		return p.File + ": [" + p.Section + "]: " + p.Text
	}
	return p.File + ": [" + p.Section + "] " + p.Name + ": " + p.Text
}

// Problems lists every problem of a file. Load returns it as its error.
type Problems []Problem

// Error lists the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}
