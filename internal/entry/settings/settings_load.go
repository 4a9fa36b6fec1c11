package settings

import (
	"lacewingrock.example/lacewingrock/internal/entry/inifile"
)

// Problem and Problems are the errors that Load reports.
type (
	Problem  = inifile.Problem
	Problems = inifile.Problems
)

func format() inifile.Format[Settings] {
	return inifile.Format[Settings]{Fields: fields(), Validate: conflicts}
}

// Load reads and validates a settings file. The error is a Problems that lists everything wrong with it.
func Load(file string) (Settings, error) { return format().Load(file) }

// Parse validates the content of a settings file. The reported problems name it as file.
func Parse(file string, content []byte) (Settings, error) { return format().Parse(file, content) }

// Help lists every setting with its default, for the help text of the programs and the operators' page.
func Help() string { return format().Help() }

// conflicts reports settings that are valid one by one but conflict with each other.
func conflicts(file string, s Settings) Problems {
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
