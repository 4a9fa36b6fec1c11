package settings

import (
	"fmt"
	"os"
	"strings"

	"gopkg.in/ini.v1"
)

// Load reads and checks a settings file. The error is a Problems with everything that is wrong.
func Load(file string) (Settings, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, Problems{{File: file, Text: "cannot be read: " + err.Error()}}
	}
	return Parse(file, content)
}

// Parse checks the content of a settings file; file is its name in problems.
func Parse(file string, content []byte) (Settings, error) {
	parsed, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true, IgnoreInlineComment: true}, content)
	if err != nil {
		return Settings{}, Problems{{File: file, Text: "is not INI: " + err.Error()}}
	}
	problems := unknownNames(file, parsed)
	settings, wrong := readFields(file, parsed)
	problems = append(problems, wrong...)
	problems = append(problems, settings.contradictions(file)...)
	if len(problems) > 0 {
		return Settings{}, problems
	}
	return settings, nil
}

// unknownNames finds names that no setting has: a misspelt name would otherwise leave the default
// in force without anybody noticing.
func unknownNames(file string, parsed *ini.File) Problems {
	known := map[string]bool{}
	for _, f := range fields() {
		known[f.Section] = true
		known[f.Section+"."+f.Name] = true
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

func readFields(file string, parsed *ini.File) (Settings, Problems) {
	var settings Settings
	var problems Problems
	for _, f := range fields() {
		value, stated, text := stated(parsed, f)
		if text == "" && !stated && f.Required {
			text = "is missing"
		}
		if text == "" && value != "" {
			if err := f.Set(&settings, value); err != nil {
				text = err.Error()
			}
		}
		if text != "" {
			problems = append(problems, Problem{File: file, Section: f.Section, Name: f.Name, Text: text})
		}
	}
	return settings, problems
}

// stated gives the value of a setting, whether the file states it, and what is wrong with that.
func stated(parsed *ini.File, f field) (value string, isStated bool, problem string) {
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

// contradictions finds settings that are well formed but do not go together.
func (s Settings) contradictions(file string) Problems {
	var problems Problems
	p := s.Peers
	if some, all := p.Certificate+p.Key+p.Authority != "", p.Certificate != "" && p.Key != "" && p.Authority != ""; some && !all {
		problems = append(problems, Problem{
			File: file, Section: "Peers",
			Text: "Certificate, Key and Authority are stated all together or not at all",
		})
	}
	if s.Platform.StoreTimeout > 0 && s.Freshness.Bound > 0 && s.Platform.StoreTimeout >= s.Freshness.Bound {
		problems = append(problems, Problem{
			File: file, Section: "Platform", Name: "StoreTimeout",
			Text: "must be shorter than [Freshness] Bound, or one slow answer of the store stops the instance",
		})
	}
	return problems
}

// Help lists every setting with its default, for the programs' help text and the operators' page.
func Help() string {
	var out strings.Builder
	section := ""
	for _, f := range fields() {
		if f.Section != section {
			section = f.Section
			fmt.Fprintf(&out, "[%s]\n", section)
		}
		fmt.Fprintf(&out, "  %-16s %s%s\n", f.Name, f.Help, defaultText(f))
	}
	return out.String()
}

func defaultText(f field) string {
	if f.Required {
		return " (required)"
	}
	if f.Default == "" {
		return ""
	}
	return " (default " + f.Default + ")"
}
