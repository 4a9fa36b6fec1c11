// Package meshpb is the wire form of what instances of a platform's fleet say to each other, generated from
// proto/mesh.proto (make generate) and committed, so that a build needs no generator. Package
// internal/fleet/mesh alone uses it.
package meshpb
