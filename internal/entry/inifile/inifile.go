// Package inifile reads settings from INI files according to a list of fields. It validates the whole file
// and reports all problems at once, each with file, section and name. If only the first problem were
// reported, an operator would have to restart the instance once per mistake.
package inifile

import (
	"fmt"
	"os"
	"strings"

	"gopkg.in/ini.v1"
)

// Field describes one setting of S. A field without Default and Required may be left out.
type Field[S any] struct {
	Section  string
	Name     string
	Default  string
	Required bool
	Help     string
	Set      func(s *S, value string) error
}

// Format describes all settings of S, in the order of the help text. Validate, if set, reports
// settings that are valid one by one but conflict with each other.
type Format[S any] struct {
	Fields   []Field[S]
	Validate func(file string, settings S) Problems
}

// Load reads and validates a settings file. The error is a Problems that lists everything wrong with it.
func (f Format[S]) Load(file string) (S, error) {
	var empty S
	content, err := os.ReadFile(file)
	if err != nil {
		return empty, Problems{{File: file, Text: "cannot be read: " + err.Error()}}
	}
	return f.Parse(file, content)
}

// Parse validates the content of a settings file. The reported problems name it as file.
func (f Format[S]) Parse(file string, content []byte) (S, error) {
	var empty S
	parsed, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true, IgnoreInlineComment: true}, content)
	if err != nil {
		return empty, Problems{{File: file, Text: "is not INI: " + err.Error()}}
	}
	problems := f.unknownNames(file, parsed)
	settings, fieldProblems := f.parseFields(file, parsed)
	problems = append(problems, fieldProblems...)
	if f.Validate != nil {
		problems = append(problems, f.Validate(file, settings)...)
	}
	if len(problems) > 0 {
		return empty, problems
	}
	return settings, nil
}

// unknownNames reports sections and names that no field declares. Otherwise a misspelt name would silently
// leave the default in force.
func (f Format[S]) unknownNames(file string, parsed *ini.File) Problems {
	known := map[string]bool{}
	for _, field := range f.Fields {
		known[field.Section] = true
		known[field.Section+"."+field.Name] = true
	}
	var problems Problems
	for _, section := range parsed.Sections() {
		if section.Name() == ini.DefaultSection {
			for _, key := range section.Keys() {
				problems = append(problems, Problem{File: file, Section: "", Text: key.Name() + " stands outside any section"})
			}
			continue
		}
		if !known[section.Name()] {
			problems = append(problems, Problem{File: file, Section: section.Name(), Text: "unknown section"})
			continue
		}
		for _, key := range section.Keys() {
			if !known[section.Name()+"."+key.Name()] {
				problems = append(problems, Problem{File: file, Section: section.Name(), Name: key.Name(), Text: "unknown name"})
			}
		}
	}
	return problems
}

func (f Format[S]) parseFields(file string, parsed *ini.File) (S, Problems) {
	var settings S
	var problems Problems
	for _, field := range f.Fields {
		value, isSet, problem := field.lookup(parsed)
		if problem == "" && !isSet && field.Required {
			problem = "is missing"
		}
		if problem == "" && value != "" {
			if err := field.Set(&settings, value); err != nil {
				problem = err.Error()
			}
		}
		if problem != "" {
			problems = append(problems, Problem{File: file, Section: field.Section, Name: field.Name, Text: problem})
		}
	}
	return settings, problems
}

// lookup returns the field's value or default, whether the file sets it, and the problem with it, if any.
func (f Field[S]) lookup(parsed *ini.File) (value string, isSet bool, problem string) {
	section, err := parsed.GetSection(f.Section)
	if err != nil || !section.HasKey(f.Name) {
		return f.Default, false, ""
	}
	key := section.Key(f.Name)
	if len(key.ValueWithShadows()) > 1 {
		return "", true, "is stated more than once"
	}
	value = strings.TrimSpace(key.String())
	if value == "" {
		return "", true, "is empty"
	}
	return value, true, ""
}

// Help lists every setting with its default, for the help text of the programs and the operators' page.
func (f Format[S]) Help() string {
	var out strings.Builder
	section := ""
	for _, field := range f.Fields {
		if field.Section != section {
			section = field.Section
			fmt.Fprintf(&out, "[%s]\n", section)
		}
		fmt.Fprintf(&out, "  %-16s %s%s\n", field.Name, field.Help, field.defaultText())
	}
	return out.String()
}

func (f Field[S]) defaultText() string {
	if f.Required {
		return " (required)"
	}
	if f.Default == "" {
		return ""
	}
	return " (default " + f.Default + ")"
}
