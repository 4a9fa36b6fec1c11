package inifile

import "strings"

// problem.go is what Parse reports.

// Problem is one thing wrong with a settings file.
type Problem struct {
	File    string
	Section string
	Name    string
	Text    string
}

// String gives the form shown to operators.
func (p Problem) String() string {
	if p.Section == "" {
		return p.File + ": " + p.Text
	}
	if p.Name == "" {
		return p.File + ": [" + p.Section + "]: " + p.Text
	}
	return p.File + ": [" + p.Section + "] " + p.Name + ": " + p.Text
}

// Problems is every problem of a file; it is the error that Load returns.
type Problems []Problem

// Error lists the problems, one a line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}
