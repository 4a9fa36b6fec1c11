// Package inifile reads settings from INI files by a list of their fields. Everything that can be wrong
// is found before anything starts, and is reported together, each problem with file, section and name: an
// operator who mends one name at a time restarts the instance once for each.
package inifile

import (
	"fmt"
	"os"
	"strings"

	"gopkg.in/ini.v1"
)

// Field is one setting of S. An empty Default with Required unset means empty is allowed.
type Field[S any] struct {
	Section  string
	Name     string
	Default  string
	Required bool
	Help     string
	Set      func(s *S, value string) error
}

// Format is all settings of S, in the order of the help text. Contradictions, if set, finds settings that
// are well formed but do not go together.
type Format[S any] struct {
	Fields   []Field[S]
	Validate func(file string, settings S) Problems
}

// Load reads and checks a settings file. The error is a Problems with everything that is wrong.
func (f Format[S]) Load(file string) (S, error) {
	var empty S
	content, err := os.ReadFile(file)
	if err != nil {
		return empty, Problems{{File: file, Text: "cannot be read: " + err.Error()}}
	}
	return f.Parse(file, content)
}

// Parse checks the content of a settings file; file is its name in problems.
func (f Format[S]) Parse(file string, content []byte) (S, error) {
	var empty S
	parsed, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true, IgnoreInlineComment: true}, content)
	if err != nil {
		return empty, Problems{{File: file, Text: "is not INI: " + err.Error()}}
	}
	problems := f.unknownNames(file, parsed)
	settings, wrong := f.readFields(file, parsed)
	problems = append(problems, wrong...)
	if f.Validate != nil {
		problems = append(problems, f.Validate(file, settings)...)
	}
	if len(problems) > 0 {
		return empty, problems
	}
	return settings, nil
}

// unknownNames finds names that no setting has: a misspelt name would otherwise leave the default
// in force without anybody noticing.
func (f Format[S]) unknownNames(file string, parsed *ini.File) Problems {
	known := map[string]bool{}
	for _, one := range f.Fields {
		known[one.Section] = true
		known[one.Section+"."+one.Name] = true
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

func (f Format[S]) readFields(file string, parsed *ini.File) (S, Problems) {
	var settings S
	var problems Problems
	for _, one := range f.Fields {
		value, stated, text := one.stated(parsed)
		if text == "" && !stated && one.Required {
			text = "is missing"
		}
		if text == "" && value != "" {
			if err := one.Set(&settings, value); err != nil {
				text = err.Error()
			}
		}
		if text != "" {
			problems = append(problems, Problem{File: file, Section: one.Section, Name: one.Name, Text: text})
		}
	}
	return settings, problems
}

// stated gives the value of a setting, whether the file states it, and what is wrong with that.
func (f Field[S]) stated(parsed *ini.File) (value string, isStated bool, problem string) {
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

// Help lists every setting with its default, for the programs' help text and the operators' page.
func (f Format[S]) Help() string {
	var out strings.Builder
	section := ""
	for _, one := range f.Fields {
		if one.Section != section {
			section = one.Section
			fmt.Fprintf(&out, "[%s]\n", section)
		}
		fmt.Fprintf(&out, "  %-16s %s%s\n", one.Name, one.Help, one.defaultText())
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
