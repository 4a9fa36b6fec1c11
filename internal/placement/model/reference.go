// Package model names one adapter version, the thing that queues, holders and the route decide about.
// Engines, reports and instances spell it "adapter@version".
package model

import "strings"

// Reference is one version of one adapter; the zero value names none.
type Reference struct {
	Adapter string
	Version string
}

// separator stands between adapter and version; adapter names may not hold it.
const separator = "@"

// Parse reads "adapter@version". ok is false when either part is missing.
func Parse(text string) (ref Reference, ok bool) {
	adapter, version, found := strings.Cut(text, separator)
	return Reference{Adapter: adapter, Version: version}, found && adapter != "" && version != ""
}

// String gives "adapter@version".
func (r Reference) String() string {
	return r.Adapter + separator + r.Version
}

// IsZero tells whether the reference names nothing.
func (r Reference) IsZero() bool {
	return r == Reference{}
}
