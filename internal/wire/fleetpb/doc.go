// Package fleetpb is the wire form of what instances say to each other, generated from
// proto/fleet.proto (make generate) and committed, so that a build needs no generator. Package
// internal/fleet/peer alone uses it.
package fleetpb
