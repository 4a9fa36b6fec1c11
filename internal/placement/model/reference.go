// Package model identifies one version of an adapter, the unit of decision for queues, holders and routing.
// Engines, reports and instances write it as "adapter@version".
package model

import "strings"

// Reference identifies one version of one adapter. The zero value identifies none.
type Reference struct {
	Adapter string
	Version string
}

// separator separates adapter and version. Adapter names must not contain it.
const separator = "@"

// Parse parses "adapter@version". ok is false if either part is missing.
func Parse(text string) (ref Reference, ok bool) {
	adapter, version, found := strings.Cut(text, separator)
	return Reference{Adapter: adapter, Version: version}, found && adapter != "" && version != ""
}

// String returns "adapter@version".
func (r Reference) String() string {
	return r.Adapter + separator + r.Version
}

// IsZero reports whether the reference is the zero value.
func (r Reference) IsZero() bool {
	return r == Reference{}
}
