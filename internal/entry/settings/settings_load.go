package settings

import (
	"lacewingrock.example/lacewingrock/internal/entry/inifile"
)

// Problem and Problems are what Load reports.
type (
	Problem  = inifile.Problem
	Problems = inifile.Problems
)

func format() inifile.Format[Settings] {
	return inifile.Format[Settings]{Fields: fields(), Validate: contradictions}
}

// Load reads and checks a settings file. The error is a Problems with everything that is wrong.
func Load(file string) (Settings, error) { return format().Load(file) }

// Parse checks the content of a settings file; file is its name in problems.
func Parse(file string, content []byte) (Settings, error) { return format().Parse(file, content) }

// Help lists every setting with its default, for the programs' help text and the operators' page.
func Help() string { return format().Help() }

// contradictions finds settings that are well formed but do not go together.
func contradictions(file string, s Settings) Problems {
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
